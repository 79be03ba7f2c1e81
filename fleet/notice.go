package fleet

import "time"

// Notice is what an answer says of the server that sent it, beside what it answers.
type Notice struct {
	// Leaving says that the server finishes its work and takes no more.
	Leaving bool
	// Rest is for how long the server wants nothing from the box that it answered; zero if
	// it does not say.
	Rest time.Duration
	// Unreadable is what it said of a rest if that cannot be read.
	Unreadable string
}

// Empty reports whether the answer says nothing.
func (n Notice) Empty() bool { return n == Notice{} }
