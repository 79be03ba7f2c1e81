package fleet

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/internal/proof"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
	"github.com/slatebridge/slatebridge/internal/standin/logservice"
)

const (
	tokens     = 10
	faultTime  = 12 * time.Second
	outageTime = 10 * time.Second
)

// stepToken is the index of the token before which a step's fault strikes.
var stepToken = map[string]int{proof.StepPrefill: 0, proof.StepToken: 4, proof.StepFinal: tokens}

// strike arranges that the cell's fault strikes the first pipeline through
// which an answer of the box's hall reaches the step.
func strike(f *Fleet, box slatebridge.BoxID, cell proof.Cell) {
	var once sync.Once
	fire := func(head, tail slatebridge.ServerID) {
		once.Do(func() {
			for fault := range strings.SplitSeq(cell.Fault, "+") {
				inject(f, box, fault, head, tail, stepToken[cell.Step])
			}
		})
	}
	if cell.Step == proof.StepOpen {
		fire(pipelineOf(f, box))

		return
	}
	for _, e := range f.Engines {
		e.SetHook(func(req engine.StreamRequest, index int) {
			if index == stepToken[cell.Step] {
				fire(req.Pipeline[0].Server, req.Pipeline[len(req.Pipeline)-1].Server)
			}
		})
	}
}

// pipelineOf returns a first and a last stage of the box's own hall.
func pipelineOf(f *Fleet, box slatebridge.BoxID) (head, tail slatebridge.ServerID) {
	snap := f.Boxes[box].Gateway.Snapshot()
	for _, l := range snap.Loaded {
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

func inject(f *Fleet, box slatebridge.BoxID, fault string, head, tail slatebridge.ServerID, token int) {
	withFaults := func(id slatebridge.ServerID, ef engines.Faults) {
		f.Engines[id].SetFaults(ef)
		time.AfterFunc(faultTime, func() { f.Engines[id].SetFaults(engines.Faults{}) })
	}
	cut := func(a, b string) {
		f.Net.Cut(a, b)
		time.AfterFunc(faultTime, func() { f.Net.Heal(a, b) })
	}
	freeze := func(host string) {
		f.Net.Freeze(host)
		time.AfterFunc(faultTime, func() { f.Net.Thaw(host) })
	}
	switch fault {
	case proof.KillHead:
		f.Net.Kill(string(head))
	case proof.KillTail:
		f.Net.Kill(string(tail))
	case proof.FreezeHead:
		freeze(string(head))
	case proof.FreezeTail:
		freeze(string(tail))
	case proof.CutStages:
		cut(string(head), string(tail))
	case proof.CutGateway:
		cut(GatewayHost(box), string(head))
	case proof.SlowTail:
		withFaults(tail, engines.Faults{Slow: 100 * time.Millisecond})
	case proof.DoubleFrames:
		withFaults(head, engines.Faults{DoubleFrames: true})
	case proof.LostFrame:
		withFaults(head, engines.Faults{SkipFrame: token + 1})
	case proof.OldFrames:
		withFaults(head, engines.Faults{OldAttempt: true})
	case proof.SkippedLayer:
		withFaults(head, engines.Faults{SkipLayer: true})
	case proof.CutFinal:
		withFaults(head, engines.Faults{DropFinal: true})
	case proof.LeaveHead:
		f.Engines[head].Leave()
	case proof.KillController:
		f.KillController(box)
	case proof.LogDown:
		f.Log.SetFaults(logservice.Faults{Down: true})
		time.AfterFunc(outageTime, func() { f.Log.SetFaults(logservice.Faults{}) })
	default:
		panic("unknown fault " + fault)
	}
}

// TestStreamMatrix lets every fault strike at every step of a streamed answer.
// Every caller must get the whole answer to its own request.
func TestStreamMatrix(t *testing.T) {
	for _, cell := range proof.Stream().Cells() {
		t.Run(cell.String(), func(t *testing.T) {
			t.Parallel()
			inFleet(t, small(), func(t *testing.T, f *Fleet) {
				t.Helper()
				strike(f, "b11", cell)
				chatAtOnce(t, f)
				time.Sleep(faultTime + 3*time.Second)
				if a := f.Chat(t.Context(), "b11", "after the fault", tokens); !a.Whole {
					t.Errorf("after the fault: %+v", a)
				}
			})
		})
	}
}

// chatAtOnce runs several answers at once and checks each against its request.
func chatAtOnce(t *testing.T, f *Fleet) {
	t.Helper()
	const callers = 4
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			content := fmt.Sprintf("request %d", i)
			a := f.Chat(t.Context(), "b11", content, tokens)
			if !a.Whole || a.Text != ChatText(content, tokens) {
				t.Errorf("%s: status %d whole %t err %v\n%s", content, a.Status, a.Whole, a.Err, a.Body)
			}
		})
	}
	wg.Wait()
}
