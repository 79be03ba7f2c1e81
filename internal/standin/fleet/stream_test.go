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
	// answerTime is how long an answer may take in virtual time, less than
	// any fault lasts.
	answerTime = 8 * time.Second
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
				injections[fault](f, struck{box: box, head: head, tail: tail, token: stepToken[cell.Step]})
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

// injections has what each fault does.
var injections = map[string]func(f *Fleet, x struck){
	proof.KillHead:   func(f *Fleet, x struck) { f.Net.Kill(string(x.head)) },
	proof.KillTail:   func(f *Fleet, x struck) { f.Net.Kill(string(x.tail)) },
	proof.FreezeHead: func(f *Fleet, x struck) { freeze(f, string(x.head)) },
	proof.FreezeTail: func(f *Fleet, x struck) { freeze(f, string(x.tail)) },
	proof.CutStages:  func(f *Fleet, x struck) { cut(f, string(x.head), string(x.tail)) },
	proof.CutGateway: func(f *Fleet, x struck) { cut(f, GatewayHost(x.box), string(x.head)) },
	proof.SlowTail: func(f *Fleet, x struck) {
		setFaults(f, x.tail, engines.Faults{Slow: 100 * time.Millisecond})
	},
	proof.DoubleFrames: func(f *Fleet, x struck) { setFaults(f, x.head, engines.Faults{DoubleFrames: true}) },
	proof.LostFrame:    func(f *Fleet, x struck) { setFaults(f, x.head, engines.Faults{SkipFrame: x.token + 1}) },
	proof.OldFrames:    func(f *Fleet, x struck) { setFaults(f, x.head, engines.Faults{OldAttempt: true}) },
	proof.SkippedLayer: func(f *Fleet, x struck) { setFaults(f, x.head, engines.Faults{SkipLayer: true}) },
	proof.CutFinal:     func(f *Fleet, x struck) { setFaults(f, x.head, engines.Faults{DropFinal: true}) },
	proof.LeaveHead:    func(f *Fleet, x struck) { f.Engines[x.head].Leave() },
	proof.KillController: func(f *Fleet, x struck) {
		f.KillController(x.box)
	},
	proof.LogDown: func(f *Fleet, _ struck) {
		f.Log.SetFaults(logservice.Faults{Down: true})
		time.AfterFunc(outageTime, func() { f.Log.SetFaults(logservice.Faults{}) })
	},
}

// struck is where a fault strikes.
type struck struct {
	box   slatebridge.BoxID
	head  slatebridge.ServerID
	tail  slatebridge.ServerID
	token int
}

func setFaults(f *Fleet, id slatebridge.ServerID, faults engines.Faults) {
	f.Engines[id].SetFaults(faults)
	time.AfterFunc(faultTime, func() { f.Engines[id].SetFaults(engines.Faults{}) })
}

func cut(f *Fleet, a, b string) {
	f.Net.Cut(a, b)
	time.AfterFunc(faultTime, func() { f.Net.Heal(a, b) })
}

func freeze(f *Fleet, host string) {
	f.Net.Freeze(host)
	time.AfterFunc(faultTime, func() { f.Net.Thaw(host) })
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
			start := time.Now()
			a := f.Chat(t.Context(), "b11", content, tokens)
			if took := time.Since(start); took > answerTime {
				t.Errorf("%s: took %s of virtual time", content, took)
			}
			if !a.Whole || a.Text != ChatText(content, tokens) {
				t.Errorf("%s: status %d whole %t err %v\n%s", content, a.Status, a.Whole, a.Err, a.Body)
			}
		})
	}
	wg.Wait()
}
