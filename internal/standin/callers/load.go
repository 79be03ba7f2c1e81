// Package callers is a load generator that emulates callers. It sends a mix of chat requests and
// calls through all gateways, retries as a caller should, and verifies every response.
package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
)

// Plan describes the load to generate. Its fields, and those of Chat and Call, are encoded as JSON
// under their Go names.
type Plan struct {
	// Gateways are the base URLs of the gateways' listeners for callers.
	Gateways []string
	// Ledgers are the base URLs of plain servers, one per service, that report how often each
	// idempotency key was executed.
	Ledgers  []string
	Requests int
	Workers  int
	Chats    []Chat
	Calls    []Call
	Seed     uint64
}

// Chat is a model service of a client account, with the parameters that determine its responses.
type Chat struct {
	Account string
	Service string
	Model   slatebridge.ModelVersion
	Adapter string
	Layers  int
	Tokens  int
}

// Call is a plain service of a client account.
type Call struct {
	Account string
	Service string
}

// Summary counts the results of the requests.
type Summary struct {
	Sent int
	// Complete counts requests with a complete and correct response; String prints it as whole.
	Complete int
	Refused  int
	// UnknownOutcome counts calls that were answered with an unknown execution status. They are
	// part of Refused.
	UnknownOutcome int
	// Failed counts requests without a final response or with a wrong one, and calls that were
	// answered as complete but never executed; String prints it as lost.
	Failed int
	// DuplicateExecutions counts keys that were executed more than once, or executed although the
	// caller was told that they were not; String prints it as doubled.
	DuplicateExecutions int
}

// String returns the summary line that the demo prints last.
func (s Summary) String() string {
	return fmt.Sprintf("sent=%d whole=%d refused=%d lost=%d doubled=%d", s.Sent, s.Complete, s.Refused, s.Failed, s.DuplicateExecutions)
}

// result is the final result of one request.
type result int

const (
	resultComplete result = iota
	resultRefused
	resultUnknown
	resultFailed
)

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 8

// generator sends the requests of a plan.
type generator struct {
	plan   Plan
	client *http.Client

	mu      sync.Mutex
	summary Summary
	// finalResults holds the final result of each call, by idempotency key.
	finalResults map[string]result
}

// Run sends the requests of the plan and verifies the responses and the reported executions.
func Run(ctx context.Context, plan Plan, client *http.Client) (Summary, error) {
	r := &generator{plan: plan, client: client, finalResults: make(map[string]result)}
	var wg sync.WaitGroup
	next := make(chan int)
	for range plan.Workers {
		wg.Go(func() {
			for i := range next {
				r.sendOne(ctx, i)
			}
		})
	}
	for i := range plan.Requests {
		next <- i
	}
	close(next)
	wg.Wait()
	err := r.verifyExecutions(ctx)

	return r.summary, err
}

func (r *generator) sendOne(ctx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))
	var res result
	if i%2 == 0 {
		res = r.sendChat(ctx, rnd, r.plan.Chats[rnd.IntN(len(r.plan.Chats))])
	} else {
		res = r.sendCall(ctx, rnd, r.plan.Calls[rnd.IntN(len(r.plan.Calls))])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Sent++
	switch res {
	case resultComplete:
		r.summary.Complete++
	case resultRefused:
		r.summary.Refused++
	case resultUnknown:
		r.summary.UnknownOutcome++
		r.summary.Refused++
	case resultFailed:
		r.summary.Failed++
	}
}

// sendChat sends a chat request until it gets a response with status 200, at most maxAttempts
// times, and verifies that response.
func (r *generator) sendChat(ctx context.Context, rnd *rand.Rand, c Chat) result {
	content := "item " + strconv.FormatUint(rnd.Uint64(), 36)
	body, _ := json.Marshal(struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens"`
	}{c.Service, []chatMessage{{"user", content}}, c.Tokens})
	want := engines.ExpectedAnswer(c.Model, c.Adapter, append([]string{"user:"}, strings.Fields(content)...), c.Layers, c.Tokens)
	last := resultRefused
	for range maxAttempts {
		resp, err := r.post(ctx, rnd, c.Account, "/v1/chat/completions", "", body, true)
		if err != nil {
			last = resultFailed

			continue
		}
		if resp.status == http.StatusOK {
			return verifyChat(resp.body, want)
		}
		last = resultRefused
		resp.waitBeforeRetry(ctx)
	}

	return last
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func verifyChat(body []byte, want string) result {
	var answer struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
		return resultFailed
	}

	return resultComplete
}

// sendCall sends a call, with one idempotency key for all attempts. It retries after a refusal or a
// connection error, up to maxAttempts, but not after an answer that says that the call may have
// run.
func (r *generator) sendCall(ctx context.Context, rnd *rand.Rand, c Call) result {
	key := uuid.Must(uuid.NewV7()).String()
	body := []byte(`{"amount":` + strconv.Itoa(rnd.IntN(1000)) + `}`)
	res := resultRefused
	for range maxAttempts {
		// An attempt is marked as the first try unless the one before it ended in a connection
		// error, after which the call may have run.
		resp, err := r.post(ctx, rnd, c.Account, "/v1/services/"+c.Service+"/call", key, body, res == resultRefused)
		if err != nil {
			res = resultFailed

			continue
		}
		res = verifyCall(resp, key)
		if res != resultRefused {
			break
		}
		resp.waitBeforeRetry(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalResults[key] = res

	return res
}

func verifyCall(resp response, key string) result {
	if resp.status != http.StatusOK {
		if resp.executionStatus == "no" {
			return resultRefused
		}

		return resultUnknown
	}
	var answer struct {
		Key string `json:"key"`
		Run int    `json:"run"`
	}
	if json.Unmarshal(resp.body, &answer) != nil || answer.Key != key || answer.Run != 1 {
		return resultFailed
	}

	return resultComplete
}

// response is the response of a gateway.
type response struct {
	status          int
	executionStatus string
	retryAfter      time.Duration
	body            []byte
}

// defaultRetryDelay is the delay before a retry if the response has no Retry-After header.
const defaultRetryDelay = 200 * time.Millisecond

func (r response) waitBeforeRetry(ctx context.Context) {
	d := r.retryAfter
	if d == 0 {
		d = defaultRetryDelay
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *generator) post(ctx context.Context, rnd *rand.Rand, account, path, key string, body []byte, first bool) (response, error) {
	base := r.plan.Gateways[rnd.IntN(len(r.plan.Gateways))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Slatebridge-Account", account)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if first {
		req.Header.Set("Slatebridge-First-Try", "yes")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))

	return response{
		status:          resp.StatusCode,
		executionStatus: resp.Header.Get("Slatebridge-Ran"),
		retryAfter:      time.Duration(seconds) * time.Second,
		body:            data,
	}, nil
}

// verifyExecutions compares the results of calls with the executions that the servers report.
func (r *generator) verifyExecutions(ctx context.Context) error {
	runs := make(map[string]int)
	for _, base := range r.plan.Ledgers {
		if err := r.addExecutions(ctx, base, runs); err != nil {
			return err
		}
	}
	for key, res := range r.finalResults {
		n := runs[key]
		if n > 1 || n == 1 && res == resultRefused {
			r.summary.DuplicateExecutions++
		}
		if n == 0 && res == resultComplete {
			r.summary.Failed++
		}
	}

	return nil
}

func (r *generator) addExecutions(ctx context.Context, base string, runs map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/runs", http.NoBody)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var list map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	for key, n := range list {
		runs[key] += n
	}

	return nil
}
