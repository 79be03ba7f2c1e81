package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
)

// refusalTTL is how long a refused move is remembered. Afterwards, other streams have ended at the
// server.
const refusalTTL = time.Second

// moveRefusals holds the last refused move to each server. A server that refuses one stream may have
// room for smaller ones. The zero value is empty.
type moveRefusals struct {
	mu   sync.Mutex
	last map[slatebridge.ServerID]moveRefusal
}

// moveRefusal is a refused move of a stream.
type moveRefusal struct {
	requestID string
	at        time.Time
}

// add records that a server refused a stream, and reports whether it refused another one just before.
func (r *moveRefusals) add(id slatebridge.ServerID, requestID string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[slatebridge.ServerID]moveRefusal)
	}
	maps.DeleteFunc(r.last, func(_ slatebridge.ServerID, v moveRefusal) bool { return now.Sub(v.at) > refusalTTL })
	before, known := r.last[id]
	r.last[id] = moveRefusal{requestID, now}

	return known && before.requestID != requestID
}

// forget records that the servers of the path accepted a stream.
func (r *moveRefusals) forget(p fleet.Path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p {
		delete(r.last, s.Server.ID)
	}
}
