package stream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errFrameTimeout is the cause of an attempt that was canceled by its watchdog.
var errFrameTimeout = errors.New("stream: no frame has come in time")

// watchdog cancels an attempt when no frame arrives within the timeout.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newWatchdog(ctx context.Context, d time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(ctx)

	return &watchdog{
		ctx:    ctx,
		cancel: cancel,
		timer:  time.AfterFunc(d, func() { cancel(errFrameTimeout) }),
	}
}

func (w *watchdog) reset(d time.Duration) {
	w.timer.Reset(d)
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// causeOf returns errFrameTimeout if the watchdog has canceled the attempt, and err otherwise.
func (w *watchdog) causeOf(err error) error {
	if errors.Is(context.Cause(w.ctx), errFrameTimeout) {
		return errFrameTimeout
	}

	return err
}
