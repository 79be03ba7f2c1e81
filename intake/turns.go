package intake

import "runtime"

// freeBodyBytes is how much is read of a request's body before it has to wait for its turn: several times
// the usual request.
const freeBodyBytes = 64 << 10

// turns bounds how many long bodies are decoded at the same time. Decoding takes processor time, most of all
// for a body in very small chunks, and the requests of ordinary callers must not queue behind any number of
// such bodies.
type turns struct{ slots chan struct{} }

// newTurns lets long bodies use half of the processors.
func newTurns() *turns {
	return &turns{slots: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))}
}

// begin waits for a turn, and then lets everything run first that is waiting for the processor.
func (t *turns) begin() {
	t.slots <- struct{}{}
	runtime.Gosched()
}

func (t *turns) end() { <-t.slots }

// bodyReader is the state of a connection while the body of its request is read. Only the goroutine that
// reads the body uses it.
type bodyReader struct {
	turns *turns
	// active is set while a body is read, and n counts the bytes that it has taken on the connection.
	active bool
	n      int64
	// inTurn is set from when the connection has delivered bytes until the next ones are wanted: while they
	// are decoded, and not while the caller is waited for.
	inTurn bool
}

// beforeRead ends the turn before the connection is read.
func (b *bodyReader) beforeRead() {
	if b.inTurn {
		b.inTurn = false
		b.turns.end()
	}
}

// afterRead begins a turn after n bytes were read, if the body is long.
func (b *bodyReader) afterRead(n int) {
	if b.n += int64(n); b.n > freeBodyBytes && n > 0 {
		b.turns.begin()
		b.inTurn = true
	}
}
