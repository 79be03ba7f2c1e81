package box

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/program"
	"github.com/slatebridge/slatebridge/quarantine"
)

const (
	// statusPath is the path of a box's status, and liftPath the prefix of the paths that lift a
	// quarantine.
	statusPath = "/status"
	liftPath   = "/quarantine/"
	// maxStatusBytes limits the response body that is read.
	maxStatusBytes = 1 << 20
)

// Status is the status reported to operators. It needs neither the store nor other boxes.
type Status struct {
	// Program is the program that the box runs.
	Program program.Identity   `json:"program"`
	Box     slatebridge.BoxID  `json:"box"`
	Hall    slatebridge.HallID `json:"hall"`
	Ready   bool               `json:"ready"`
	// Config is the version of the configuration, and ConfigAge the time since it was last
	// confirmed current.
	Config    int64         `json:"config"`
	ConfigAge time.Duration `json:"config_age"`
	// ConfigBy is by whose word: the store's, or that of the box that it names.
	ConfigBy string `json:"config_by"`
	// Servers counts the known backend servers, and Complete reports whether every model has all
	// its layers on usable servers.
	Servers  int  `json:"servers"`
	Complete bool `json:"complete"`
	// ReadsStore reports whether this box reads the store for its hall, and FailedTopics names the
	// topics whose last call failed.
	ReadsStore   bool     `json:"reads"`
	FailedTopics []string `json:"store_lost"`
	// Leader is the box that places layers, and FencingToken the token of its term.
	Leader       slatebridge.BoxID `json:"orders"`
	FencingToken int64             `json:"token"`
	// Boxes counts the live boxes, including this one.
	Boxes int `json:"boxes"`
	// Isolated reports whether the box reaches no server by connections of its own.
	Isolated bool `json:"isolated"`
	// Detours counts the servers to which connections go through other boxes.
	Detours int `json:"detours"`
	// Suspects are the servers suspected dead, and Slow maps the servers that this box found slow
	// to the factor by which they exceed their usual time.
	Suspects []slatebridge.ServerID           `json:"suspects"`
	Slow     map[slatebridge.ServerID]float64 `json:"slow"`
	// Resting maps the servers in a cooldown for this box to its remaining time, and Leaving lists
	// the servers that are leaving according to themselves or to their entries.
	Resting map[slatebridge.ServerID]time.Duration `json:"resting"`
	Leaving []slatebridge.ServerID                 `json:"leaving"`
	// Limited maps rate-limited servers to the requests per second that they take from all boxes
	// together.
	Limited  map[slatebridge.ServerID]float64 `json:"limited"`
	InFlight int64                            `json:"in_flight"`
	// Quarantine lists the requests that are held back or sent only as trials because servers have
	// crashed under them.
	Quarantine []quarantine.Suspect `json:"quarantine"`
	// Suspended is the total time for which the box's machine was suspended.
	Suspended time.Duration `json:"away"`
}

// String formats the status as lines of "name value".
func (s Status) String() string {
	slow := make([]string, 0, len(s.Slow))
	for id, x := range s.Slow {
		slow = append(slow, fmt.Sprintf("%s x%.1f", id, x))
	}
	slices.Sort(slow)
	resting := make([]string, 0, len(s.Resting))
	for id, d := range s.Resting {
		resting = append(resting, fmt.Sprintf("%s for %s", id, d.Round(time.Millisecond)))
	}
	slices.Sort(resting)
	limited := make([]string, 0, len(s.Limited))
	for id, rate := range s.Limited {
		limited = append(limited, fmt.Sprintf("%s %g/s", id, rate))
	}
	slices.Sort(limited)
	quarantined := make([]string, 0, len(s.Quarantine))
	for _, q := range s.Quarantine {
		quarantined = append(quarantined, fmt.Sprintf("%s (%s: %d crashes in a row, last %s ago, %d trials)", q.Fingerprint, q.Verdict, q.CrashStreak, q.SinceLastCrash.Round(time.Second), q.Trials))
	}
	var b strings.Builder
	for _, v := range []struct {
		name  string
		value any
	}{
		{"box", s.Box},
		{"program", s.Program},
		{"hall", s.Hall},
		{"ready", s.Ready},
		{"configuration", fmt.Sprintf("version %d, confirmed current %s ago by %s", s.Config, s.ConfigAge.Round(time.Millisecond), s.ConfigBy)},
		{"servers", fmt.Sprintf("%d, all layers of every model present: %t", s.Servers, s.Complete)},
		{"store", fmt.Sprintf("read for the hall: %t, topics whose last call failed: %v", s.ReadsStore, s.FailedTopics)},
		{"orders", fmt.Sprintf("leader: %s, fencing token %d", s.Leader, s.FencingToken)},
		{"boxes", s.Boxes},
		{"isolated", fmt.Sprintf("%t, servers reached through other boxes: %d", s.Isolated, s.Detours)},
		{"suspects", s.Suspects},
		{"slow", slow},
		{"resting", resting},
		{"leaving", s.Leaving},
		{"limited", limited},
		{"in flight", s.InFlight},
		{"quarantine", quarantined},
		{"suspended", s.Suspended.Round(time.Millisecond)},
	} {
		fmt.Fprintf(&b, "%-14s %v\n", v.name, v.value)
	}

	return b.String()
}

// HandleStatus registers the status handler on mux.
func HandleStatus(mux *http.ServeMux, status func() Status) {
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(status())
	})
}

// FetchStatus fetches the status of a box from the address of its operators' listener.
func FetchStatus(ctx context.Context, client *http.Client, address string) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statusPath, http.NoBody)
	if err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", address)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return Status{}, errors.Newf("status of %s: unexpected response %s; is this the operators' listener of a box?", address, resp.Status)
	}
	var s Status

	return s, errors.Wrapf(json.Unmarshal(data, &s), "status of %s", address)
}

// minFingerprintDigits is the minimum length of a fingerprint prefix given by an operator.
const minFingerprintDigits = 6

// HandleLiftQuarantine registers the handler that lifts quarantines on mux. lift receives a
// fingerprint prefix and returns the number of lifted requests.
func HandleLiftQuarantine(mux *http.ServeMux, lift func(prefix string) int) {
	mux.HandleFunc("DELETE "+liftPath+"{same}", func(w http.ResponseWriter, r *http.Request) {
		prefix := r.PathValue("same")
		if len(prefix) < minFingerprintDigits {
			http.Error(w, "give six digits at least", http.StatusBadRequest)

			return
		}
		if lift(prefix) == 0 {
			http.Error(w, "no request begins with "+prefix, http.StatusNotFound)
		}
	})
}

// LiftQuarantine lifts, at all boxes, the quarantine of the requests whose fingerprints start with
// the given prefix. The address is that of the operators' listener of any box.
func LiftQuarantine(ctx context.Context, client *http.Client, address, prefix string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+liftPath+url.PathEscape(prefix), http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "lift quarantine at %s", address)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "lift quarantine at %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))

	return errors.CombineErrors(errors.Newf("lift quarantine at %s: %s: %s", address, resp.Status, strings.TrimSpace(string(body))), err)
}
