package repair

import "time"

const (
	// firstLogPause is the pause after the first line about a stream within which the same finding
	// is not logged again; it doubles with each line up to maxLogPause.
	firstLogPause = time.Second
	maxLogPause   = 16 * time.Second
)

// LogState says what was last logged about a stream. The zero value says that nothing was.
type LogState struct {
	finding string
	nextAt  time.Time
	pause   time.Duration
}

// WithFinding returns the state after a check of the stream that found the given, and whether it
// should be logged: the first time, when the finding differs from the last one, and otherwise with
// doubling pauses.
//
// Load pattern: servers are slow or full for seconds. Hundreds of streams are checked ten times a
// second each with the same finding, and their lines crowd others out of the log.
func (s LogState) WithFinding(finding string, now time.Time) (LogState, bool) {
	switch {
	case s.pause == 0 || finding != s.finding:
		return LogState{finding: finding, nextAt: now.Add(firstLogPause), pause: firstLogPause}, true
	case now.Before(s.nextAt):
		return s, false
	default:
		s.pause = min(2*s.pause, maxLogPause)
		s.nextAt = now.Add(s.pause)

		return s, true
	}
}
