// Package memberlist is a stand-in for the list of boxes and backend servers, which lags behind
// changes, of a platform with a log service and a membership list, on which the gateway and the
// controller run. Its client is logstore.MembershipClient. Package platform/standin is for the
// platform with a store.
package memberlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/internal/standin/httpjson"
	"github.com/slatebridge/slatebridge/logstore"
)

// Service is the list. An update becomes visible after the lag.
type Service struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	current logstore.Membership
	pending []pendingUpdate
}

type pendingUpdate struct {
	visibleAt time.Time
	members   logstore.Membership
}

// New returns a list with the content m and a lag for updates.
func New(m logstore.Membership, lag time.Duration) *Service {
	return &Service{current: m, lag: lag}
}

// Set replaces the list. Readers see the new list after the lag.
func (s *Service) Set(m logstore.Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingUpdate{visibleAt: time.Now().Add(s.lag), members: m})
}

// SetDown starts or ends an outage of the list.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Get returns the list that is visible now.
func (s *Service) Get(context.Context) (logstore.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return logstore.Membership{}, errors.Mark(errors.New("list stand-in: down"), logstore.ErrNoValidResponse)
	}
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(time.Now()) {
		s.current = s.pending[0].members
		s.pending = s.pending[1:]
	}

	return s.current, nil
}

// Client returns a client that accesses the list directly, without a network.
func (s *Service) Client() logstore.MembershipClient {
	return logstore.MembershipClient{Get: s.Get}
}

// Handler returns the HTTP interface of the list.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, r *http.Request) {
		m, err := s.Get(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)

			return
		}
		httpjson.Write(w, m)
	})
	mux.HandleFunc("PUT /v1/members", func(w http.ResponseWriter, r *http.Request) {
		if m, ok := httpjson.Read[logstore.Membership](w, r); ok {
			s.Set(m)
		}
	})

	return mux
}
