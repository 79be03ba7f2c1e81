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
	// RestartQueue is the time in which all servers of the hall prefill the tokens of all streams
	// through all layers, and RestartPrefill the time for this stream alone. They are zero if the
	// prefill speed of the servers is not known.
	RestartQueue   time.Duration
	RestartPrefill time.Duration
	// Turn is the expected time that passes at the replacements between two streams of this box.
	Turn time.Duration
}

const (
	// maxMoveQueue bounds the time in which one server prefills the tokens of all streams that move
	// to it. New requests there wait for as long, and callers of moved streams leave after twice
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
// Moved and restarted streams are expected to continue after the same time: a larger share makes
// the queue of the replacements longer, and a smaller one that of all servers. If the last of the
// moved streams would be late and restarted ones would not, fewer are moved.
//
// Load pattern: a server crashes whose layers one or two others hold, and hundreds of streams of
// many boxes move to them. Their prefills wait for each other at these servers for longer than the
// pause that the route accepts, while the other servers of the hall prefill little.
func (t Takeover) MoveShare(pauseLeft time.Duration) float64 {
	queues := t.MoveQueue + t.RestartQueue
	if t.RestartPrefill <= 0 || queues <= 0 {
		return boundShare(1, t.Streams, maxStreamsUnknownSpeed)
	}
	gain := float64(t.RestartPrefill-t.MovePrefill) + meanWait*float64(t.RestartQueue)
	share := gain / (meanWait * float64(queues))
	if t.MoveQueue > 0 {
		latest := max(0, float64(pauseLeft)/float64(t.MoveQueue))
		if latest < share && t.restartTime(1-latest) <= pauseLeft {
			share = latest
		}
	}

	return boundShare(share, float64(t.MoveQueue), float64(maxMoveQueue))
}

// restartTime returns the time until the last restarted stream continues if the share is restarted.
func (t Takeover) restartTime(share float64) time.Duration {
	return t.RestartPrefill + time.Duration(share*float64(t.RestartQueue))
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
