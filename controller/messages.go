package controller

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/member"
)

// configBatch is a batch of the configuration stream, from the log or from a peer.
type configBatch struct {
	batch logstore.Batch
	// fromLog reports whether the batch was read from the log itself.
	fromLog bool
}

// configState is a complete configuration state, from a snapshot in the log or from a peer.
type configState struct {
	state  config.State
	source string
}

// peersQueried reports what the peers of this box's hall responded to a query.
type peersQueried struct {
	// anyCaughtUp reports whether at least one peer of the hall responded that its configuration
	// has caught up.
	anyCaughtUp bool
	// maxApplied is the highest offset up to which, exclusively, such a peer has applied the
	// records.
	maxApplied int64
}

// configReadFailed reports that the configuration stream could not be read.
type configReadFailed struct{}

// leaseBatch is a batch of the hall's lease stream.
type leaseBatch struct {
	batch logstore.Batch
}

// leaseReadFailed reports that the lease stream could not be read.
type leaseReadFailed struct{}

// membershipRead is a reading of the platform's membership list.
type membershipRead struct {
	membership logstore.Membership
}

// serversProbed is the result of a round of probes.
type serversProbed struct {
	results member.ProbeResults
}

// hallsPolled is what controllers of other halls have reported of their servers.
type hallsPolled struct {
	halls []hallReport
}

// hallReport describes another hall's servers as reported by one of its boxes.
type hallReport struct {
	hall         slatebridge.HallID
	servers      []slatebridge.BackendServer
	loadedRanges []slatebridge.LoadedRange
}

// tick makes the actor check its lease and its plan.
type tick struct{}
