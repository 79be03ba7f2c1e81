package forward

import (
	"sync"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/repair"
)

// logLimiter bounds how often findings about a stream are logged. The zero value is ready for use.
type logLimiter struct {
	mu    sync.Mutex
	state repair.LogState
}

// due reports whether the finding should be logged now, and if so counts it as logged.
func (l *logLimiter) due(finding string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due bool
	l.state, due = l.state.WithFinding(finding, clock.Now())

	return due
}
