package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEventReader(t *testing.T) {
	for name, v := range map[string]struct {
		input string
		ids   []int64
		end   error
	}{
		"whole":                 {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"carriage returns":      {"id: 1\r\ndata: a\r\n\r\n", []int64{1}, io.EOF},
		"half event":            {"id: 1\ndata: a\n\nid: 2\nda", []int64{1}, io.ErrUnexpectedEOF},
		"half line at its end":  {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"event without number":  {"data: a\n\n", []int64{0}, io.EOF},
		"number that is none":   {"id: x\n\n", []int64{0}, io.EOF},
		"nothing":               {"", nil, io.EOF},
		"line beyond a buffer":  {"id: 7\ndata: " + strings.Repeat("a", 3*eventBuffer) + "\n\n", []int64{7}, io.EOF},
		"event beyond all size": {"data: " + strings.Repeat("a", maxEvent) + "\n\n", nil, errEventSize},
	} {
		t.Run(name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(v.input))
			var ids []int64
			var raw strings.Builder
			for {
				ev, err := r.next()
				if err != nil {
					if !errors.Is(err, v.end) {
						t.Errorf("ended with %v, want %v", err, v.end)
					}

					break
				}
				ids = append(ids, ev.id)
				raw.Write(ev.raw)
			}
			if diff := cmp.Diff(v.ids, ids); diff != "" {
				t.Error(diff)
			}
			if !strings.HasPrefix(v.input, raw.String()) {
				t.Errorf("passed on %.100q", raw.String())
			}
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newEventReader(strings.NewReader(string(data)))
		n := 0
		for {
			ev, err := r.next()
			if err != nil {
				return
			}
			if n += len(ev.raw); n > len(data) {
				t.Fatal("more bytes were read than there are")
			}
		}
	})
}

func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	bounds := Bounds{RetryShare: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}
	// spend takes retries until there are none, and returns how many there were.
	spend := func(b *budget, boxes int, now time.Time) int {
		n := 0
		for b.retry("s", boxes, now) {
			n++
		}

		return n
	}
	t.Run("a part of the extra for each box", func(t *testing.T) {
		if n := spend(newBudget(bounds), 10, now); n != 7 {
			t.Errorf("%d retries, want 7", n)
		}
	})
	t.Run("a share of the requests", func(t *testing.T) {
		b := newBudget(bounds)
		for range 100 {
			b.request("s", now)
		}
		if n := spend(b, 10, now); n != 21 {
			t.Errorf("%d retries, want 21", n)
		}
	})
	t.Run("any window holds no more than one budget", func(t *testing.T) {
		b := newBudget(bounds)
		spent := make([]int, 300)
		for i := range spent {
			spent[i] = spend(b, 1, now.Add(time.Duration(i)*100*time.Millisecond))
		}
		for i := range len(spent) - 100 {
			sum := 0
			for _, n := range spent[i : i+100] {
				sum += n
			}
			if sum > 100 {
				t.Fatalf("%d retries in the window from step %d", sum, i)
			}
		}
	})
	t.Run("services do not share", func(t *testing.T) {
		b := newBudget(bounds)
		spend(b, 1, now)
		if !b.retry("other", 1, now) {
			t.Error("the other service has no retry")
		}
	})
	t.Run("other bounds hold at once", func(t *testing.T) {
		b := newBudget(bounds)
		b.setBounds(Bounds{RetryWindow: bounds.RetryWindow})
		if b.retry("s", 1, now) {
			t.Error("a retry is allowed")
		}
	})
}

func TestPassedOn(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"X-End": {"2"}, "Accept": {"a", "b"},
	}
	want := http.Header{"X-End": {"2"}, "Accept": {"a", "b"}}
	if diff := cmp.Diff(want, passedOn(in)); diff != "" {
		t.Error(diff)
	}
}
