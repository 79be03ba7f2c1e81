package overload

import (
	"go/build"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		attempts StreamAttempts
		want     Decision
	}{
		"rejected once":                        {StreamAttempts{Total: 1, NotRun: 1, Idempotent: true}, Retry},
		"rejected once, not idempotent":        {StreamAttempts{Total: 1, NotRun: 1}, Retry},
		"rejected too often":                   {StreamAttempts{Total: 4, NotRun: 4, Idempotent: true}, Rejected},
		"rejected too often after it ran":      {StreamAttempts{Total: 5, NotRun: 4, MayHaveRun: true, Idempotent: true}, Exhausted},
		"ran, idempotent":                      {StreamAttempts{Total: 1, MayHaveRun: true, Idempotent: true}, Retry},
		"ran, not idempotent":                  {StreamAttempts{Total: 1, MayHaveRun: true}, NotRetryable},
		"ran too often":                        {StreamAttempts{Total: MaxStreamAttempts, MayHaveRun: true, Idempotent: true}, Exhausted},
		"expired before it ran":                {StreamAttempts{Total: 1, NotRun: 1, Idempotent: true, Expired: true}, ExpiredBeforeRun},
		"expired after it ran":                 {StreamAttempts{Total: 1, MayHaveRun: true, Idempotent: true, Expired: true}, ExpiredAfterRun},
		"expired after it ran, not idempotent": {StreamAttempts{Total: 1, MayHaveRun: true, Expired: true}, ExpiredAfterRun},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.attempts.Decide(); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

func TestMayRetry(t *testing.T) {
	for name, c := range map[string]struct {
		attempts PlainAttempts
		want     bool
	}{
		"ran on one of two allowed servers": {PlainAttempts{Total: 1, MaxRuns: 2}, true},
		"ran on two of two allowed servers": {PlainAttempts{Total: 2, MaxRuns: 2}, false},
		"one of two servers rejected it":    {PlainAttempts{Total: 2, NotRun: 1, MaxRuns: 2}, true},
		"three servers rejected it":         {PlainAttempts{Total: 3, NotRun: 3, MaxRuns: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.attempts.MayRetry(); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

func TestMayWait(t *testing.T) {
	for name, c := range map[string]struct {
		wait PathWait
		want bool
	}{
		"new request":                       {PathWait{}, false},
		"new request with excluded servers": {PathWait{HasExcluded: true}, true},
		"started stream":                    {PathWait{Started: true, SinceLastEvent: MaxPathWait - 1}, true},
		"started stream after the limit":    {PathWait{Started: true, SinceLastEvent: MaxPathWait, HasExcluded: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.wait.MayWait(); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// TestCapacityRetryAfter checks that callers refused at the same time retry spread over about the
// duration of a stream, and none before capacity can be free.
func TestCapacityRetryAfter(t *testing.T) {
	const usual = 2 * time.Second
	for _, c := range []struct {
		usual  time.Duration
		random float64
		want   time.Duration
	}{
		{0, 0.9, MinRetryAfter}, {usual, 0, usual / 2}, {usual, 0.5, usual}, {usual, 1, usual * 3 / 2},
	} {
		if got := CapacityRetryAfter(c.usual, c.random); got != c.want {
			t.Errorf("%s, %.1f: %s, want %s", c.usual, c.random, got, c.want)
		}
	}
}

// TestDecisionPackagesAvoidIO checks that the decision packages, and the packages of this module
// that they import, do no I/O and no logging, as the package comment states.
func TestDecisionPackagesAvoidIO(t *testing.T) {
	const module = "github.com/slatebridge/slatebridge"
	banned := []string{"net", "net/http", "os", "log", "log/slog", "go.uber.org/zap", module + "/event"}
	seen := make(map[string]bool)
	var check func(pkg string)
	check = func(pkg string) {
		if seen[pkg] {
			return
		}
		seen[pkg] = true
		p, err := build.ImportDir(filepath.Join("..", strings.TrimPrefix(pkg, module)), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range p.Imports {
			if slices.Contains(banned, path) {
				t.Errorf("%s imports %s", pkg, path)
			}
			if strings.HasPrefix(path, module) {
				check(path)
			}
		}
	}
	for _, pkg := range []string{"overload", "fleet", "priority", "retry", "relay", "place", "quarantine"} {
		check(module + "/" + pkg)
	}
}
