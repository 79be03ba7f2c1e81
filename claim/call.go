package claim

import (
	"time"

	"github.com/slatebridge/slatebridge/result"
)

// Response is a server's complete response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// State is the state of a claim.
type State int

// States of a claim.
const (
	// Unknown means that the box does not know the claim.
	Unknown State = iota
	// Running means that the claim is undecided, or that its call has no response yet.
	Running
	// Abandoned means that the call was not sent and never will be.
	Abandoned
	// MayHaveRun means that the call was sent, but no response was received.
	MayHaveRun
	// Completed means that the response to the call is cached.
	Completed
	// ResponseEvicted means that the call was answered, but its response is no longer cached.
	ResponseEvicted
)

// call is a call that this box has claimed.
type call struct {
	id        ID
	key       Digest
	bodyHash  uint64
	createdAt time.Time
	state     State
	sent      bool
	response  Response
	// replaces is the abandoned claim that this one takes over from, or the zero ID.
	replaces ID
	// decided is closed once the log shows whether the claim has won.
	decided chan struct{}
	won     bool
	// done is closed when the state is no longer Running.
	done chan struct{}
}

func newCall(id ID, key Digest, bodyHash uint64, replaces ID, now time.Time) *call {
	return &call{
		id:        id,
		key:       key,
		bodyHash:  bodyHash,
		replaces:  replaces,
		createdAt: now,
		state:     Running,
		decided:   make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func (c *call) claim() Claim {
	return Claim{ID: c.id, Key: c.key, BodyHash: c.bodyHash, Replaces: c.replaces}
}

// isDecided reports whether the log has shown if the claim won or lost.
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

func (c *call) finish(state State, response Response) {
	c.state = state
	c.response = response
	close(c.done)
}

// callResult returns what a finished call's state means to the caller.
func callResult(state State, response Response) (Response, error) {
	switch state {
	case Completed:
		return response, nil
	case ResponseEvicted:
		return Response{}, result.New(result.AnswerDropped, "answered earlier")
	default:
		return Response{}, result.New(result.MayHaveRun, "no answer has come to the call")
	}
}
