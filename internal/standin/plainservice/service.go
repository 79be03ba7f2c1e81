// Package plainservice is a stand-in for plain services: it records each
// execution, so that a test can count them.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/internal/standin/httpjson"
)

// Faults says what is wrong with the service at the moment.
type Faults struct {
	// CutAnswers runs calls and breaks the connection in place of answering.
	CutAnswers bool `json:"cut_answers"`
	// Delay is how long a call takes.
	Delay time.Duration `json:"delay"`
}

// Ledger is what the servers of one service share: the executions, by key,
// and the answers to keys if the service checks for duplicates.
type Ledger struct {
	checks bool

	mu   sync.Mutex
	runs map[string]int
	// answers holds what was answered to each key.
	answers map[string]Execution
}

// NewLedger returns an empty ledger. With checks, the service answers a
// repeated key with the first answer and does not run it again.
func NewLedger(checks bool) *Ledger {
	return &Ledger{checks: checks, runs: make(map[string]int), answers: make(map[string]Execution)}
}

// Execution is the service's answer: which execution of the key it was.
type Execution struct {
	Key  string          `json:"key"`
	Run  int             `json:"run"`
	Echo json.RawMessage `json:"echo"`
}

// Runs returns how often each key was executed.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for k, n := range l.runs {
		runs[k] = n
	}

	return runs
}

func (l *Ledger) execute(key string, body []byte) Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, seen := l.answers[key]; seen && l.checks {
		return a
	}
	l.runs[key]++
	a := Execution{Key: key, Run: l.runs[key], Echo: body}
	l.answers[key] = a

	return a
}

// Server is one server of a plain service.
type Server struct {
	ledger *Ledger

	mu     sync.Mutex
	faults Faults
}

// New returns a server that records into the ledger.
func New(ledger *Ledger) *Server {
	return &Server{ledger: ledger}
}

// SetFaults switches the faults.
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
		httpjson.Write(w, s.ledger.Runs())
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
	a := s.ledger.execute(r.Header.Get("Idempotency-Key"), body)
	// The execution stands even if the caller goes away meanwhile.
	time.Sleep(f.Delay)
	if f.CutAnswers {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, a)
}
