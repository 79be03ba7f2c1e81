package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/result"
)

// eventWriteTimeout is the write deadline of one event.
const eventWriteTimeout = 10 * time.Second

// sseWriter writes a chat response as server-sent events.
type sseWriter struct {
	request            *request
	chat               ChatRequest
	responseController *http.ResponseController
	started            bool
	tokenCount         int
}

// streamChat sends the response as server-sent events, one per token. The last event before
// [DONE] reports that the response is complete; a stream without it is truncated.
func (g *Gateway) streamChat(ctx context.Context, q *request, chat ChatRequest, svc slatebridge.Service) {
	events := &sseWriter{request: q, chat: chat, responseController: http.NewResponseController(q.resp)}
	_, err := g.runStream(ctx, q, chat, svc, events.writeToken)
	if err != nil && !events.started {
		g.reject(q, err)

		return
	}
	if err != nil {
		e := q.adjustExecution(result.FromError(err))
		events.fail(e)
		g.finish(q, e)

		return
	}
	events.finish()
	g.finish(q, nil)
}

// writeToken sends a token. Tokens are separated by spaces.
func (s *sseWriter) writeToken(token string) error {
	content := token
	if s.tokenCount > 0 {
		content = " " + token
	}
	s.tokenCount++

	return s.writeEvent("", s.newChunk(Choice{Delta: &Delta{Content: content}}))
}

// finish sends the final event of a complete response.
func (s *sseWriter) finish() {
	finishReason := "stop"
	last := s.newChunk(Choice{Delta: &Delta{}, FinishReason: &finishReason})
	last.Result = &Result{Code: result.OK, Execution: result.Executed, Complete: true, Tokens: s.tokenCount}
	if s.writeEvent("", last) == nil {
		_ = s.write("data: [DONE]\n\n")
	}
}

// fail sends the error event that ends an incomplete response.
func (s *sseWriter) fail(e *result.Error) {
	_ = s.writeEvent("error", Result{Code: e.Code, Execution: e.Execution, Tokens: s.tokenCount, Detail: e.Detail})
}

func (s *sseWriter) newChunk(c Choice) Completion {
	return Completion{
		ID:      s.request.id,
		Object:  "chat.completion.chunk",
		Created: s.request.started.Unix(),
		Model:   s.chat.Model,
		Choices: []Choice{c},
	}
}

// writeEvent sends v as JSON; an empty name omits the event field.
func (s *sseWriter) writeEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	text := "data: " + string(data) + "\n\n"
	if name != "" {
		text = "event: " + name + "\n" + text
	}

	return s.write(text)
}

// write sends the text and flushes it. The first write sends the headers.
func (s *sseWriter) write(text string) error {
	if !s.started {
		s.started = true
		s.request.resp.Header().Set("Content-Type", "text/event-stream")
		s.request.resp.Header().Set("Cache-Control", "no-store")
		s.request.resp.Header().Set(executionHeader, string(result.Executed))
	}
	// If the ResponseWriter does not support deadlines, the write has none.
	_ = s.responseController.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := s.request.resp.Write([]byte(text)); err != nil {
		return err
	}

	return s.responseController.Flush()
}
