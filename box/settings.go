package box

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// Settings define where a box runs and the limits that apply there.
type Settings struct {
	// File is the path the settings were read from.
	File string
	Box  slatebridge.BoxID
	Hall slatebridge.HallID
	// Listen holds the listen addresses, each as host:port.
	Listen Listen
	// Store is the address of the platform's store.
	Store string
	// LinkRate is the rate of the box's network link in bytes per second; zero if unknown.
	LinkRate float64
	// MemoryBytes is the memory of the box's machine, and Descriptors the number of descriptors that its
	// process may have; zero if unknown.
	MemoryBytes int64
	Descriptors int
	// Seeds are mesh addresses of boxes to contact first; they may be gone.
	Seeds []string
	// FirstStart marks the first start of the whole system.
	FirstStart bool
	Bounds     Bounds
}

// SameListeners reports whether the listen addresses equal those of o. Listeners are opened only
// once, at startup.
func (s Settings) SameListeners(o Settings) bool {
	return s.Listen == o.Listen
}

// Listen holds the listen addresses of a box.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string
	// Ready is the address of the platform's readiness check.
	Ready string
	// Mesh is the address for other boxes, over UDP and TCP.
	Mesh string
	// Operators is the address that serves metrics and the status.
	Operators string
}

// Bounds are the limits set by the installation.
type Bounds struct {
	// MaxRevocationDelay is how long a client account's API key may still be used after its
	// removal.
	MaxRevocationDelay time.Duration
	// MaxStaleness is how long after a change in the store a box may act on the state before it: an
	// older configuration, or a server that is leaving.
	MaxStaleness time.Duration
	// ShutdownTimeout is how long a box may run after it was told to stop.
	ShutdownTimeout time.Duration
	// RetryRatio, RetryExtra and RetryWindow limit the retries of all boxes together: a ratio of
	// the requests plus a fixed number in any window.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}
