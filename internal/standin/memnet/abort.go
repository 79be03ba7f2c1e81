package memnet

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// abortState is what one end knows of an abort of its connection. As on Linux, only one call is told of the
// reset: a write that is under way when it arrives, or else the next call. Afterwards reads meet the end of
// what the other end sent, like that of a connection that was closed, and writes return EPIPE.
type abortState struct {
	// onClose is set if the connection is to be aborted when this end is closed; see SetLinger.
	onClose atomic.Bool
	// aborted is set when the other end has aborted the connection, and told once a call has been told.
	aborted, told atomic.Bool
	// writing is the number of writes under way.
	writing atomic.Int64
}

// SetLinger makes Close abort the connection if sec is 0, as that of net.TCPConn does.
func (c *conn) SetLinger(sec int) error {
	c.abort.onClose.Store(sec == 0)

	return nil
}

// writeError returns the error of a write that the closed pipe ended with err.
func (a *abortState) writeError(err error) error {
	switch {
	case !errors.Is(err, io.ErrClosedPipe) || !a.aborted.Load():
		return err
	case a.told.CompareAndSwap(false, true):
		return &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	default:
		return &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	}
}

// readError returns the error of a read that the closed pipe ended with err.
func (a *abortState) readError(err error) error {
	if errors.Is(err, io.EOF) && a.aborted.Load() && a.writing.Load() == 0 && a.told.CompareAndSwap(false, true) {
		return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}

	return err
}
