package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge/event"

	"github.com/slatebridge/slatebridge/result"
)

// CauseKind is the kind of a cause. docs/OPERATIONS.md describes how to handle most of them.
type CauseKind string

// Kinds of causes.
const (
	// CauseNoLogLines means that no log line names the request.
	CauseNoLogLines CauseKind = "no line at all"
	// CauseBoxLost means that lines about the request were logged but none about its end, so its
	// box was probably lost.
	CauseBoxLost CauseKind = "the box was lost"
	// CauseServerDead means that a server on the path died.
	CauseServerDead CauseKind = "a server died"
	// CauseServerRestarted means that a server was replaced by a new incarnation with the same
	// name.
	CauseServerRestarted CauseKind = "a server started again"
	// CauseBoxSlow means that the suspicion of a server was probably false, as the box or its link
	// was slow; see suspicionCause.
	CauseBoxSlow CauseKind = "the box was slow"
	// CauseHallPartitioned means that a network partition cut off the hall of a server.
	CauseHallPartitioned CauseKind = "a hall was cut off"
	// CauseServerSlow means that a server reported that it is much slower than usual.
	CauseServerSlow CauseKind = "a slow server"
	// CauseConfigNotCurrent means that the configuration of the box was too old or missing.
	CauseConfigNotCurrent CauseKind = "the store was unreachable or the configuration not current"
	// CauseNoCapacity means that no path had free memory or slots.
	CauseNoCapacity CauseKind = "no capacity"
	// CauseRoomKept means that the servers had room, but only for more urgent requests.
	CauseRoomKept CauseKind = "the room was kept for more urgent requests"
	// CauseLayersUnavailable means that no complete pipeline was available, or that no server took
	// the request.
	CauseLayersUnavailable CauseKind = "layers were on no server"
	// CauseRetryBudgetExhausted means that the retry budget had no retry left.
	CauseRetryBudgetExhausted CauseKind = "the budget for retries was spent"
	// CauseRequestRejected means that the request itself was rejected, such as for an unknown key
	// or route, its size or its format.
	CauseRequestRejected CauseKind = "the request was rejected"
	// CauseServerError means that an attempt failed at a server, with no sign of another cause.
	CauseServerError CauseKind = "a server's own failure"
	// CausePoisonRequest means that the request was quarantined because servers crashed under it.
	CausePoisonRequest CauseKind = "poison request"
	// CauseServersCoolingDown means that the servers had asked for a cooldown.
	CauseServersCoolingDown CauseKind = "its servers are in a cooldown"
	// CauseServersRateLimited means that the servers had reached their rate limits.
	CauseServersRateLimited CauseKind = "its servers are at their rate limit"
	// CauseAnswered means that the answer was complete, and no line shows a problem.
	CauseAnswered CauseKind = "answered"
	// CauseUnknown means that no rule applies.
	CauseUnknown CauseKind = "not known"
)

// Cause is the likely reason for the outcome of a request.
type Cause struct {
	Kind CauseKind
	// Evidence says what the log lines show.
	Evidence string
}

// findCause returns the likely cause.
func (t *RequestTrace) findCause() Cause {
	end, ok := t.lastEvent(event.RequestAnswered, event.RequestRefused, event.RequestBroken, event.CallerLeft)
	if !ok {
		return Cause{CauseBoxLost, "its last line is " + t.Lines[len(t.Lines)-1].EventName + ", and no line about its end follows: the box was stopped, was killed or lost power"}
	}
	if end.Event != event.RequestAnswered {
		if c, ok := causeOfRefusal(end); ok {
			return t.withLedgerRefusal(c)
		}
	}
	if c, ok := t.findServerCause(); ok {
		return c
	}
	if end.Event == event.RequestAnswered {
		return Cause{CauseAnswered, fmt.Sprintf("answer complete after %s; first event after %s, longest pause %s",
			end.Duration("took_ms"), end.Duration("first_event_ms"), end.Duration("longest_pause_ms"))}
	}
	if attempt, ok := t.lastEvent(event.AttemptEnded); ok {
		return Cause{CauseServerError, fmt.Sprintf("%s: %s", attempt.Server, attempt.Text("error"))}
	}

	return Cause{CauseUnknown, end.Text("why")}
}

