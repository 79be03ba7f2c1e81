package observe

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		m := NewMaximum(span)
		want := func(v int64) {
			t.Helper()
			if got := m.Value(); got != v {
				t.Errorf("maximum %d, want %d", got, v)
			}
		}
		want(0)
		m.Record(5)
		m.Record(3)
		want(5)
		time.Sleep(span)
		m.Record(2)
		want(5)
		time.Sleep(span)
		want(2)
		time.Sleep(2 * span)
		want(0)
	})
}
