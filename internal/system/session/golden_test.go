package session

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/internal/golden"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
	"github.com/slatebridge/slatebridge/internal/standin/fleet"
	"github.com/slatebridge/slatebridge/internal/standin/logservice"
	"github.com/slatebridge/slatebridge/internal/standin/plainservice"
)

// decisions are the numbers of the events that a session's file holds.
var decisions = []int64{206, 400, 401, 402, 403, 404, 500, 501, 502}

// volatile finds what differs from run to run: random IDs, and how long a
// request took, which depends on whether an engine has noticed the end of the
// attempt before.
var volatile = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}|"created":\d+|took=\S+`)

// transcript collects what a caller sees and what the first gateway decides.
type transcript struct {
	mu   sync.Mutex
	logs *observer.ObservedLogs
	out  strings.Builder
}

// logger returns the logger of a process; only the first gateway is observed.
func (s *transcript) logger(process string) *zap.Logger {
	if process != fleet.GatewayHost(struckBox) {
		return zap.NewNop()
	}
	core, logs := observer.New(zapcore.InfoLevel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs = logs

	return zap.New(core)
}

// step writes what was done, what was decided since the last step, and what
// the caller got.
func (s *transcript) step(what string, a fleet.Answer) {
	// The gateway logs the end of a request when the caller has its answer.
	time.Sleep(10 * time.Millisecond)
	fmt.Fprintf(&s.out, "== %s\n", what)
	for _, e := range s.logs.TakeAll() {
		fields := e.ContextMap()
		if number, _ := fields["event"].(int64); !slices.Contains(decisions, number) {
			continue
		}
		fmt.Fprintf(&s.out, "%s%s\n", e.Message, printFields(fields))
	}
	fmt.Fprintf(&s.out, "status=%d ran=%s retry-after=%s\n", a.Status, a.Header.Get("Slatebridge-Ran"), a.Header.Get("Retry-After"))
	s.out.WriteString(strings.TrimSpace(a.Body) + "\n")
}

func printFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%v", name, fields[name])
	}

	return out.String()
}

// TestGoldenSessions plays whole sessions over all processes, and compares the
// requests' answers, their frames and the decisions logged with a file each.
func TestGoldenSessions(t *testing.T) {
	type scenario func(t *testing.T, f *fleet.Fleet, s *transcript)
	chat := func(t *testing.T, f *fleet.Fleet, s *transcript, what string) {
		t.Helper()
		s.step(what, f.Chat(t.Context(), struckBox, "what does item 7 cost", 6))
	}
	// strikeAt calls strike once, before the token of that index.
	strikeAt := func(f *fleet.Fleet, token int, strike func(req engine.StreamRequest)) {
		var once sync.Once
		for _, e := range f.Engines {
			e.SetHook(func(req engine.StreamRequest, index int) {
				if index == token {
					once.Do(func() { strike(req) })
				}
			})
		}
	}
	scenarios := map[string]scenario{
		"whole-chat": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			chat(t, f, s, "chat")
		},
		"stage-killed": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			strikeAt(f, 3, func(req engine.StreamRequest) { f.Net.Kill(string(req.Pipeline[1].Server)) })
			chat(t, f, s, "the last stage dies before the fourth token")
		},
		"frame-lost": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			strikeAt(f, 2, func(req engine.StreamRequest) {
				f.EngineFault(req.Pipeline[0].Server, engines.Faults{SkipFrame: 4})
			})
			chat(t, f, s, "the first stage leaves out the fourth frame")
		},
		"call-and-retry": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			key := newKey(t)
			s.step("call", f.Call(t.Context(), struckBox, key, true))
			s.step("retry", f.Call(t.Context(), struckBox, key, false))
			s.step("retry through another box", f.Call(t.Context(), "b12", key, false))
		},
		"call-cut": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			f.Plain["p1"].SetFaults(plainservice.Faults{CutAnswers: true})
			key := newKey(t)
			s.step("the server runs the call and breaks the connection", f.Call(t.Context(), struckBox, key, true))
			s.step("retry", f.Call(t.Context(), struckBox, key, false))
		},
		"log-out": func(t *testing.T, f *fleet.Fleet, s *transcript) {
			f.Log.SetFaults(logservice.Faults{Down: true})
			time.Sleep(5 * time.Second)
			key := newKey(t)
			s.step("first try", f.Call(t.Context(), struckBox, key, true))
			s.step("retry", f.Call(t.Context(), struckBox, key, false))
			chat(t, f, s, "chat goes on")
		},
	}
	for name, play := range scenarios {
		t.Run(name, func(t *testing.T) {
			s := &transcript{}
			inFleet(t, fleet.Size{Halls: 2, Boxes: 2, Engines: 2, Logger: s.logger}, func(t *testing.T, f *fleet.Fleet) {
				s.logs.TakeAll()
				play(t, f, s)
			})
			golden.Compare(t, "testdata/sessions/"+name+".expected", volatile.ReplaceAllString(s.out.String(), "?"))
		})
	}
}
