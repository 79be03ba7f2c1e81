package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
	"github.com/slatebridge/slatebridge/internal/standin/logservice"
)

// Durations of injected faults in virtual time.
const (
	FaultDuration    = 12 * time.Second
	LogFaultDuration = 10 * time.Second
)

// Run runs f in a synctest bubble with a cluster whose services are published and whose engines are
// loaded.
func Run(t *testing.T, options Options, deduplication slatebridge.Deduplication, f func(t *testing.T, fl *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fl := Start(ctx, options)
		defer func() {
			cancel()
			fl.Stop()
		}()
		if err := fl.PublishServices(deduplication); err != nil {
			t.Fatal(err)
		}
		if !fl.WaitLoaded() {
			t.Fatal("the engines did not load their layers in time")
		}
		f(t, fl)
	})
}

// Cut cuts two hosts off from each other for FaultDuration.
func (f *Cluster) Cut(a, b string) {
	f.Net.Cut(a, b)
	time.AfterFunc(FaultDuration, func() { f.Net.Heal(a, b) })
}

// CutHall cuts the controllers and gateways of the hall off from the host for FaultDuration.
func (f *Cluster) CutHall(hall slatebridge.HallID, host string) {
	for _, b := range f.InitialMembers.Boxes {
		if b.Hall == hall {
			f.Cut(ControllerHost(b.ID), host)
			f.Cut(GatewayHost(b.ID), host)
		}
	}
}

// Freeze freezes the host for FaultDuration, as memnet.Network.Freeze does.
func (f *Cluster) Freeze(host string) {
	f.Net.Freeze(host)
	time.AfterFunc(FaultDuration, func() { f.Net.Thaw(host) })
}

// EngineFault injects faults into the engine for FaultDuration.
func (f *Cluster) EngineFault(id slatebridge.ServerID, faults engines.Faults) {
	f.Engines[id].SetFaults(faults)
	time.AfterFunc(FaultDuration, func() { f.Engines[id].SetFaults(engines.Faults{}) })
}

// LogFault injects faults into the log for LogFaultDuration.
func (f *Cluster) LogFault(faults logservice.Faults) {
	f.Log.SetFaults(faults)
	time.AfterFunc(LogFaultDuration, func() { f.Log.SetFaults(logservice.Faults{}) })
}

// PipelineOf returns servers of the box's hall that hold the first and the last stage.
func (f *Cluster) PipelineOf(box slatebridge.BoxID) (head, tail slatebridge.ServerID) {
	snap := f.Boxes[box].Gateway.Snapshot()
	for _, l := range snap.LoadedRanges {
		s, _ := snap.Server(l.Server)
		switch {
		case s.Hall != f.Boxes[box].Hall:
		case l.Layers.From == 0:
			head = l.Server
		default:
			tail = l.Server
		}
	}

	return head, tail
}

// WaitLoaded waits until every engine of every hall holds a layer range in the snapshots of all
// gateways. It returns false after 120 s of virtual time.
func (f *Cluster) WaitLoaded() bool {
	const limit = 120 * time.Second
	for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
		if f.allLoaded() {
			return true
		}
	}

	return false
}

func (f *Cluster) allLoaded() bool {
	for _, b := range f.Boxes {
		snap := b.Gateway.Snapshot()
		if len(snap.LoadedRanges) != f.options.Halls*f.options.Engines || len(snap.Services) == 0 {
			return false
		}
	}

	return true
}
