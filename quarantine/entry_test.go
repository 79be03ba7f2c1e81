package quarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestMerge checks that boxes that receive the same entries in another order, or twice, agree.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint32Range(1, 4)
		entry := rapid.Custom(func(t *rapid.T) Entry {
			var e Entry
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				n := number.Draw(t, "number")
				if rapid.Bool().Draw(t, "trial") {
					e = e.WithTrial(Trial{ID: n})
				} else {
					e = e.WithCrash(Crash{Source: n, Server: "s", TrialID: n}, e.CrashStreak, time.Duration(n)*quickCrashTime/2)
				}
			}

			return e
		})
		a, b := entry.Draw(t, "a"), entry.Draw(t, "b")
		ab := a.Merge(b)
		for _, same := range []Entry{b.Merge(a), ab.Merge(a).Merge(b)} {
			if diff := cmp.Diff(ab, same, cmpopts.EquateEmpty(), cmp.AllowUnexported(Crash{}, Trial{}, Entry{})); diff != "" {
				t.Fatal(diff)
			}
		}
		data, err := ab.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeEntry(data)
		if err != nil || got.CrashStreak != ab.CrashStreak || len(got.Crashes) != len(ab.Crashes) || len(got.Trials) != len(ab.Trials) {
			t.Fatalf("%+v was decoded as %+v, error %v", ab, got, err)
		}
	})
}

// FuzzApply checks that invalid data in the store does no harm.
func FuzzApply(f *testing.F) {
	good, err := Entry{CrashStreak: 2, Crashes: []Crash{{Source: 1, Server: "s1"}}, Trials: []Trial{{ID: 1, Servers: []uint32{7}}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(Fingerprint{}.key(), good)
	f.Add("x", []byte("null"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		l := New()
		if err := l.Apply(Change{Key: key, Value: value}, time.Unix(1, 0)); err != nil && !l.Empty() {
			t.Error("a refused change left an entry")
		}
		l.Suspects(time.Unix(2, 0))
		l.DueChanges(time.Unix(9, 0))
	})
}

// TestDecodeLegacyEntry checks that entries of earlier versions, which lack Delayed, can be
// decoded.
func TestDecodeLegacyEntry(t *testing.T) {
	// An entry with one crash, encoded without Delayed.
	old := []byte{0x84, 0x02, 0x81, 0x83, 0x07, 0x61, 's', 0x09, 0x80, 0xf5}
	got, err := DecodeEntry(old)
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{CrashStreak: 2, Crashes: []Crash{{Source: 7, Server: "s", TrialID: 9}}, Succeeded: true}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(Entry{}, Crash{}, Trial{})); diff != "" {
		t.Error(diff)
	}
}
