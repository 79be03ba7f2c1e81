// Package clock measures elapsed time, including time during which the machine was suspended.
//
// The kernel's monotonic clock, which package time uses, stops during a suspension, and so do all
// timers. After a suspension of eight seconds, everything that ages, such as the last confirmation
// of a lease, a leader's term or the last message of a peer, would seem eight seconds younger than
// it is. Ages and deadlines that have to count suspensions are therefore computed with this
// package. Times returned by this package may only be compared with each other; they must not be
// passed to package time, context or net as points in time.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// SuspensionFunc returns the total time that the machine has been suspended since the process
// started, given the current reading of the monotonic clock.
type SuspensionFunc func(now time.Time) time.Duration

var suspensionFunc atomic.Pointer[SuspensionFunc]

func init() {
	f := SuspensionFunc(newSuspensionDetector().suspendedTotal)
	suspensionFunc.Store(&f)
}

// SetSuspensionFunc replaces the source of the suspended time and returns the previous one. Tests
// use it to simulate suspensions.
func SetSuspensionFunc(f SuspensionFunc) SuspensionFunc { return *suspensionFunc.Swap(&f) }

// Now returns the current time. The difference of two such times includes suspensions.
func Now() time.Time {
	now := time.Now()

	return now.Add((*suspensionFunc.Load())(now))
}

// Since returns the time elapsed since t, including suspensions.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SuspendedTotal returns the total time that the machine has been suspended since the process
// started.
func SuspendedTotal() time.Duration { return (*suspensionFunc.Load())(time.Now()) }

// driftTolerance is how far the wall clock may drift from the monotonic clock before the kernel is
// queried for suspensions. Suspensions last seconds, while time servers slew the wall clock by at
// most half a millisecond a second, so slewing causes at most one query every two seconds.
const driftTolerance = time.Millisecond

// suspensionDetector computes the suspended time from the clocks of the kernel.
type suspensionDetector struct {
	start time.Time
	// initialOffset is the offset of the boot-time clock, which counts suspensions, from the
	// monotonic clock at the start.
	initialOffset time.Duration
	// drift is how far the wall clock had drifted ahead of the monotonic clock at the last
	// query of the kernel, and total the result of that query. Both are in nanoseconds.
	drift atomic.Int64
	total atomic.Int64
}

func newSuspensionDetector() *suspensionDetector {
	return &suspensionDetector{start: time.Now(), initialOffset: bootTimeOffset()}
}

// suspendedTotal returns the total time of all suspensions. Querying the kernel takes a system
// call, so it happens only after the wall clock has moved against the monotonic clock, as it does
// during a suspension. A query at each reading would make Now several times as expensive;
// BenchmarkNow and BenchmarkQueryEachTime compare the costs.
func (d *suspensionDetector) suspendedTotal(now time.Time) time.Duration {
	drift := int64(now.Round(0).Sub(d.start.Round(0)) - now.Sub(d.start))
	if moved := drift - d.drift.Load(); moved > int64(driftTolerance) || moved < -int64(driftTolerance) {
		d.total.Store(max(d.total.Load(), int64(d.queryKernel())))
		d.drift.Store(drift)
	}

	return time.Duration(d.total.Load())
}

// queryKernel returns the total time of all suspensions as reported by the kernel. The two clocks
// are read one after the other, so results below driftTolerance count as zero; no suspension is
// shorter than that.
func (d *suspensionDetector) queryKernel() time.Duration {
	total := bootTimeOffset() - d.initialOffset
	if total < driftTolerance {
		return 0
	}

	return total
}

// bootTimeOffset returns the offset of the boot-time clock, which counts suspensions, from the
// monotonic clock, which does not.
func bootTimeOffset() time.Duration {
	boot, monotonic := readClock(unix.CLOCK_BOOTTIME), readClock(unix.CLOCK_MONOTONIC)

	return boot - monotonic
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		// Cannot happen: Linux has supported both clocks since version 2.6.39.
		panic(err)
	}

	return time.Duration(t.Nano())
}
