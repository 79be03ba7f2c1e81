package box

import (
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/quarantine"
)

// Messages of the control actor.
type (
	// tickMsg triggers one round of the control loop.
	tickMsg struct{}
	// configUpdate carries a configuration from the store or another box.
	configUpdate struct {
		catalog *catalog.Catalog
		raw     []byte
		from    string
		// call is the call that returned the configuration, and decodedAt when it had been decoded.
		call      logstore.CallTimes
		decodedAt time.Time
	}
	// configInvalid reports a configuration in the store that could not be decoded.
	configInvalid struct{ err error }
	// configConfirmed reports that the configuration topic was completely known at the given time, in an
	// era of the store.
	configConfirmed struct {
		at  time.Time
		era int64
	}
	// serversUpdate carries server entries up to the position next. If full is set, entries lists
	// all servers, otherwise only changes.
	serversUpdate struct {
		entries []logstore.Entry
		next    logstore.Position
		full    bool
		// grace is how long removed servers are retained in case their entries return.
		grace     time.Duration
		fromStore bool
	}
	// serversConfirmed reports the same of the server entries.
	serversConfirmed struct{ at time.Time }
	// storeFailed reports a failed store call.
	storeFailed struct {
		topic string
		err   error
	}
	// storeSucceeded reports a successful store call.
	storeSucceeded struct{ topic string }
	// peerMessage carries a message from another box.
	peerMessage struct {
		message    mesh.ReceivedMessage
		receivedAt time.Time
	}
	// peerConfig and peerServers carry the configuration or the server entries fetched from another
	// box, or the error of the fetch.
	peerConfig struct {
		configUpdate
		err error
	}
	peerServers struct {
		servers mesh.ServerEntries
		err     error
	}
	// electionFinished reports the result of an election.
	electionFinished struct {
		term elect.Term
		err  error
	}
	// orderFinished reports the result of an order.
	orderFinished struct {
		server slatebridge.ServerID
		layers slatebridge.LayerRange
		err    error
	}
	// termVerified reports the current term in the store, read before sending orders.
	termVerified struct {
		term   elect.Term
		err    error
		orders []plannedOrder
	}
	// serverRestarted reports a restart that a server's response to this box revealed.
	serverRestarted struct{ mesh.Restart }
	// serverLeaving reports that a server told this box it is leaving.
	serverLeaving struct{ id slatebridge.ServerID }
	// limitObserved reports that a server told this box it now has a rate limit, or no longer has
	// one.
	limitObserved struct {
		id          slatebridge.ServerID
		observation allowance.Observation
	}
	// quarantineUpdate carries the records of the quarantine topic between two positions, for other
	// boxes. It has no entries if they are not known here.
	quarantineUpdate struct {
		from, to logstore.Position
		entries  []logstore.Entry
	}
	// earlySuspects carries early suspect requests: requests that are not in the store, under which
	// a server has just crashed quickly and which need no trial yet. They are shared with other
	// boxes by messages alone.
	earlySuspects struct{ list []quarantine.Change }
	// serverReportPushDue reports that a push of reports about servers is due: requests found a
	// server dead or slow, or the time of a scheduled push has come.
	serverReportPushDue struct{}
	// reconfigured carries new settings.
	reconfigured struct{ settings Settings }
	// stopping reports that the box was told to stop.
	stopping struct{}
)

// allocatorsDue makes the box update the allocators at once, since another box is leaving.
type allocatorsDue struct{}
