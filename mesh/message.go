package mesh

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

// Kind is the purpose of a message.
type Kind uint8

// Message kinds. The values are part of the wire format.
const (
	// Report is sent by a box to the relays of its hall, which answer it.
	Report Kind = iota + 1
	// RelayDigest is sent by a relay to the boxes that report to it and to the relays of other
	// halls.
	RelayDigest
	// Suspicion carries the suspected and slow servers that the sender itself has detected, and the
	// recent restarts, leaving servers and rate limits that it knows of. It is sent immediately,
	// often by many boxes at once.
	Suspicion
	// ForwardedSuspicion is a Suspicion that also has the suspected and slow servers that other
	// boxes have detected; it is not forwarded again within a hall.
	ForwardedSuspicion
	// Update carries only a config version, quarantine entries or early suspects, as the sender has
	// them. It is sent immediately to the boxes that report to the sender. New quarantine entries
	// and early suspects are also sent to the relays of the sender's hall and, if the sender is a
	// relay, to those of the other halls. All quarantine entries are sent again to boxes that
	// report to the sender and lag behind.
	Update
	// GrantRequest carries only a Grant that the sender requests from the receiver.
	GrantRequest
	// GrantResponse carries only a Grant: the result of a GrantRequest.
	GrantResponse
	// GrantRelease carries only a Grant that was not used.
	GrantRelease
	// RoomRequest carries only a Room that the sender claims from the receiver.
	RoomRequest
	// RoomResponse carries only a Room: the answer to a RoomRequest.
	RoomResponse
	// RoomRelease carries only a Room that was claimed and not used.
	RoomRelease
)

// Message is sent from one box to another. Fields that do not belong to its kind are empty.
type Message struct {
	Kind Kind               `cbor:"1,keyasint"`
	Box  slatebridge.BoxID  `cbor:"2,keyasint"`
	Hall slatebridge.HallID `cbor:"3,keyasint"`
	// Boot identifies the process of the box.
	Boot string `cbor:"4,keyasint,omitempty"`
	// Address is the host and port on which the box receives messages.
	Address string `cbor:"5,keyasint,omitempty"`
	// LinkRate is the bandwidth of the box's own network link in bytes per second.
	LinkRate float64 `cbor:"6,keyasint,omitempty"`
	// SentAt is when the message was sent, in microseconds on the sender's monotonic clock since
	// the start of its process.
	SentAt int64 `cbor:"7,keyasint,omitempty"`
	// ConfigVersion is the config version in force; zero if none is known.
	ConfigVersion int64 `cbor:"8,keyasint,omitempty"`
	// ConfigAge is the staleness of ConfigVersion: how long ago it was confirmed to be the newest,
	// in microseconds; -1 if never.
	ConfigAge int64 `cbor:"9,keyasint,omitempty"`
	// ServersPosition is the position up to which the server entries are known, and ServersAge is
	// their staleness: how long ago they were confirmed to be current, in microseconds; -1 if
	// never.
	ServersPosition logstore.Position `cbor:"10,keyasint,omitempty"`
	ServersAge      int64             `cbor:"11,keyasint,omitempty"`
	// RecentChanges are the latest changes of server entries, without a gap up to ServersPosition.
	RecentChanges []ServerChange `cbor:"12,keyasint,omitempty"`
	// StoreReachable reports whether the sender can reach the store, as far as it knows.
	StoreReachable bool `cbor:"13,keyasint,omitempty"`
	// CanLead reports whether the box could act as leader.
	CanLead bool `cbor:"14,keyasint,omitempty"`
	// Leaving reports whether the box is shutting down.
	Leaving bool `cbor:"15,keyasint,omitempty"`
	// Isolated reports whether the box reaches no server by connections of its own.
	Isolated bool `cbor:"34,keyasint,omitempty"`
	// Work is the box's own in-flight work in a Report, and that of all boxes of the hall in a
	// RelayDigest.
	Work Work `cbor:"16,keyasint,omitempty"`
	// RemoteWork is the in-flight work of other halls.
	RemoteWork []Work `cbor:"17,keyasint,omitempty"`
	// SuspectedServers are servers that do not respond, and ConfirmedDead those of them that do not
	// respond to two boxes.
	SuspectedServers []slatebridge.ServerID `cbor:"18,keyasint,omitempty"`
	ConfirmedDead    []slatebridge.ServerID `cbor:"24,keyasint,omitempty"`
	// Restarts are the servers that have restarted recently.
	Restarts []Restart `cbor:"25,keyasint,omitempty"`
	// LeavingServers are servers that have recently announced in a response that they are leaving.
	LeavingServers []slatebridge.ServerID `cbor:"29,keyasint,omitempty"`
	// QuarantinePosition is the end of the quarantine topic as known to the sender. In an Update,
	// QuarantineEntries are the last records of the topic, starting at QuarantineFrom.
	QuarantinePosition logstore.Position `cbor:"26,keyasint,omitempty"`
	QuarantineFrom     logstore.Position `cbor:"27,keyasint,omitempty"`
	QuarantineEntries  []KeyedRecord     `cbor:"28,keyasint,omitempty"`
	// EarlySuspects, in an Update, holds quarantine entries of suspect requests (not servers) that
	// are not stored yet: requests that a server received shortly before it crashed and was still
	// running then, in a crash that has just been detected; see quarantine.Ledger.EarlySuspects.
	EarlySuspects []KeyedRecord `cbor:"30,keyasint,omitempty"`
	// Limits are observations of servers that have recently started or stopped announcing a rate
	// limit.
	Limits []LimitObservation `cbor:"31,keyasint,omitempty"`
	// Grant is the content of a GrantRequest, GrantResponse or GrantRelease.
	Grant *GrantMessage `cbor:"32,keyasint,omitempty"`
	// Room is the content of a RoomRequest, RoomResponse or RoomRelease.
	Room *RoomMessage `cbor:"33,keyasint,omitempty"`
	// SlowServers are the servers that have reported that they are much slower than usual, each
	// with its slowdown factor compared to normal.
	SlowServers map[slatebridge.ServerID]float64 `cbor:"19,keyasint,omitempty"`
	Term        elect.Term                       `cbor:"20,keyasint,omitzero"`
	// LeaderAge is how long ago the leader of Term was last heard from, by the sender or by a box
	// that the sender has heard from, in microseconds; -1 if never.
	LeaderAge int64 `cbor:"21,keyasint,omitempty"`
	// StoreReader is the box chosen to read the store on behalf of the hall.
	StoreReader slatebridge.BoxID `cbor:"22,keyasint,omitempty"`
	// RelayCandidates are the best relay candidates of some halls.
	RelayCandidates map[slatebridge.HallID][]relay.Candidate `cbor:"23,keyasint,omitempty"`
}