// withLedgerRefusal adds to a lack of capacity that the ledger of a hall refused the last path.
func (t *RequestTrace) withLedgerRefusal(c Cause) Cause {
	if refused, ok := t.lastEvent(event.RoomRefused); ok && c.Kind == CauseNoCapacity {
		c.Evidence += fmt.Sprintf("; room refused by the hall's ledger at %s", strings.Join(refused.Strings("full"), ", "))
	}

	return c
}

// causeOfRefusal returns the cause if the result code, and for result.Overloaded the text of the
// refusal, determine it.
func causeOfRefusal(end LogLine) (Cause, bool) {
	why := end.Text("why")
	switch result.Code(end.Number("code")) {
	case result.NotCurrent, result.NotReady:
		return Cause{CauseConfigNotCurrent, why}, true
	case result.HeldBack, result.PartHeldBack, result.OnTrial:
		if part := end.Text("part"); part != "" {
			why += "; the part is " + part
		}

		return Cause{CausePoisonRequest, why + "; its fingerprint is " + end.Text("same")}, true
	case result.Resting:
		return Cause{CauseServersCoolingDown, why}, true
	case result.Limited:
		return Cause{CauseServersRateLimited, why}, true
	case result.UnknownKey, result.UnknownRoute, result.TooLarge, result.Malformed:
		return Cause{CauseRequestRejected, why}, true
	case result.NoPipeline, result.NoServer:
		return Cause{CauseLayersUnavailable, why}, true
	case result.Overloaded:
		return causeOfOverload(why), true
	default:
		return Cause{}, false
	}
}

// causeOfOverload returns the cause of a refusal with result.Overloaded by its text.
func causeOfOverload(why string) Cause {
	switch {
	case strings.Contains(why, "budget"):
		return Cause{CauseRetryBudgetExhausted, why}
	case strings.Contains(why, "more urgent"):
		return Cause{CauseRoomKept, why}
	default:
		return Cause{CauseNoCapacity, why}
	}
}

// findServerCause returns the cause shown by the lines about the request's servers.
func (t *RequestTrace) findServerCause() (Cause, bool) {
	// A partition is checked first, as it makes single servers look dead before boxes detect it.
	for _, l := range t.RelatedLines {
		if l.Event == event.ServerSuspected && l.Box == t.Box && strings.Contains(l.Text("why"), "cut off") {
			return Cause{CauseHallPartitioned, fmt.Sprintf("%s reported that the hall of %s was cut off", l.Box, l.Server)}, true
		}
	}
	for _, l := range t.RelatedLines {
		if l.Event == event.ServerRestarted {
			return Cause{CauseServerRestarted, fmt.Sprintf("%s restarted as %s, detected through %s", l.Server, l.Text("now"), l.Text("source"))}, true
		}
	}
	for _, l := range t.Lines {
		for _, id := range l.Strings("dead") {
			return t.suspicionCause(id, l.Timestamp), true
		}
	}
	for _, l := range t.RelatedLines {
		switch l.Event {
		case event.ServerSuspected:
			return t.suspicionCause(l.Server, l.Timestamp), true
		case event.ServerSlow:
			return Cause{CauseServerSlow, fmt.Sprintf("%s took %.1f times as long as usual", l.Server, l.Number("slowness"))}, true
		default:
		}
	}

	return Cause{}, false
}

// suspicionCause returns why a server was suspected at the given time, by the related lines. The
// box or its link was slow if no more than one box logged ServerSuspected for the server within
// sameCrashWindow of that time, and any box logged ServerTrusted for it earlier than
// falseSuspicionWindow after that time (lines before that time count too). Otherwise, the server
// died.
func (t *RequestTrace) suspicionCause(id string, at time.Time) Cause {
	boxes := make(map[string]bool)
	trusted := false
	for _, l := range t.RelatedLines {
		if l.Server != id {
			continue
		}
		switch l.Event {
		case event.ServerSuspected:
			if l.Timestamp.Sub(at).Abs() > sameCrashWindow {
				continue
			}
			boxes[l.Box] = true
		case event.ServerTrusted:
			trusted = trusted || l.Timestamp.Sub(at) < falseSuspicionWindow
		default:
		}
	}
	if len(boxes) <= 1 && trusted {
		return Cause{CauseBoxSlow, fmt.Sprintf("only %s suspected %s, and soon trusted it again: the box or its link was slow", t.Box, id)}
	}

	return Cause{CauseServerDead, fmt.Sprintf("%s was found dead by %d boxes", id, max(1, len(boxes)))}
}
