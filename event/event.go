// Package event defines the numbered log events and writes them with zap.
//
// The levels and descriptions of the events are in events.toml.
package event

import (
	_ "embed"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of a log event.
type ID int

// The log events. See events.toml for their descriptions.
const (
	Started               ID = 100
	Stopping              ID = 101
	Stopped               ID = 102
	ActorSystem           ID = 103
	ListenerFailed        ID = 104
	Ready                 ID = 105
	SettingsReloaded      ID = 106
	LinesDropped          ID = 107
	ChannelsDropped       ID = 108
	BoxSuspended          ID = 109
	OwnLoadLimited        ID = 110
	OwnLoadLifted         ID = 111
	Program               ID = 112
	RecordAccepted        ID = 200
	RecordRefused         ID = 201
	LogUnreachable        ID = 202
	LogGap                ID = 203
	StateFromPeer         ID = 204
	SnapshotWritten       ID = 205
	SnapshotRefused       ID = 206
	SnapshotTaken         ID = 207
	ControllerUnreachable ID = 208
	CatalogTaken          ID = 210
	CatalogRefused        ID = 211
	StoreLost             ID = 212
	StoreRegained         ID = 213
	CatalogUnreadable     ID = 214
	StoreReturned         ID = 215
	CatalogOutdated       ID = 216
	CatalogCurrent        ID = 217
	LeaseTaken            ID = 300
	LeaseLost             ID = 301
	OrderSent             ID = 302
	OrderFailed           ID = 303
	OrderHeld             ID = 304
	MemberChanged         ID = 310
	ServerChanged         ID = 320
	ServerRemoved         ID = 321
	ServerSuspected       ID = 322
	ServerTrusted         ID = 323
	ServerSlow            ID = 324
	ServersTaken          ID = 325
	ServerRestarted       ID = 326
	EntryRefused          ID = 327
	ServerEnded           ID = 328
	ElectionWon           ID = 330
	ElectionLost          ID = 331
	PlacementPlanned      ID = 332
	PeerFound             ID = 340
	PeerLost              ID = 341
	ServerRests           ID = 350
	ServerLeaves          ID = 351
	NoticeUnreadable      ID = 352
	ServerLimited         ID = 353
	ServerUnlimited       ID = 354
	ServersUnreached      ID = 360
	ServersReached        ID = 361
	TunnelsBegan          ID = 362
	TunnelsEnded          ID = 363
	RouteChosen           ID = 400
	RouteRefused          ID = 401
	AttemptFailed         ID = 402
	FrameRefused          ID = 403
	RequestDone           ID = 404
	RequestAnswered       ID = 410
	RequestRefused        ID = 411
	RequestBroken         ID = 412
	AttemptEnded          ID = 413
	StreamResumed         ID = 414
	StreamMoved           ID = 415
	StreamStalled         ID = 416
	StreamWaits           ID = 417
	StreamSent            ID = 418
	TrialBegun            ID = 419
	TrialRefused          ID = 420
	EndedAgain            ID = 421
	QuarantineLifted      ID = 422
	CallerLeft            ID = 423
	PriorityLimited       ID = 430
	UnderservedPreferred  ID = 431
	RoomRefused           ID = 440
	RoomUnanswered        ID = 441
	RoomLedgerHeld        ID = 442
	RoomLedgerDropped     ID = 443
	PoolTakenOver         ID = 444
	RepairsQueued         ID = 460
	MoveRefused           ID = 461
	RestartPreferred      ID = 462
	RepairRoomKept        ID = 463
	ShortageBegan         ID = 470
	ClaimWon              ID = 500
	ClaimLost             ID = 501
	ClaimGivenUp          ID = 502
	ClaimsUnreadable      ID = 503
)

// Definition describes one event, as in events.toml.
type Definition struct {
	Number ID     `toml:"number"`
	Name   string `toml:"name"`
	Level  string `toml:"level"`
	Text   string `toml:"text"`
	// Success marks events that report success. AsyncWriter drops their lines first when lines
	// arrive too fast.
	Success bool `toml:"success"`
	// Control marks rare events about what the decisions of a process rest on, such as the
	// configuration in force. AsyncWriter drops their lines last.
	Control bool `toml:"control"`
}

//go:embed events.toml
var eventsFile []byte

var (
	definitions = mustLoad()
	eventsByID  = indexByID(definitions)
	idsByName   = indexByName(definitions)
)

// loggedEvent holds what Log and asyncCore need of a Definition, with the level parsed.
type loggedEvent struct {
	name    string
	level   zapcore.Level
	success bool
	control bool
}

// Definitions returns the definitions of all events, ordered by number.
func Definitions() []Definition {
	return definitions
}

// Log writes a log line for the event, at its level and with the fields.
func Log(l *zap.Logger, id ID, fields ...zap.Field) {
	e := eventsByID[id]
	ce := l.Check(e.level, e.name)
	if ce == nil {
		return
	}
	ce.Write(append([]zap.Field{zap.Int("event", int(id))}, fields...)...)
}

// Error returns a field with the message of err. Unlike zap.Error, it adds no stack trace, so the
// log line stays short.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}

	return zap.String("error", err.Error())
}

func mustLoad() []Definition {
	var file struct {
		Event []Definition `toml:"event"`
	}
	if err := toml.Unmarshal(eventsFile, &file); err != nil {
		panic("event: events.toml: " + err.Error())
	}

	return file.Event
}

func indexByID(list []Definition) map[ID]loggedEvent {
	m := make(map[ID]loggedEvent, len(list))
	for _, e := range list {
		level, err := zapcore.ParseLevel(e.Level)
		if err != nil {
			panic("event: events.toml: " + err.Error())
		}
		m[e.Number] = loggedEvent{name: e.Name, level: level, success: e.Success, control: e.Control}
	}

	return m
}

func indexByName(list []Definition) map[string]ID {
	m := make(map[string]ID, len(list))
	for _, e := range list {
		m[e.Name] = e.Number
	}

	return m
}
