package box

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/program"
	"github.com/slatebridge/slatebridge/quarantine"
)

func TestFetchStatus(t *testing.T) {
	want := Status{
		Box: "box-1", Hall: "hall-a", Ready: true, Config: 7, ConfigAge: 1500 * time.Millisecond, Servers: 9, Complete: true,
		ReadsStore: true, FailedTopics: []string{"servers"}, Leader: "box-2", FencingToken: 3, Boxes: 4,
		Suspects: []slatebridge.ServerID{"s-1"}, Slow: map[slatebridge.ServerID]float64{"s-2": 12}, InFlight: 5,
		Resting: map[slatebridge.ServerID]time.Duration{"s-4": 2 * time.Second}, Leaving: []slatebridge.ServerID{"s-5"}, Limited: map[slatebridge.ServerID]float64{"s-6": 5.4}, Suspended: 8 * time.Second,
		Quarantine: []quarantine.Suspect{{Fingerprint: "4b9305b446a2", Verdict: "held back", CrashStreak: 3, Servers: []slatebridge.ServerID{"s-3"}, Trials: 1, SinceLastCrash: time.Minute}},
	}
	mux := http.NewServeMux()
	HandleStatus(mux, func() Status { return want })
	srv := httptest.NewServer(mux)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	t.Run("the fetched status equals the served one", func(t *testing.T) {
		got, err := FetchStatus(t.Context(), srv.Client(), address)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("an operator lifts a quarantine", func(t *testing.T) {
		HandleLiftQuarantine(mux, func(prefix string) int {
			if prefix == "4b9305b446a2" {
				return 1
			}

			return 0
		})
		if err := LiftQuarantine(t.Context(), srv.Client(), address, "4b9305b446a2"); err != nil {
			t.Error(err)
		}
		for prefix, want := range map[string]string{"4b93": "six digits", "ffffffffffff": "no request begins with ffffffffffff"} {
			if err := LiftQuarantine(t.Context(), srv.Client(), address, prefix); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %v, want %s", prefix, err, want)
			}
		}
	})
	t.Run("another kind of server", func(t *testing.T) {
		other := httptest.NewServer(http.NotFoundHandler())
		defer other.Close()
		_, err := FetchStatus(t.Context(), srv.Client(), strings.TrimPrefix(other.URL, "http://"))
		if err == nil || !strings.Contains(err.Error(), "404") {
			t.Errorf("error %v", err)
		}
	})
	t.Run("an invalid address", func(t *testing.T) {
		if _, err := FetchStatus(t.Context(), srv.Client(), "no where"); err == nil || !strings.Contains(err.Error(), "no where") {
			t.Errorf("error %v", err)
		}
	})
}

func ExampleStatus_String() {
	s := Status{Program: program.Identity{Name: "slatebridge-box", Version: "0.1.0", Digest: "4yQx", Architecture: "arm64", Toolchain: "go1.26"}, Box: "box-1", Hall: "hall-a", Config: 7, ConfigAge: time.Second, ConfigBy: "store", Servers: 9, Complete: true, Leader: "box-2", FencingToken: 3, Boxes: 4}
	fmt.Print(s)
	// Output:
	// box            box-1
	// program        slatebridge-box 0.1.0 4yQx arm64 go1.26
	// hall           hall-a
	// ready          false
	// configuration  version 7, confirmed current 1s ago by store
	// servers        9, all layers of every model present: true
	// store          read for the hall: false, topics whose last call failed: []
	// orders         leader: box-2, fencing token 3
	// boxes          4
	// isolated       false, servers reached through other boxes: 0
	// suspects       []
	// slow           []
	// resting        []
	// leaving        []
	// limited        []
	// in flight      0
	// quarantine     []
	// suspended      0s
}
