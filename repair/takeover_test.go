package repair

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// hall is the replayed loss of one server: streams are moved to the replacements or restarted at any
// server with the layers.
type hall struct {
	boxes, streamsPerBox, replacements, servers int
	// stages is the number of stages of a path, and prefill the time in which one server prefills
	// the tokens of one stream through one stage.
	stages  int
	prefill time.Duration
}

func (x hall) streams() int { return x.boxes * x.streamsPerBox }

// takeover returns what every box knows of the loss.
func (x hall) takeover() Takeover {
	n := time.Duration(x.streams())

	return Takeover{
		Streams:        float64(x.streams()) / float64(x.replacements),
		MoveQueue:      n * x.prefill / time.Duration(x.replacements),
		MovePrefill:    x.prefill,
		RestartQueue:   n * x.prefill * time.Duration(x.stages) / time.Duration(x.servers),
		RestartPrefill: x.prefill * time.Duration(x.stages),
		Overlap:        float64(x.replacements) / float64(x.servers/x.stages),
	}
}

// replay has each stream moved with the probability share and otherwise restarted, and returns how
// many continue within the pause. Moved streams wait for each other at the replacements; restarted
// ones pass a server of each stage, at which they wait as well.
func (x hall) replay(seed uint64, share float64, pauseLeft time.Duration) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	perStage := make([][]time.Duration, x.stages)
	for i := range perStage {
		perStage[i] = make([]time.Duration, x.servers/x.stages)
	}
	// The lost layers are those of the first stage. Moved streams pass some of the servers with them.
	replacements := perStage[0][:x.replacements]
	// pass has the least busy server prefill one stage, from the time at which the stream arrives,
	// and returns when that is done.
	pass := func(busy []time.Duration, at time.Duration) time.Duration {
		i := slices.Index(busy, slices.Min(busy))
		busy[i] = max(busy[i], at) + x.prefill

		return busy[i]
	}
	inTime := 0
	for range x.streams() {
		at := time.Duration(0)
		if rng.Float64() <= share {
			at = pass(replacements, 0)
		} else {
			for _, busy := range perStage {
				at = pass(busy, at)
			}
		}
		if at <= pauseLeft {
			inTime++
		}
	}

	return inTime
}

// replaySeeds is the number of replays of one loss.
const replaySeeds = 5

// inTime returns how many streams continue within the pause in all replays together.
func (x hall) inTime(share float64, pauseLeft time.Duration) int {
	n := 0
	for seed := range uint64(replaySeeds) {
		n += x.replay(seed, share, pauseLeft)
	}

	return n
}

// bestInTime returns how many streams continue within the pause with the best share.
func (x hall) bestInTime(pauseLeft time.Duration) int {
	best := 0
	for share := 0.0; share <= 1; share += 0.05 {
		best = max(best, x.inTime(share, pauseLeft))
	}

	return best
}

// TestMoveShareUnderLoad replays the loss of a server whose streams are of many boxes. It checks
// that the share keeps nearly as many streams in time as the best one, and more than a fixed number
// of streams for each replacement does.
func TestMoveShareUnderLoad(t *testing.T) {
	const pauseLeft = 120 * time.Millisecond
	for name, v := range map[string]struct {
		hall hall
		// better is set if the share is to keep clearly more streams in time than the fixed number.
		better bool
	}{
		"one of two servers with the layers":          {hall{40, 3, 1, 24, 12, 3 * time.Millisecond}, true},
		"two of four servers with the layers":         {hall{40, 4, 2, 48, 12, 6 * time.Millisecond}, true},
		"many streams with short prompts":             {hall{60, 6, 2, 48, 12, 2 * time.Millisecond}, true},
		"no other servers with the layers":            {hall{40, 3, 2, 24, 12, 5 * time.Millisecond}, true},
		"enough replacements":                         {hall{40, 3, 8, 108, 12, 5 * time.Millisecond}, false},
		"few streams":                                 {hall{10, 1, 2, 36, 12, 5 * time.Millisecond}, false},
		"one of four servers, longer prompts":         {hall{40, 3, 1, 48, 12, 6 * time.Millisecond}, false},
		"more servers than are needed, short prompts": {hall{60, 6, 2, 72, 12, 2 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			share := v.hall.takeover().MoveShare(pauseLeft)
			got, best := v.hall.inTime(share, pauseLeft), v.hall.bestInTime(pauseLeft)
			if 20*got < 19*best {
				t.Errorf("share %.2f: %d streams in time, with the best share %d", share, got, best)
			}
			fixed := v.hall.inTime(v.hall.takeover().WithoutSpeeds().MoveShare(pauseLeft), pauseLeft)
			if got < fixed || (v.better && 20*got < 21*fixed) {
				t.Errorf("share %.2f: %d streams in time, with a fixed number %d", share, got, fixed)
			}
		})
	}
}

func TestMoveShare(t *testing.T) {
	const ms = time.Millisecond
	for name, v := range map[string]struct {
		takeover Takeover
		left     time.Duration
		want     float64
	}{
		"no load known":                                       {Takeover{}, 200 * ms, 1},
		"few streams, speeds not known":                       {Takeover{Streams: 20}, 200 * ms, 1},
		"many streams, speeds not known":                      {Takeover{Streams: 100}, 200 * ms, 0.25},
		"moving is faster":                                    {Takeover{Streams: 5, MoveQueue: 20 * ms, MovePrefill: 4 * ms, RestartQueue: 10 * ms, RestartPrefill: 80 * ms}, 200 * ms, 1},
		"restarting is faster":                                {Takeover{Streams: 5, MoveQueue: 100 * ms, MovePrefill: 50 * ms, RestartPrefill: 40 * ms}, 200 * ms, 0},
		"equal times":                                         {Takeover{Streams: 5, MoveQueue: 300 * ms, MovePrefill: 10 * ms, RestartQueue: 100 * ms, RestartPrefill: 60 * ms}, 200 * ms, 0.5},
		"only as many as can be in time":                      {Takeover{Streams: 5, MoveQueue: 300 * ms, MovePrefill: 10 * ms, RestartQueue: 50 * ms, RestartPrefill: 80 * ms}, 120 * ms, 0.4},
		"too late in any case":                                {Takeover{Streams: 5, MoveQueue: 300 * ms, MovePrefill: 10 * ms, RestartQueue: 100 * ms, RestartPrefill: 60 * ms}, -ms, 0.5},
		"callers of moved streams would leave":                {Takeover{Streams: 80, MoveQueue: 1500 * ms, MovePrefill: ms, RestartQueue: 2000 * ms, RestartPrefill: 800 * ms}, 200 * ms, 0.5},
		"restarted streams pass the same servers":             {Takeover{Streams: 80, MoveQueue: 1500 * ms, MovePrefill: ms, RestartQueue: 100 * ms, RestartPrefill: 50 * ms, Overlap: 1}, 200 * ms, 1},
		"half of the restarted streams pass the same servers": {Takeover{Streams: 5, MoveQueue: 400 * ms, MovePrefill: 10 * ms, RestartQueue: 100 * ms, RestartPrefill: 60 * ms, Overlap: 0.5}, 50 * ms, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			if got := v.takeover.MoveShare(v.left); fmt.Sprintf("%.3f", got) != fmt.Sprintf("%.3f", v.want) {
				t.Errorf("share %.3f, want %.3f", got, v.want)
			}
		})
	}
}
