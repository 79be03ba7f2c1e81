package box

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/mesh"
)

// skipDuration is how long a box that did not answer is not asked again.
const skipDuration = 500 * time.Millisecond

// errUnanswered reports that a box did not answer a request in time.
var errUnanswered = errors.New("the box did not answer in time")

// exchanges are requests to other boxes that wait for their answers.
type exchanges[T any] struct {
	timeout time.Duration

	mu sync.Mutex
	// waiting are the unanswered requests by message ID.
	waiting map[uint64]chan T
	lastID  uint64
	// skippedUntil is, by box that did not answer, until when it is not asked.
	skippedUntil map[slatebridge.BoxID]time.Time
}

func newExchanges[T any](timeout time.Duration) *exchanges[T] {
	return &exchanges[T]{
		timeout: timeout, waiting: make(map[uint64]chan T),
		// After a restart the box must not accept answers to requests of its previous process.
		lastID: uint64(rand.Uint32()), skippedUntil: make(map[slatebridge.BoxID]time.Time),
	}
}

// exchange calls send with the ID of a new request to the box, and waits for the answer. A box that
// does not answer is skipped for a while.
func (x *exchanges[T]) exchange(ctx context.Context, to slatebridge.BoxID, send func(id uint64)) (T, error) {
	id, answer := x.open()
	defer x.close(id)
	send(id)
	timeout := time.NewTimer(x.timeout)
	defer timeout.Stop()
	var none T
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	case <-timeout.C:
		x.skip(to)

		return none, errors.Wrapf(errUnanswered, "box %s", to)
	}
}

func (x *exchanges[T]) open() (uint64, chan T) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastID++
	answer := make(chan T, 1)
	x.waiting[x.lastID] = answer

	return x.lastID, answer
}

func (x *exchanges[T]) close(id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiting, id)
}

// deliver passes an answer to the waiting request. Late and repeated answers are dropped.
func (x *exchanges[T]) deliver(id uint64, answer T) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if waiting, ok := x.waiting[id]; ok {
		delete(x.waiting, id)
		waiting <- answer
	}
}

// skip excludes a box for a while, so that not every request waits for it.
func (x *exchanges[T]) skip(id slatebridge.BoxID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.skippedUntil[id] = clock.Now().Add(skipDuration)
}

func (x *exchanges[T]) isSkipped(id slatebridge.BoxID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	until, ok := x.skippedUntil[id]
	if ok && !clock.Now().Before(until) {
		delete(x.skippedUntil, id)
		ok = false
	}

	return ok
}

// sendDirect sends a message that belongs to no round of gossip. Its boot ID and its zero timestamp
// make boxes of versions that do not know its kind drop it as outdated.
func (b *Box) sendDirect(m mesh.Message, to string) {
	m.Box, m.Hall, m.Boot = b.settings.Box, b.settings.Hall, b.bootID
	if m.Kind != mesh.RoomResponse {
		// The receiver of an answer knows the address of the sender.
		m.Address = b.settings.Listen.Mesh
	}
	d, err := m.Encode()
	if err == nil {
		err = b.socket.Send(d, []mesh.Target{{Address: to}})
	}
	if err != nil {
		b.metrics.meshError(err)
	}
	b.metrics.meshSent(1, len(d))
}
