package daemon

import (
	"net"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/slatebridge/slatebridge/box"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/ownload"
)

const (
	// heldShare is the share of a machine's memory that requests of callers may hold. The garbage collector
	// lets as much again be in use, and the rest is for all else.
	heldShare = 0.25
	// defaultHeldBytes applies to a machine of unknown memory.
	defaultHeldBytes = 64 << 20
	// softMemoryShare is the share of a machine's memory from which the garbage collector works harder.
	softMemoryShare = 0.75
	// callerShare is the share of a process's descriptors for callers. A request in progress has one
	// towards a server as well, and the rest is for other boxes and the store.
	callerShare = 0.4
	// defaultCallerConnections applies to a process with an unknown number of descriptors.
	defaultCallerConnections = 1000
)

// limitMemory makes the garbage collector work harder before the process reaches the memory of its machine.
func limitMemory(machineBytes int64) {
	if machineBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(machineBytes)))
	}
}

// callerListener returns the listener for callers of a box, which bounds what they make it hold.
func callerListener(s box.Settings, ln net.Listener, load *ownload.Limiter, reg prometheus.Registerer) *intake.Listener {
	held, connections := int64(defaultHeldBytes), defaultCallerConnections
	if s.MemoryBytes > 0 {
		held = int64(heldShare * float64(s.MemoryBytes))
	}
	if s.Descriptors > 0 {
		connections = int(callerShare * float64(s.Descriptors))
	}
	memory := intake.NewMemory(held)
	limited := ownload.NewListener(ln, load, ownload.NewMetrics(reg, load).ConnectionClosed)

	return intake.NewListener(limited, memory, connections,
		intake.WithConnState(limited.ConnState), intake.WithOnClose(intake.NewMetrics(reg, memory).ConnectionClosed))
}
