package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
)

// Answer is the response to a caller.
type Answer struct {
	// Err is set if the request failed or the connection broke before the end of the response.
	Err    error
	Status int
	Header http.Header
	Body   string
	// Text is the text of a chat response, and Complete reports whether it was marked as complete.
	Text     string
	Complete bool
	// TimeToFirstToken and MaxTokenGap are measured in virtual time, for streams only.
	TimeToFirstToken time.Duration
	MaxTokenGap      time.Duration
}

// Post sends a request to the gateway of the box. Each request has its own connection.
func (f *Cluster) Post(ctx context.Context, id slatebridge.BoxID, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+GatewayHost(id)+":80"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	req.Header.Set("Slatebridge-Account", Account)
	client := f.Net.Client(CallerHost)
	client.Transport.(*http.Transport).DisableKeepAlives = true

	return client.Do(req)
}

// Call sends a call to the plain service with the idempotency key. With first, it is marked as the
// first try.
func (f *Cluster) Call(ctx context.Context, id slatebridge.BoxID, key string, first bool) Answer {
	h := http.Header{"Idempotency-Key": {key}}
	if first {
		h.Set("Slatebridge-First-Try", "yes")
	}
	resp, err := f.Post(ctx, id, "/v1/services/"+RefundName+"/call", `{"amount":1}`, h)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)

	return Answer{Err: err, Status: resp.StatusCode, Header: resp.Header, Body: string(body)}
}

// Chat requests a streamed chat response with the given number of tokens.
func (f *Cluster) Chat(ctx context.Context, id slatebridge.BoxID, content string, tokens int) Answer {
	body, _ := json.Marshal(struct {
		Model     string              `json:"model"`
		Messages  []map[string]string `json:"messages"`
		MaxTokens int                 `json:"max_tokens"`
		Stream    bool                `json:"stream"`
	}{ChatName, []map[string]string{{"role": "user", "content": content}}, tokens, true})
	start := time.Now()
	resp, err := f.Post(ctx, id, "/v1/chat/completions", string(body), http.Header{})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	a.readEvents(resp.Body, start)

	return a
}

// ExpectedChatText returns the correct text of a Chat response.
func ExpectedChatText(content string, tokens int) string {
	prompt := append([]string{"user:"}, strings.Fields(content)...)

	return engines.ExpectedAnswer(Model(), "", prompt, LayerCount, tokens)
}

func (a *Answer) readEvents(r io.Reader, start time.Time) {
	last := start
	var all strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		all.WriteString(lines.Text() + "\n")
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Result *struct {
				Whole bool `json:"whole"`
			} `json:"slatebridge"`
		}
		if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
			continue
		}
		if event.Result != nil {
			a.Complete = event.Result.Whole
		}
		if event.Choices[0].Delta.Content == "" {
			continue
		}
		a.Text += event.Choices[0].Delta.Content
		last = a.recordToken(start, last)
	}
	a.Err = lines.Err()
	a.Body = all.String()
}

func (a *Answer) recordToken(start, last time.Time) time.Time {
	now := time.Now()
	if a.TimeToFirstToken == 0 {
		a.TimeToFirstToken = now.Sub(start)

		return now
	}
	a.MaxTokenGap = max(a.MaxTokenGap, now.Sub(last))

	return now
}
