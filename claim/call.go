package claim

import (
	"time"

	"github.com/slatebridge/slatebridge/result"
)

// Answer is a server's whole answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Fate is what has become of one claim.
type Fate int

// The fates of claims.
const (
	// Unknown means that the box does not know the claim.
	Unknown Fate = iota
	// Running means that the claim is not decided, or its call not answered.
	Running
	// Abandoned means that the call was not sent and never will be.
	Abandoned
	// MayHaveRun means that the call was sent and has no answer.
	MayHaveRun
	// Answered means that the call has its answer.
	Answered
	// Dropped means that the call was answered, and the answer is gone.
	Dropped
)

// call is a claim that this box has made.
type call struct {
	id    ID
	key   Digest
	body  uint64
	made  time.Time
	fate  Fate
	sent  bool
	reply Answer
	// replaces is the claim that this one takes the place of.
	replaces ID
	// decided is closed when the fold has shown whether the claim has won.
	decided chan struct{}
	won     bool
	// done is closed when the fate is no longer Running.
	done chan struct{}
}

func newCall(id ID, key Digest, body uint64, replaces ID, now time.Time) *call {
	return &call{
		id:       id,
		key:      key,
		body:     body,
		replaces: replaces,
		made:     now,
		fate:     Running,
		decided:  make(chan struct{}),
		done:     make(chan struct{}),
	}
}

func (c *call) claim() Claim {
	return Claim{ID: c.id, Key: c.key, Body: c.body, Replaces: c.replaces}
}

// isDecided reports whether the fold has shown whether the claim has won.
func (c *call) isDecided() bool {
	select {
	case <-c.decided:
		return true
	default:
		return false
	}
}

func (c *call) decide(won bool) {
	c.won = won
	close(c.decided)
}

func (c *call) finish(f Fate, reply Answer) {
	c.fate = f
	c.reply = reply
	close(c.done)
}

// outcome returns what a caller is told of a finished call.
func outcome(f Fate, reply Answer) (Answer, error) {
	switch f {
	case Answered:
		return reply, nil
	case Dropped:
		return Answer{}, result.New(result.AnswerDropped, "answered earlier")
	default:
		return Answer{}, result.New(result.MayHaveRun, "no answer has come to the call")
	}
}
