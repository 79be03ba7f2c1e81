// Package plainservice is a stand-in for plain services, which run a call on one server without a
// model. It records each execution, so that tests can count them.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/internal/standin/httpjson"
)

// Faults are the faults that are injected into a server.
type Faults struct {
	// CutAnswers executes calls and breaks the connection instead of responding.
	CutAnswers bool `json:"cut_answers"`
	// Delay is the time between the execution of a call and its response. Its JSON value is in
	// nanoseconds.
	Delay time.Duration `json:"delay"`
}

// Executions is the record of executions that the servers of one service share: the number of
// executions of each idempotency key, and the answer to it.
type Executions struct {
	deduplicate bool

	mu         sync.Mutex
	executions map[string]int
	// answers holds the answer to the latest execution of each key.
	answers map[string]Answer
}

// NewExecutions returns an empty record of executions. With deduplicate, the service answers a
// repeated key with the first answer and does not execute it again.
func NewExecutions(deduplicate bool) *Executions {
	return &Executions{deduplicate: deduplicate, executions: make(map[string]int), answers: make(map[string]Answer)}
}

// Answer is the answer to a call. Run is the number of the execution of the key, from 1.
type Answer struct {
	Key  string          `json:"key"`
	Run  int             `json:"run"`
	Echo json.RawMessage `json:"echo"`
}

// Runs returns the number of executions of each key.
func (e *Executions) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.executions))
	for k, n := range e.executions {
		runs[k] = n
	}

	return runs
}

func (e *Executions) execute(key string, body []byte) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, seen := e.answers[key]; seen && e.deduplicate {
		return a
	}
	e.executions[key]++
	a := Answer{Key: key, Run: e.executions[key], Echo: body}
	e.answers[key] = a

	return a
}

// Server is one server of a plain service.
type Server struct {
	executions *Executions

	mu     sync.Mutex
	faults Faults
}

// New returns a server that records in executions what it executes.
func New(executions *Executions) *Server {
	return &Server{executions: executions}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP interface of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{service}", s.serveCall)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, s.executions.Runs())
	})
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		if f, ok := httpjson.Read[Faults](w, r); ok {
			s.SetFaults(f)
		}
	})

	return mux
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	a := s.executions.execute(r.Header.Get("Idempotency-Key"), body)
	// The execution is already recorded, and counts even if the client disconnects during the
	// delay.
	time.Sleep(f.Delay)
	if f.CutAnswers {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, a)
}
