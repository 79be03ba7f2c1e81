package repair

import "time"

// Takeover describes the work that falls on other servers after servers were lost, and the part of
// it that belongs to one of the streams that passed them.
type Takeover struct {
	// Streams is the number of streams that each server which can replace a lost one would take
	// over.
	Streams float64
	// MoveQueue is the time in which the replacements prefill the tokens of all streams through the
	// lost layers, and MovePrefill the time for this stream alone.
	MoveQueue   time.Duration
	MovePrefill time.Duration
	// RestartQueue is the time in which all servers prefill the tokens of all streams through all
	// layers, and RestartPrefill the time for this stream alone. They are zero if the
	// prefill speed of the servers is not known.
	RestartQueue   time.Duration
	RestartPrefill time.Duration
	// Overlap is the share of restarted streams, from 0 to 1, that pass the replacements as well,
	// since these are the only servers with the lost layers, or some of few.
	Overlap float64
	// RepairInterval is the expected time that passes at the replacements between two streams of this
	// box.
	RepairInterval time.Duration
}

const (
	// maxMoveQueue bounds the time in which the replacements prefill the tokens of the streams that
	// pass them. New requests there wait for as long, and callers of moved streams leave after twice
	// that time.
	maxMoveQueue = 750 * time.Millisecond
	// maxStreamsUnknownSpeed bounds the streams that move to one server at the same time where the
	// prefill speed is not known. Each prefill stalls all other streams of the server.
	maxStreamsUnknownSpeed = 25
	// meanWait is the part of a queue that one stream waits for in the mean.
	meanWait = 0.5
)

// MoveShare returns the share of the streams, from 0 to 1, that should be moved to the replacements
// of the lost servers; the others should be restarted on fresh paths if there are retries for them.
// pauseLeft is the time left of the stream's acceptable pause.
//
// With the share, moved and restarted streams are expected to continue after the same time: a larger
// one makes the queue of the replacements longer, and a smaller one that of all servers. If the last
// of the moved streams would be late and restarted ones would not, fewer are moved.
//
// Load pattern: a server crashes whose layers one or two others hold, and hundreds of streams of
// many boxes move to them. Their prefills wait for each other at these servers for longer than the
// pause that the route accepts, while the other servers of the hall prefill little.
func (t Takeover) MoveShare(pauseLeft time.Duration) float64 {
	queues := t.MoveQueue + t.RestartQueue
	if t.RestartPrefill <= 0 || queues <= 0 {
		return boundShare(1, t.Streams, maxStreamsUnknownSpeed)
	}
	others := 1 - t.Overlap
	move, restart := meanWait*float64(t.MoveQueue), meanWait*float64(t.RestartQueue)
	gain := float64(t.RestartPrefill-t.MovePrefill) + restart - t.Overlap*others*move
	loss := others*others*move + restart
	share := 1.0
	if gain < loss {
		share = max(0, gain/loss)
	}
	if inTime := t.shareWithin(pauseLeft); inTime < share && t.restartTime(inTime) <= pauseLeft {
		share = inTime
	}

	return min(share, t.shareWithin(maxMoveQueue))
}

// shareWithin returns the largest share of moved streams for which the queue of the replacements
// stays within the time. Without other servers for restarted streams, all streams are in that queue.
func (t Takeover) shareWithin(d time.Duration) float64 {
	others := (1 - t.Overlap) * float64(t.MoveQueue)
	if others <= 0 {
		return 1
	}

	return min(1, max(0, (float64(d)-t.Overlap*float64(t.MoveQueue))/others))
}

// replacementQueue returns the time in which the replacements prefill the moved streams, if the
// given share is moved, and the restarted ones that pass them.
func (t Takeover) replacementQueue(share float64) time.Duration {
	return time.Duration((share + (1-share)*t.Overlap) * float64(t.MoveQueue))
}

// restartTime returns the time until the last restarted stream continues if the given share is
// moved.
func (t Takeover) restartTime(share float64) time.Duration {
	return t.RestartPrefill + time.Duration((1-share)*float64(t.RestartQueue)) + time.Duration(t.Overlap*float64(t.replacementQueue(share)))
}

// WithoutSpeeds returns the takeover as if the prefill speeds of the servers were not known.
func (t Takeover) WithoutSpeeds() Takeover { return Takeover{Streams: t.Streams} }

// boundShare bounds a share so that its part of the total is at most limit.
func boundShare(share, total, limit float64) float64 {
	share = min(1, max(0, share))
	if total*share > limit {
		return limit / total
	}

	return share
}
