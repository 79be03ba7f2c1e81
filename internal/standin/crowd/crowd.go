// Package crowd has callers that send more than a process should hold, for tests of the programs as
// processes, and watches what such a process uses.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// deadline is how long a caller sends, and waits for an answer, at most.
	deadline = 60 * time.Second
	// largeChunk and smallChunk are sizes of chunks in bytes.
	largeChunk = 64 << 10
	smallChunk = 1
	// overLimit is how many times the limit bodies far over it have.
	overLimit = 16
	// halfHeadBytes is the size of an unfinished head, below the usual limit of 16 KiB.
	halfHeadBytes = 15 << 10
)

// Target is what the callers of a crowd send to.
type Target struct {
	Address string
	// Head returns the lines of the n-th caller's request up to those that say how its body is framed.
	Head func(n int) string
	// MaxBody is the largest legal size of a body in bytes.
	MaxBody int
}

// Crowd is a kind of callers that all send the same at once, on a connection each.
type Crowd struct {
	Name string
	// send writes a request, or a part of one, and returns on the first error. Callers that stop short of
	// the end of their request keep the connection open.
	send func(c net.Conn, head string, maxBody int) error
	// readsAnswer is set if the callers then wait for the answer and close.
	readsAnswer bool
}

// HalfHeads are callers that stop in the head of their request.
var HalfHeads = Crowd{Name: "half heads", send: func(c net.Conn, head string, _ int) error {
	return write(c, head+"Padding: "+strings.Repeat("x", halfHeadBytes), nil)
}}

// LargeBodies are the kinds of callers that send large bodies.
var LargeBodies = []Crowd{
	{Name: "large bodies that stop one byte short", send: func(c net.Conn, head string, maxBody int) error {
		return write(c, lengthHead(head, maxBody), make([]byte, maxBody-1))
	}},
	{Name: "large bodies in pieces that stop one byte short", send: func(c net.Conn, head string, maxBody int) error {
		const piece = 16 << 10
		err := write(c, lengthHead(head, maxBody), nil)
		for left := maxBody - 1; left > 0 && err == nil; left -= piece {
			err = write(c, "", make([]byte, min(left, piece)))
		}

		return err
	}},
	{Name: "large bodies sent whole", readsAnswer: true, send: func(c net.Conn, head string, maxBody int) error {
		return write(c, lengthHead(head, maxBody), make([]byte, maxBody))
	}},
	{Name: "large chunks that stop short of the end", send: func(c net.Conn, head string, maxBody int) error {
		return writeChunks(c, head, largeChunk, maxBody/largeChunk-1)
	}},
	{Name: "very small chunks that stop short of the end", send: func(c net.Conn, head string, maxBody int) error {
		return writeChunks(c, head, smallChunk, maxBody-1)
	}},
	{Name: "chunks far over the limit", send: func(c net.Conn, head string, maxBody int) error {
		return writeChunks(c, head, largeChunk, overLimit*maxBody/largeChunk)
	}},
	{Name: "lengths far over the limit", send: func(c net.Conn, head string, maxBody int) error {
		return write(c, lengthHead(head, overLimit*maxBody), make([]byte, overLimit*maxBody))
	}},
}

// Whole returns callers that send the body whole and wait for the answer.
func Whole(name, body string) Crowd {
	return Crowd{Name: name, readsAnswer: true, send: func(c net.Conn, head string, _ int) error {
		return write(c, lengthHead(head, len(body))+body, nil)
	}}
}

func lengthHead(head string, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)
}

func write(c net.Conn, head string, body []byte) error {
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	_, err := c.Write(body)

	return err
}

// writeChunks writes the head and n chunks of the size, without the last one.
func writeChunks(c net.Conn, head string, size, n int) error {
	const writeBytes = 64 << 10
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	perWrite := max(1, writeBytes/len(chunk))
	err := write(c, head+"Transfer-Encoding: chunked\r\n\r\n", nil)
	for ; n > 0 && err == nil; n -= perWrite {
		err = write(c, "", bytes.Repeat(chunk, min(n, perWrite)))
	}

	return err
}

// Gather has a number of callers send, and returns once all have sent what they can: the process may
// refuse or close connections. The returned function closes those that are still open.
func (cr Crowd) Gather(ctx context.Context, to Target, size int) (end func()) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for i := range size {
		sending.Go(func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Address)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(deadline))
			if err := cr.send(c, to.Head(i), to.MaxBody); err != nil || !cr.readsAnswer {
				return
			}
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	sending.Wait()

	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// Usage watches what a process uses.
type Usage struct {
	pid         int
	stop        chan struct{}
	descriptors atomic.Int64
}

// Watch watches a process until Stop.
func Watch(pid int) *Usage {
	const interval = 10 * time.Millisecond
	u := &Usage{pid: pid, stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-u.stop:
				return
			case <-time.After(interval):
			}
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.descriptors.Store(max(u.descriptors.Load(), int64(len(list))))
			}
		}
	}()

	return u
}

// Stop ends the watch.
func (u *Usage) Stop() { close(u.stop) }

// Descriptors returns the largest number of descriptors that were seen.
func (u *Usage) Descriptors() int { return int(u.descriptors.Load()) }

// PeakMemoryMB returns the largest resident memory that the process has had. It fails if the process has
// ended.
func (u *Usage) PeakMemoryMB() (int, error) {
	const kbPerMB = 1024
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0, errors.Wrap(err, "the process has ended")
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, errors.New("the process has ended")
	}
	kb, err := strconv.Atoi(fields[0])

	return kb / kbPerMB, errors.Wrap(err, "peak of resident memory")
}
