// Package callers is a stand-in for callers: it sends mixed requests through
// all gateways, retries as a careful caller would, and checks every answer.
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

// Plan says what to send.
type Plan struct {
	// Gateways are the callers' base URLs of the gateways.
	Gateways []string
	// Ledgers are the base URLs of plain servers, one for each service.
	Ledgers  []string
	Requests int
	Workers  int
	Chats    []Chat
	Calls    []Call
	Seed     uint64
}

// Chat is a model service of a client account, and what its answer is made
// from.
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

// Summary counts what became of the requests.
type Summary struct {
	Sent    int
	Whole   int
	Refused int
	// MaybeRun counts calls whose outcome the caller was told is unknown.
	MaybeRun int
	// Lost counts requests without a final answer, or with a wrong one.
	Lost int
	// Doubled counts keys that were executed more than once, or executed
	// although the caller was told that they were not.
	Doubled int
}

// String returns the line that the demo ends with.
func (s Summary) String() string {
	return fmt.Sprintf("sent=%d whole=%d refused=%d lost=%d doubled=%d", s.Sent, s.Whole, s.Refused, s.Lost, s.Doubled)
}

// outcome is what became of one request.
type outcome int

const (
	whole outcome = iota
	refused
	maybe
	lost
)

// maxTries is how often a caller sends one request.
const maxTries = 8

// runner sends the requests of a plan.
type runner struct {
	plan   Plan
	client *http.Client

	mu  sync.Mutex
	sum Summary
	// told is the last word on each key.
	told map[string]outcome
}

// Run sends the plan's requests and checks their answers and the ledgers.
func Run(ctx context.Context, plan Plan, client *http.Client) (Summary, error) {
	r := &runner{plan: plan, client: client, told: make(map[string]outcome)}
	var wg sync.WaitGroup
	next := make(chan int)
	for range plan.Workers {
		wg.Go(func() {
			for i := range next {
				r.one(ctx, i)
			}
		})
	}
	for i := range plan.Requests {
		next <- i
	}
	close(next)
	wg.Wait()
	err := r.compareLedgers(ctx)

	return r.sum, err
}

func (r *runner) one(ctx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))
	var o outcome
	if i%2 == 0 {
		o = r.chat(ctx, rnd, r.plan.Chats[rnd.IntN(len(r.plan.Chats))])
	} else {
		o = r.call(ctx, rnd, r.plan.Calls[rnd.IntN(len(r.plan.Calls))])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Sent++
	switch o {
	case whole:
		r.sum.Whole++
	case refused:
		r.sum.Refused++
	case maybe:
		r.sum.MaybeRun++
		r.sum.Refused++
	case lost:
		r.sum.Lost++
	}
}

// chat sends a chat request until it is answered whole.
func (r *runner) chat(ctx context.Context, rnd *rand.Rand, c Chat) outcome {
	content := "item " + strconv.FormatUint(rnd.Uint64(), 36)
	body, _ := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  []roleAndPhrase `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
	}{c.Service, []roleAndPhrase{{"user", content}}, c.Tokens})
	want := engines.Expected(c.Model, c.Adapter, append([]string{"user:"}, strings.Fields(content)...), c.Layers, c.Tokens)
	last := refused
	for range maxTries {
		rep, err := r.post(ctx, rnd, c.Account, "/v1/chat/completions", "", body, true)
		if err != nil {
			last = lost

			continue
		}
		if rep.status == http.StatusOK {
			return checkChat(rep.body, want)
		}
		last = refused
		rep.pause(ctx)
	}

	return last
}

type roleAndPhrase struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func checkChat(body []byte, want string) outcome {
	var answer struct {
		Choices []struct {
			Message roleAndPhrase `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
		return lost
	}

	return whole
}

// call sends a call until it is answered, with one key in all tries. Whoever
// is told that the call may have run stops there.
func (r *runner) call(ctx context.Context, rnd *rand.Rand, c Call) outcome {
	key := uuid.Must(uuid.NewV7()).String()
	body := []byte(`{"amount":` + strconv.Itoa(rnd.IntN(1000)) + `}`)
	o := refused
	for range maxTries {
		// Only what was refused as not run leaves the next try the first.
		rep, err := r.post(ctx, rnd, c.Account, "/v1/services/"+c.Service+"/call", key, body, o == refused)
		if err != nil {
			o = lost

			continue
		}
		o = checkCall(rep, key)
		if o != refused {
			break
		}
		rep.pause(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[key] = o

	return o
}

func checkCall(rep reply, key string) outcome {
	if rep.status != http.StatusOK {
		if rep.ran == "no" {
			return refused
		}

		return maybe
	}
	var answer struct {
		Key string `json:"key"`
		Run int    `json:"run"`
	}
	if json.Unmarshal(rep.body, &answer) != nil || answer.Key != key || answer.Run != 1 {
		return lost
	}

	return whole
}

// reply is one answer of a gateway.
type reply struct {
	status     int
	ran        string
	retryAfter time.Duration
	body       []byte
}

// defaultPause is the pause before another try, without better advice.
const defaultPause = 200 * time.Millisecond

func (r reply) pause(ctx context.Context) {
	d := r.retryAfter
	if d == 0 {
		d = defaultPause
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *runner) post(ctx context.Context, rnd *rand.Rand, account, path, key string, body []byte, first bool) (reply, error) {
	base := r.plan.Gateways[rnd.IntN(len(r.plan.Gateways))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
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
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))

	return reply{
		status:     resp.StatusCode,
		ran:        resp.Header.Get("Slatebridge-Ran"),
		retryAfter: time.Duration(seconds) * time.Second,
		body:       data,
	}, nil
}

// compareLedgers checks what callers were told against what was executed.
func (r *runner) compareLedgers(ctx context.Context) error {
	runs := make(map[string]int)
	for _, base := range r.plan.Ledgers {
		if err := r.addRuns(ctx, base, runs); err != nil {
			return err
		}
	}
	for key, o := range r.told {
		n := runs[key]
		if n > 1 || n == 1 && o == refused {
			r.sum.Doubled++
		}
		if n == 0 && o == whole {
			r.sum.Lost++
		}
	}

	return nil
}

func (r *runner) addRuns(ctx context.Context, base string, runs map[string]int) error {
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
