package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/stream"
)

// Limits of chat requests.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 8192
	maxMessages      = 1000
)

// ChatRequest is the body of a chat completion request. Model is the name of a service of
// the client account.
type ChatRequest struct {
	Model       string        `json:"model"`
	Messages    []ChatMessage `json:"messages"`
	MaxTokens   int           `json:"max_tokens,omitempty"`
	Stream      bool          `json:"stream,omitempty"`
	Temperature float64       `json:"temperature,omitempty"`
	TopP        float64       `json:"top_p,omitempty"`
	Seed        int64         `json:"seed,omitempty"`
	User        string        `json:"user,omitempty"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// validate checks the required fields and limits.
func (c ChatRequest) validate() error {
	switch {
	case c.Model == "":
		return result.New(result.Malformed, "model is missing")
	case len(c.Messages) == 0:
		return result.New(result.Malformed, "messages is empty")
	case len(c.Messages) > maxMessages:
		return result.New(result.Malformed, "more than %d messages", maxMessages)
	case c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit:
		return result.New(result.Malformed, "max_tokens must be from 1 to %d", maxTokensLimit)
	default:
		return nil
	}
}

const (
	// wordBytes is what a word of a prompt takes: twice as a string in a list, and encoded for an engine.
	wordBytes = 48
	// textCopies is how often the text of a prompt is held besides the body: decoded, and encoded for an
	// engine into a buffer that doubles.
	textCopies = 4
)

// decodedBytes returns what a chat request with the body takes, besides the body, until it is answered.
func decodedBytes(body []byte) int64 {
	words := 1
	for _, b := range body {
		if b == ' ' || b == '\\' || b == '{' {
			words++
		}
	}

	return textCopies*int64(len(body)) + wordBytes*int64(words)
}

// promptWords returns the words of all messages, each message preceded by its role.
func (c ChatRequest) promptWords() []string {
	n := len(c.Messages)
	for _, m := range c.Messages {
		n += strings.Count(m.Content, " ") + 1
	}
	words := make([]string, 0, n)
	for _, m := range c.Messages {
		words = append(words, m.Role+":")
		words = append(words, strings.Fields(m.Content)...)
	}

	return words
}

func (c ChatRequest) maxTokens() int {
	if c.MaxTokens == 0 {
		return defaultMaxTokens
	}

	return c.MaxTokens
}

// CallerHandler returns the HTTP handler for callers. It serves no control endpoints.
func (g *Gateway) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.serveChat)
	mux.HandleFunc("POST /v1/services/{service}/call", g.serveCall)

	return mux
}

// serveChat handles a chat completion request.
func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	q := newRequest(kindChat, w, r)
	chat, svc, err := g.readChat(q)
	if err != nil {
		g.reject(q, err)

		return
	}
	g.withAdmission(q, svc, func(ctx context.Context) {
		if chat.Stream {
			g.streamChat(ctx, q, chat, svc)

			return
		}
		g.completeChat(ctx, q, chat, svc)
	})
}

// readChat reads and validates a chat completion request, and returns it with its service.
func (g *Gateway) readChat(q *request) (ChatRequest, slatebridge.Service, error) {
	body, err := readBody(q, g.maxBodyBytes)
	if err != nil {
		return ChatRequest{}, slatebridge.Service{}, err
	}
	if !intake.RequestOf(q.req.Context()).Hold().Grow(decodedBytes(body)) {
		return ChatRequest{}, slatebridge.Service{}, errNoMemory()
	}
	chat, err := decodeStrict[ChatRequest](body)
	if err != nil {
		return chat, slatebridge.Service{}, err
	}
	if err := chat.validate(); err != nil {
		return chat, slatebridge.Service{}, err
	}
	svc, err := g.lookupService(q, chat.Model, slatebridge.ModelService)

	return chat, svc, err
}

// runStream runs the request on pipelines until the response is complete.
func (g *Gateway) runStream(ctx context.Context, q *request, chat ChatRequest, svc slatebridge.Service, emit stream.EmitFunc) (stream.Summary, error) {
	var current slatebridge.Pipeline
	selectPipeline := func(previous slatebridge.Pipeline, excluded stream.ExcludedServers) (slatebridge.Pipeline, error) {
		g.router.StreamClosed(current)
		current = nil
		p, err := g.router.SelectPipeline(svc, previous, excluded)
		if err == nil {
			current = p
			g.router.StreamOpened(p)
		}

		return p, err
	}
	defer func() { g.router.StreamClosed(current) }()
	summary, err := g.runner.Run(ctx, stream.Request{
		AttemptTemplate: engine.StreamRequest{
			StreamID:  q.id,
			Model:     svc.Instance.Model,
			Adapter:   svc.Instance.Adapter,
			Priority:  svc.Instance.Priority,
			Prompt:    chat.promptWords(),
			MaxTokens: chat.maxTokens(),
			Sampling:  engine.Sampling{Temperature: chat.Temperature, TopP: chat.TopP, Seed: chat.Seed},
		},
		Layers:         svc.Template.Layers,
		SelectPipeline: selectPipeline,
		Emit:           emit,
	})
	g.metrics.tokens.Add(float64(summary.Tokens))
	g.metrics.attempts.Add(float64(summary.Attempts))

	return summary, err
}

// completeChat sends the complete response as a single JSON body.
func (g *Gateway) completeChat(ctx context.Context, q *request, chat ChatRequest, svc slatebridge.Service) {
	var words []string
	summary, err := g.runStream(ctx, q, chat, svc, func(token string) error {
		words = append(words, token)

		return nil
	})
	if err != nil {
		g.reject(q, err)

		return
	}
	q.resp.Header().Set("Content-Type", "application/json")
	q.resp.Header().Set(executionHeader, string(result.Executed))
	_ = json.NewEncoder(q.resp).Encode(newCompletion(q, chat, strings.Join(words, " "), summary.Tokens))
	g.finish(q, nil)
}

// Completion is a complete response or one chunk of a streamed response, in the format of
// the chat completions API.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Result is set in a complete response and in the last chunk of a complete stream. An
	// incomplete stream ends with an error event instead, which holds a Result.
	Result *Result `json:"slatebridge,omitempty"`
}

// Choice is the only choice of a completion. Streamed responses set Delta instead of
// Message.
type Choice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *Delta       `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// Delta is the content that a stream event appends to the response.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Result tells the caller whether the response is complete, and if not, why.
type Result struct {
	Code      result.Code            `json:"code"`
	Execution result.ExecutionStatus `json:"ran"`
	Complete  bool                   `json:"whole"`
	Tokens    int                    `json:"tokens"`
	Detail    string                 `json:"detail,omitempty"`
}

// newCompletion returns a complete response.
func newCompletion(q *request, chat ChatRequest, text string, tokens int) Completion {
	finishReason := "stop"
	promptTokens := len(chat.promptWords())

	return Completion{
		ID:      q.id,
		Object:  "chat.completion",
		Created: q.started.Unix(),
		Model:   chat.Model,
		Choices: []Choice{{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: &finishReason}},
		Usage:   &Usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens},
		Result:  &Result{Code: result.OK, Execution: result.Executed, Complete: true, Tokens: tokens},
	}
}
