package explain

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/slatebridge/slatebridge/event"

	"github.com/cockroachdb/errors"
)

// TimelineRow summarizes what the boxes logged in one second.
type TimelineRow struct {
	Start time.Time
	// Leader is the box that won the latest election.
	Leader string
	// ConfigVersion is the newest version that any box has applied.
	ConfigVersion int64
	// SuspectedServers counts servers that a box suspected to be dead. All counts of servers
	// include each server once, however many boxes log the event.
	SuspectedServers int
	SlowServers      int
	// RemovedServers counts servers whose entry was removed, has expired or is missing from the
	// store.
	RemovedServers int
	// PlannedPlacements counts layer ranges that were assigned to servers.
	PlannedPlacements int
	// LostPeers counts how often a box lost a peer.
	LostPeers int
	// StoreLostBoxes counts boxes that lost their connection to the store.
	StoreLostBoxes int
	// EndedServers counts servers whose incarnation ended.
	EndedServers int
	// SuspendedBoxes counts boxes that were suspended.
	SuspendedBoxes int
	// CoolingDownServers counts servers that asked for a cooldown.
	CoolingDownServers int
	// LeavingServers counts servers that announced that they are leaving.
	LeavingServers int
	// RateLimitedServers counts servers that announced a new or changed rate limit.
	RateLimitedServers int
	AnsweredRequests   int
	// MovedStreams counts streams that were resumed or moved to another path.
	MovedStreams   int
	BrokenRequests int
	// RefusedByCode counts refused requests by result code.
	RefusedByCode map[int]int
}

// rowBuilder accumulates the row of one second.
type rowBuilder struct {
	TimelineRow
	suspected, slow, removed, storeLost, ended, suspended, coolingDown, leaving, rateLimited map[string]bool
}

// BuildTimeline returns a row for each second from the first line to the last. Leader and
// ConfigVersion carry over from one row to the next.
func BuildTimeline(l *Log) []TimelineRow {
	var out []TimelineRow
	var current *rowBuilder
	for _, line := range l.Lines {
		second := line.Timestamp.Truncate(time.Second)
		for current == nil || current.Start.Before(second) {
			next := &rowBuilder{
				TimelineRow: TimelineRow{Start: second, RefusedByCode: make(map[int]int)},
				suspected:   make(map[string]bool), slow: make(map[string]bool), removed: make(map[string]bool), storeLost: make(map[string]bool),
				ended: make(map[string]bool), suspended: make(map[string]bool),
				coolingDown: make(map[string]bool), leaving: make(map[string]bool), rateLimited: make(map[string]bool),
			}
			if current != nil {
				out = append(out, current.build())
				next.Start, next.Leader, next.ConfigVersion = current.Start.Add(time.Second), current.Leader, current.ConfigVersion
			}
			current = next
		}
		current.add(line)
	}
	if current != nil {
		out = append(out, current.build())
	}

	return out
}

func (b *rowBuilder) build() TimelineRow {
	b.SuspectedServers, b.SlowServers, b.RemovedServers, b.StoreLostBoxes = len(b.suspected), len(b.slow), len(b.removed), len(b.storeLost)
	b.EndedServers, b.SuspendedBoxes = len(b.ended), len(b.suspended)
	b.CoolingDownServers, b.LeavingServers, b.RateLimitedServers = len(b.coolingDown), len(b.leaving), len(b.rateLimited)

	return b.TimelineRow
}

func (b *rowBuilder) add(l LogLine) {
	if servers := b.serverSet(l.Event); servers != nil {
		servers[l.Server] = true

		return
	}
	switch l.Event {
	case event.ElectionWon:
		b.Leader = l.Box
	case event.CatalogTaken:
		b.ConfigVersion = max(b.ConfigVersion, int64(l.Number("version")))
	case event.BoxSuspended:
		b.suspended[l.Box] = true
	case event.PlacementPlanned:
		b.PlannedPlacements++
	case event.PeerLost:
		b.LostPeers++
	case event.StoreLost:
		b.storeLost[l.Box] = true
	default:
		b.addRequestEvent(l)
	}
}

