package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/internal/standin/httpjson"
)

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, e.State())
	})
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("POST /v1/streams", e.serveStream)
	mux.HandleFunc("POST /v1/forward", e.serveForward)
	mux.HandleFunc("POST /v1/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		if f, ok := httpjson.Read[Faults](w, r); ok {
			e.SetFaults(f)
		}
	})

	return mux
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := httpjson.Read[engine.Order](w, r)
	if !ok {
		return
	}
	if !e.applyOrder(r.Context(), o) {
		http.Error(w, "a newer fencing token was seen", http.StatusConflict)
	}
}

// forwardRequest is the request to run a token through the remaining stages of a pipeline.
type forwardRequest struct {
	Stream   string                   `json:"stream"`
	Attempt  int                      `json:"attempt"`
	Index    int                      `json:"index"`
	Model    slatebridge.ModelVersion `json:"model"`
	Value    uint64                   `json:"value"`
	Pipeline slatebridge.Pipeline     `json:"pipeline"`
}

// forwardResponse is the result of the remaining stages, or the server that failed.
type forwardResponse struct {
	Value          uint64                   `json:"value"`
	ExecutedLayers []slatebridge.LayerRange `json:"ran"`
	FailedServer   slatebridge.ServerID     `json:"failed,omitempty"`
}

// serveStream generates the tokens of one attempt. The engine is the first stage of the pipeline.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	req, ok := httpjson.Read[engine.StreamRequest](w, r)
	if !ok {
		return
	}
	if !e.beginStream(req) {
		http.Error(w, "stream refused: the engine is leaving or holds another model or layers", http.StatusServiceUnavailable)

		return
	}
	defer e.endStream()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := frameWriter{w: w, control: http.NewResponseController(w), currentFaults: e.currentFaults}
	generated := slices.Clone(req.DeliveredTokens)
	for len(generated) < req.MaxTokens {
		e.callTokenHook(req, len(generated))
		token, executed, err := e.generateToken(r.Context(), req, generated)
		if err != nil {
			out.sendFailure(req, len(generated), err)

			return
		}
		if !out.sendToken(req, len(generated), token, executed) {
			return
		}
		generated = append(generated, token)
	}
	e.callTokenHook(req, len(generated))
	if e.currentFaults().DropFinal {
		panic(http.ErrAbortHandler)
	}
	out.send(engine.Frame{Attempt: req.Attempt, Index: len(generated), Final: true})
}

// beginStream counts an active stream. It returns false if the engine is leaving or does not hold
// the model and layers of the request.
func (e *Engine) beginStream(req engine.StreamRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Leaving || e.state.Model != req.Model || req.Pipeline[0].Layers != e.state.Layers {
		return false
	}
	e.state.Streams++

	return true
}

func (e *Engine) endStream() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Streams--
}

// generateToken generates one token by running all stages of the pipeline.
func (e *Engine) generateToken(ctx context.Context, req engine.StreamRequest, generated []string) (string, []slatebridge.LayerRange, error) {
	out, err := e.runStage(ctx, forwardRequest{
		Stream:   req.StreamID,
		Attempt:  req.Attempt,
		Index:    len(generated),
		Model:    req.Model,
		Value:    LayerInput(req.Model, req.Adapter, req.Prompt, generated),
		Pipeline: req.Pipeline,
	})
	if err != nil {
		return "", nil, err
	}

	return FormatToken(out.Value), out.ExecutedLayers, nil
}

// stageError is the failure of one stage to process a token.
type stageError struct {
	server slatebridge.ServerID
	cause  error
}

func (e *stageError) Error() string {
	return "stage " + string(e.server) + ": " + e.cause.Error()
}

