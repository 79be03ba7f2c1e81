package event

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	lines   [][]byte
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.lines = append(w.lines, p)

	return len(p), nil
}

// countByEvent returns the number of lines of each event.
func countByEvent(t *testing.T, lines [][]byte) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, l := range lines {
		var line struct {
			Msg string `json:"msg"`
		}
		if err := json.Unmarshal(l, &line); err != nil {
			t.Fatalf("%s: %v", l, err)
		}
		counts[line.Msg]++
	}

	return counts
}

func TestAsyncWriter(t *testing.T) {
	t.Run("a line has the event, its fields and the fields of the logger", func(t *testing.T) {
		var out bytes.Buffer
		w := NewAsyncWriter(&out)
		Log(w.Logger(zapcore.InfoLevel).With(zap.String("box", "b-1")), CatalogTaken, zap.Int("version", 3))
		w.Close(time.Second)
		var line map[string]any
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		delete(line, "ts")
		want := map[string]any{"level": "info", "msg": "CatalogTaken", "event": 210.0, "box": "b-1", "version": 3.0}
		if diff := cmp.Diff(want, line); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("a blocked output does not block logging, and successes are dropped before failures", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			out := &blockingWriter{release: make(chan struct{})}
			w := NewAsyncWriter(out)
			l := w.Logger(zapcore.InfoLevel)
			start := time.Now()
			for range 1000 {
				Log(l, RequestAnswered)
			}
			for range 1000 {
				Log(l, RequestBroken)
			}
			if took := time.Since(start); took != 0 {
				t.Errorf("logging took %s", took)
			}
			w.ReportDropped(l)
			close(out.release)
			w.Close(time.Second)
			want := map[string]int{"RequestAnswered": successLineBurst, "RequestBroken": 1000, "LinesDropped": 1}
			if diff := cmp.Diff(want, countByEvent(t, out.lines)); diff != "" {
				t.Error(diff)
			}
		})
	})
	t.Run("the rate of successes is limited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := NewAsyncWriter(io.Discard)
			l := w.Logger(zapcore.InfoLevel)
			for range 10 * 1000 {
				Log(l, RequestAnswered)
				time.Sleep(time.Millisecond)
			}
			w.mu.Lock()
			dropped := w.dropped["RequestAnswered"]
			w.mu.Unlock()
			if kept := 10*1000 - dropped; kept > successLineBurst+11*successLinesPerSecond {
				t.Errorf("%d lines were kept in ten seconds", kept)
			}
			w.Close(time.Second)
		})
	})
	t.Run("lines below the level are not written", func(t *testing.T) {
		var out bytes.Buffer
		w := NewAsyncWriter(&out)
		Log(w.Logger(zapcore.WarnLevel), CatalogTaken)
		w.Close(time.Second)
		if out.Len() != 0 {
			t.Errorf("got %s, want no output", out.String())
		}
	})
}

// TestControlLinesUnderLoad guards against logs that don't say which configuration was in force because
// lines about requests took their place.
func TestControlLinesUnderLoad(t *testing.T) {
	for name, written := range map[string]bool{"output blocked": false, "output written": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockingWriter{release: make(chan struct{})}
				if written {
					close(out.release)
				}
				w := NewAsyncWriter(out)
				l := w.Logger(zapcore.InfoLevel)
				const rounds = 20
				for range rounds {
					for range 2000 {
						Log(l, RequestRefused)
						Log(l, RequestAnswered)
					}
					Log(l, CatalogTaken)
					Log(l, CatalogOutdated)
					time.Sleep(100 * time.Millisecond)
				}
				if !written {
					close(out.release)
				}
				w.Close(time.Second)
				got := countByEvent(t, out.lines)
				if diff := cmp.Diff([]int{rounds, rounds}, []int{got["CatalogTaken"], got["CatalogOutdated"]}); diff != "" {
					t.Errorf("lines about the configuration (-want +got):\n%s", diff)
				}
			})
		})
	}
}