// Work is the in-flight work and the retry usage of one box or of all boxes of a hall.
type Work struct {
	Hall slatebridge.HallID `cbor:"1,keyasint,omitempty"`
	// Age is how long ago the figures were reported, in microseconds.
	Age int64 `cbor:"2,keyasint,omitempty"`
	// LiveBoxes is the number of boxes that the figures cover. BudgetBoxes is the number of boxes
	// that may be using the retry budget, which includes boxes that have stopped reporting.
	LiveBoxes   int `cbor:"3,keyasint,omitempty"`
	BudgetBoxes int `cbor:"4,keyasint,omitempty"`
	// Loads is the in-flight work per server. If it does not fit into one message, it is split into
	// ShardCount shards: this one has the servers with ShortID mod ShardCount == ShardIndex.
	Loads      []ServerLoad `cbor:"5,keyasint,omitempty"`
	ShardIndex uint32       `cbor:"6,keyasint,omitempty"`
	ShardCount uint32       `cbor:"7,keyasint,omitempty"`
	// Usage is the number of requests and retries sent to each service in the last window.
	Usage map[string]retry.Usage `cbor:"8,keyasint,omitempty"`
}

// ServerLoad is the in-flight work at one server.
type ServerLoad struct {
	_ struct{} `cbor:",toarray"`
	// ShortID is a hash of the server's ID; see fleet.ShortID.
	ShortID uint32
	// Requests counts all requests and FirstStage those for which the server is the first pipeline
	// stage. TokenLayers is the memory of all requests in tokens times layers; see fleet.Load.
	Requests    uint32
	FirstStage  uint32
	TokenLayers uint32
}

// Restart reports that a server has restarted.
type Restart struct {
	_ struct{} `cbor:",toarray"`
	// Name is the key of the server's entry, PreviousIncarnation the incarnation that ended and
	// NewIncarnation the one that replaced it.
	Name                string
	PreviousIncarnation string
	NewIncarnation      string
}

// KeyedRecord is one record of a keyed topic; an empty value removes the key.
type KeyedRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// ServerChange is one change of a server entry.
type ServerChange struct {
	_ struct{} `cbor:",toarray"`
	// Offset is the position of the change, like ServerEntry.Position. The fields of ServerChange
	// have no JSON tags, so ServerEntries.Changes is encoded under their Go names, and they must
	// not be renamed.
	Offset logstore.Position
	Key    string
	Value  []byte
	// Grace is how long a removed server may still be restored, in microseconds: its entry may have
	// expired only because the store was unreachable.
	Grace int64
}

// decoder limits the memory that a datagram can make this process allocate.
var decoder = func() cbor.DecMode {
	// The options are constant and valid.
	mode, err := cbor.DecOptions{MaxArrayElements: maxMessageBytes, MaxMapPairs: maxMessageBytes}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// Datagram is an encoded message preceded by room for the echo.
type Datagram []byte

// Encode encodes the message; Send fills in the echo.
func (m Message) Encode() (Datagram, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "mesh: encode message")
	}
	d := append(make(Datagram, echoSize, echoSize+len(body)), body...)
	if len(d) > maxMessageBytes {
		return nil, errors.Newf("mesh: message of %d bytes exceeds the limit of %d bytes", len(d), maxMessageBytes)
	}

	return d, nil
}
