package intake

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyConn delivers what is sent on a channel, and nothing until then.
type bodyConn struct {
	net.Conn
	arrived chan []byte
	rest    []byte
}

// Read waits for bytes.
func (c *bodyConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		data, ok := <-c.arrived
		if !ok {
			return 0, io.EOF
		}
		c.rest = data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]

	return n, nil
}

// decoder reads a connection and takes a while for what it has read, as the decoding of chunks does.
type decoder struct {
	conn  *Conn
	takes time.Duration
}

// Read reads and decodes.
func (d decoder) Read(p []byte) (int, error) {
	n, err := d.conn.Read(p)
	time.Sleep(d.takes)

	return n, err
}

// bodyTest has requests of one listener with a single turn.
type bodyTest struct{ ln *Listener }

func newBodyTest() bodyTest {
	ln := NewListener(nil, NewMemory(64<<20), 100)
	ln.turns.slots = make(chan struct{}, 1)

	return bodyTest{ln: ln}
}

// read reads a body whose decoding takes the given time for each read, and closes done when it has been read.
func (b bodyTest) read(c *bodyConn, takes time.Duration) (done chan error) {
	conn := &Conn{Conn: c, listener: b.ln, hold: b.ln.memory.Hold(), body: bodyReader{turns: b.ln.turns}}
	done = make(chan error, 1)
	go func() {
		_, err := (&Request{conn: conn}).ReadBody(decoder{conn: conn, takes: takes}, -1)
		done <- err
	}()

	return done
}

func newBodyConn() *bodyConn { return &bodyConn{arrived: make(chan []byte, 1)} }

// whole returns a connection that delivers the whole body.
func whole(size int) *bodyConn {
	c := newBodyConn()
	c.arrived <- bytes.Repeat([]byte("x"), size)
	close(c.arrived)

	return c
}

// isDone reports whether a body has been read.
func isDone(done chan error) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// TestTurns guards against long bodies, which callers can make expensive to decode by very small chunks, that
// take the processor from all other requests.
func TestTurns(t *testing.T) {
	const long, pause = 64 * freeBodyBytes, time.Second
	t.Run("long bodies are decoded one after the other", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b, began := newBodyTest(), time.Now()
			first, second := b.read(whole(long), pause), b.read(whole(long), pause)
			<-first
			<-second
			alone := newBodyTest().read(whole(long), pause)
			together := time.Since(began)
			began = time.Now()
			<-alone
			if once := time.Since(began); together < once+once/2 {
				t.Errorf("two took %s, one alone takes %s", together, once)
			}
		})
	})
	t.Run("a short body does not wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBodyTest()
			b.ln.turns.begin()
			short := b.read(whole(freeBodyBytes), 0)
			synctest.Wait()
			if !isDone(short) {
				t.Error("it waits for a turn")
			}
			b.ln.turns.end()
		})
	})
	t.Run("a caller that is waited for has no turn", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBodyTest()
			stalled := newBodyConn()
			waiting := b.read(stalled, 0)
			stalled.arrived <- bytes.Repeat([]byte("x"), long)
			synctest.Wait()
			other := b.read(whole(long), 0)
			synctest.Wait()
			if !isDone(other) || isDone(waiting) {
				t.Error("the other body was not read beside the stalled one")
			}
			close(stalled.arrived)
			<-waiting
		})
	})
	t.Run("a turn ends with the body, also one that fails", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBodyTest()
			tooLarge := b.read(whole(128<<20), 0)
			if err := <-tooLarge; !errors.Is(err, ErrFull) {
				t.Errorf("error %v", err)
			}
			if n := len(b.ln.turns.slots); n != 0 {
				t.Errorf("%d turns are taken", n)
			}
		})
	})
}