// serverSet returns the set that collects the servers of an event, or nil if they are not counted.
func (b *rowBuilder) serverSet(id event.ID) map[string]bool {
	switch id {
	case event.ServerSuspected:
		return b.suspected
	case event.ServerEnded:
		return b.ended
	case event.ServerSlow:
		return b.slow
	case event.ServerRemoved:
		return b.removed
	case event.ServerRests:
		return b.coolingDown
	case event.ServerLeaves:
		return b.leaving
	case event.ServerLimited:
		return b.rateLimited
	default:
		return nil
	}
}

func (b *rowBuilder) addRequestEvent(l LogLine) {
	switch l.Event {
	case event.RequestAnswered:
		b.AnsweredRequests++
	case event.StreamMoved, event.StreamResumed:
		b.MovedStreams++
	case event.RequestBroken, event.CallerLeft:
		b.BrokenRequests++
	case event.RequestRefused:
		b.RefusedByCode[int(l.Number("code"))]++
	default:
	}
}

// timelineColumns are the column titles of the printed timeline.
var timelineColumns = []string{
	"second",     // seconds since the first row
	"orders",     // Leader: the box that sends placement orders
	"config",     // ConfigVersion
	"dead",       // SuspectedServers
	"slow",       // SlowServers
	"removed",    // RemovedServers
	"planned",    // PlannedPlacements
	"peers_lost", // LostPeers
	"store_lost", // StoreLostBoxes
	"ended",      // EndedServers
	"suspended",  // SuspendedBoxes
	"resting",    // CoolingDownServers
	"leaving",    // LeavingServers
	"limited",    // RateLimitedServers
	"answered",   // AnsweredRequests
	"moved",      // MovedStreams
	"broken",     // BrokenRequests
	"refused",    // RefusedByCode, as code:count
}

// row returns the cells of the row. The first cell counts the seconds from the given time.
func (r TimelineRow) row(from time.Time) []string {
	refused := make([]string, 0, len(r.RefusedByCode))
	for _, code := range slices.Sorted(maps.Keys(r.RefusedByCode)) {
		refused = append(refused, fmt.Sprintf("%d:%d", code, r.RefusedByCode[code]))
	}
	out := []string{strconv.Itoa(int(r.Start.Sub(from).Seconds())), r.Leader, strconv.FormatInt(r.ConfigVersion, 10)}
	for _, n := range []int{r.SuspectedServers, r.SlowServers, r.RemovedServers, r.PlannedPlacements, r.LostPeers, r.StoreLostBoxes, r.EndedServers, r.SuspendedBoxes, r.CoolingDownServers, r.LeavingServers, r.RateLimitedServers, r.AnsweredRequests, r.MovedStreams, r.BrokenRequests} {
		out = append(out, strconv.Itoa(n))
	}

	return append(out, strings.Join(refused, " "))
}

// PrintTable writes the timeline as an aligned table.
func PrintTable(w io.Writer, list []TimelineRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) //nolint:mnd // two spaces between columns
	if _, err := fmt.Fprintln(t, strings.Join(timelineColumns, "\t")); err != nil {
		return errors.Wrap(err, "explain: write table")
	}
	for _, r := range list {
		if _, err := fmt.Fprintln(t, strings.Join(r.row(list[0].Start), "\t")); err != nil {
			return errors.Wrap(err, "explain: write table")
		}
	}

	return errors.Wrap(t.Flush(), "explain: write table")
}

// PrintCSV writes the timeline as comma-separated values.
func PrintCSV(w io.Writer, list []TimelineRow) error {
	c := csv.NewWriter(w)
	rows := [][]string{timelineColumns}
	for _, r := range list {
		rows = append(rows, r.row(list[0].Start))
	}

	return errors.Wrap(c.WriteAll(rows), "explain: write CSV")
}
