package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge"
)

// inFleet runs f with a fleet that has declared its services and loaded them.
func inFleet(t *testing.T, size Size, f func(t *testing.T, fl *Fleet)) {
	t.Helper()
	inFleetOf(t, size, slatebridge.CheckedByRouter, f)
}

// inFleetOf is inFleet with another way to treat duplicates.
func inFleetOf(t *testing.T, size Size, duplicates slatebridge.DuplicateCheck, f func(t *testing.T, fl *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fl := Start(ctx, size)
		defer func() {
			cancel()
			fl.Stop()
		}()
		if err := fl.Declare(duplicates); err != nil {
			t.Fatal(err)
		}
		if !fl.WaitLoaded() {
			t.Fatal("the engines were not loaded")
		}
		f(t, fl)
	})
}

func small() Size {
	return Size{Halls: 2, Boxes: 2, Engines: 4}
}

func TestWholePath(t *testing.T) {
	inFleet(t, small(), func(t *testing.T, f *Fleet) {
		t.Helper()
		t.Logf("loaded after %s", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))
		a := f.Chat(t.Context(), "b11", "what does item 7 cost", 10)
		if !a.Whole || a.Text != ChatText("what does item 7 cost", 10) {
			t.Errorf("got %+v", a)
		}
	})
}