// runStage runs the layers of this stage and forwards the value to the next stage.
func (e *Engine) runStage(ctx context.Context, f forwardRequest) (forwardResponse, error) {
	stage := f.Pipeline[0]
	if err := e.checkToken(f, stage); err != nil {
		return forwardResponse{}, &stageError{server: stage.Server, cause: err}
	}
	faults := e.currentFaults()
	if faults.HangAtToken > 0 && f.Index+1 >= faults.HangAtToken {
		<-ctx.Done()

		return forwardResponse{}, ctx.Err()
	}
	if faults.FailAtToken > 0 && f.Index+1 >= faults.FailAtToken {
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, e.tokenDuration(stage.Layers)) {
		return forwardResponse{}, ctx.Err()
	}
	layers := stage.Layers
	if faults.SkipLayer {
		layers.To--
	}
	f.Value = RunLayers(f.Value, layers)
	executed := []slatebridge.LayerRange{layers}
	f.Pipeline = f.Pipeline[1:]
	if len(f.Pipeline) == 0 {
		return forwardResponse{Value: f.Value, ExecutedLayers: executed}, nil
	}
	if !sleep(ctx, e.linkDelay) {
		return forwardResponse{}, ctx.Err()
	}
	out, err := e.forwardToNextStage(ctx, f)
	out.ExecutedLayers = append(executed, out.ExecutedLayers...)

	return out, err
}

// checkToken rejects layers that the engine does not hold, and tokens that are not the next one of
// their attempt. An attempt may start at any index, since it continues after the delivered tokens.
func (e *Engine) checkToken(f forwardRequest, stage slatebridge.Stage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Model != f.Model || e.state.Layers != stage.Layers {
		return errors.Newf("engine holds other layers: %s of %s", e.state.Layers, e.state.Model)
	}
	p := attemptKey{stream: f.Stream, attempt: f.Attempt}
	last, seen := e.lastIndexes[p]
	if seen && f.Index != last+1 {
		return errors.Newf("token out of order: received %d after %d", f.Index, last)
	}
	e.lastIndexes[p] = f.Index

	return nil
}

// forwardToNextStage sends the value to the next stage and returns the result of the remaining
// stages.
func (e *Engine) forwardToNextStage(ctx context.Context, f forwardRequest) (forwardResponse, error) {
	stage := f.Pipeline[0]
	data, err := json.Marshal(f)
	if err != nil {
		return forwardResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, stage.URL+"/v1/forward", bytes.NewReader(data))
	if err != nil {
		return forwardResponse{}, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return forwardResponse{}, &stageError{server: stage.Server, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return forwardResponse{}, &stageError{server: stage.Server, cause: errors.Newf("unexpected HTTP status %d", resp.StatusCode)}
	}
	var out forwardResponse
	if err := json.Unmarshal(body, &out); err != nil {
		return forwardResponse{}, &stageError{server: stage.Server, cause: err}
	}
	if out.FailedServer != "" {
		return forwardResponse{}, &stageError{server: out.FailedServer, cause: errors.New("later pipeline stage failed")}
	}

	return out, nil
}

func (e *Engine) serveForward(w http.ResponseWriter, r *http.Request) {
	f, ok := httpjson.Read[forwardRequest](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	e.state.Streams++
	e.mu.Unlock()
	defer e.endStream()
	out, err := e.runStage(r.Context(), f)
	var stage *stageError
	if errors.As(err, &stage) {
		httpjson.Write(w, forwardResponse{FailedServer: stage.server})

		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}
	httpjson.Write(w, out)
}

// frameWriter sends frames and injects the faults that concern frames.
type frameWriter struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	currentFaults func() Faults
}

func (o frameWriter) send(f engine.Frame) bool {
	data, err := json.Marshal(f)
	if err != nil {
		return false
	}
	if _, err := o.w.Write(append(data, '\n')); err != nil {
		return false
	}

	return o.control.Flush() == nil
}

func (o frameWriter) sendToken(req engine.StreamRequest, index int, token string, executed []slatebridge.LayerRange) bool {
	f := engine.Frame{Attempt: req.Attempt, Index: index, Token: token, ExecutedLayers: executed}
	faults := o.currentFaults()
	if faults.StaleAttempt {
		f.Attempt--
	}
	if faults.SkipFrame == index+1 {
		return true
	}
	if faults.DuplicateFrames && !o.send(f) {
		return false
	}

	return o.send(f)
}

func (o frameWriter) sendFailure(req engine.StreamRequest, index int, err error) {
	f := engine.Frame{Attempt: req.Attempt, Index: index, Failure: err.Error()}
	var stage *stageError
	if errors.As(err, &stage) {
		f.FailedServer = stage.server
	}
	o.send(f)
}
