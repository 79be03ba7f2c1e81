package forward

import (
	"time"

	"github.com/slatebridge/slatebridge/clock"
)

// resumeFromSuspend handles a suspension of the machine, which timers and connections do not
// notice. Requests whose deadline passed meanwhile end at once; their timers stood still and would
// otherwise end them late, by the length of the suspension. The silence of streams is measured from
// now on, since their events are still to be read. What was found out about streams that wait for
// their repair is dropped for the same reason. Idle connections are closed, since servers close
// theirs.
func (h *Handler) resumeFromSuspend(now time.Time) {
	clock.ExpireDeadlines()
	h.repairs.clear()
	for _, a := range h.monitor.all() {
		a.resetSilence(now)
	}
	h.httpClient.CloseIdleConnections()
}
