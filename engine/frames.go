package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
)

// maxFrameBytes is the maximum size of an encoded frame, in bytes: a token and the layers that ran it.
const maxFrameBytes = 64 << 10

// StreamRequest starts one attempt of a stream.
type StreamRequest struct {
	// StreamID is the ID of the caller's request. All attempts share it.
	StreamID string `json:"stream"`
	// Attempt is the number of the attempt, starting at 1.
	Attempt int                      `json:"attempt"`
	Model   slatebridge.ModelVersion `json:"model"`
	Adapter string                   `json:"adapter,omitempty"`
	// Priority is from 0 to 9; higher is more urgent.
	Priority int                  `json:"priority"`
	Pipeline slatebridge.Pipeline `json:"pipeline"`
	// Prompt holds the words of the prompt, each counted as a token.
	Prompt []string `json:"prompt"`
	// DeliveredTokens are the tokens already delivered to the caller. The attempt
	// continues after them.
	DeliveredTokens []string `json:"delivered,omitempty"`
	// MaxTokens limits the response, including DeliveredTokens.
	MaxTokens int      `json:"max_tokens"`
	Sampling  Sampling `json:"sampling"`
}

// Sampling holds the sampling parameters passed to the engines.
type Sampling struct {
	Temperature float64 `json:"temperature,omitempty"`
	TopP        float64 `json:"top_p,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
}

// Frame is one message of an attempt: a token, the end of the response, or a failure.
type Frame struct {
	Attempt int `json:"attempt"`
	// Index is the zero-based position of the token in the whole response.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// ExecutedLayers lists the layer ranges that computed the token, in order.
	ExecutedLayers []slatebridge.LayerRange `json:"ran,omitempty"`
	// Final marks the end of a complete response of Index tokens.
	Final bool `json:"final,omitempty"`
	// FailedServer is the pipeline stage that failed and ended the attempt.
	FailedServer slatebridge.ServerID `json:"failed_server,omitempty"`
	// Failure is the reason why the attempt ended.
	Failure string `json:"failure,omitempty"`
}

// FrameStream reads the frames of one attempt.
type FrameStream struct {
	// Next returns the next frame, or an error if the connection failed or ended.
	Next func() (Frame, error)
	// Close closes the connection, which makes the engine cancel the attempt.
	Close func()
}

func (c httpClient) openStream(ctx context.Context, req StreamRequest) (*FrameStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, req.Pipeline[0].URL+"/v1/streams", req) //nolint:bodyclose // FrameStream.Close closes it.
	if err != nil {
		cancel()

		return nil, errors.Wrap(err, "engine: open")
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()

		return nil, statusError(resp.StatusCode)
	}
	closeBody := func() {
		cancel()
		_ = resp.Body.Close()
	}

	return &FrameStream{Next: frameReader(resp.Body), Close: closeBody}, nil
}

// statusError returns the error for a stream that the engine did not start.
func statusError(status int) error {
	err := errors.Mark(errors.Newf("engine: open: status %d", status), ErrRefused)
	if status == http.StatusServiceUnavailable {
		return errors.Mark(err, ErrLeaving)
	}

	return err
}

// frameReader returns a function that reads one frame per line of r. It reports the end
// of the input as io.ErrUnexpectedEOF.
func frameReader(r io.Reader) func() (Frame, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxFrameBytes)

	return func() (Frame, error) {
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return Frame{}, errors.Wrap(err, "engine: frame")
			}

			return Frame{}, io.ErrUnexpectedEOF
		}

		return DecodeFrame(lines.Bytes())
	}
}

// DecodeFrame decodes a frame from a line of JSON.
func DecodeFrame(line []byte) (Frame, error) {
	var f Frame
	err := json.Unmarshal(line, &f)

	return f, errors.Wrap(err, "engine: frame")
}
