package stream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errSilent is the cause of an attempt that a watchdog has ended.
var errSilent = errors.New("stream: no frame has come in time")

// watchdog ends an attempt that stays silent.
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
		timer:  time.AfterFunc(d, func() { cancel(errSilent) }),
	}
}

func (w *watchdog) reset(d time.Duration) {
	w.timer.Reset(d)
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// explain returns the watchdog's own error in place of err, if the watchdog
// has caused err.
func (w *watchdog) explain(err error) error {
	if errors.Is(context.Cause(w.ctx), errSilent) {
		return errSilent
	}

	return err
}
