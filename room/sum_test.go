package room

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// sumStep is the time of one step of a simulation, and reportSteps the steps between reports.
	sumStep     = 10 * time.Millisecond
	reportSteps = 25
	// maxLostReports is the number of consecutive reports that a process may lose before it counts
	// as stopped, and handoverLostReports that for which the pause of a new holder suffices.
	maxLostReports      = 6
	handoverLostReports = 1
	// handoverSteps is the pause of a new holder.
	handoverSteps = 60
	// sumCapacity is the memory of the only server.
	sumCapacity = 100.0
)

// runningClaim is a request that a process has sent.
type runningClaim struct {
	need float64
	end  int
	// holder is the holder that granted it, or -1 if the process sent it without an answer.
	holder int
	// grantedAt is the step at which it was sent.
	grantedAt int
}

// sumProcess is a box that sends requests.
type sumProcess struct {
	name    string
	lastID  uint64
	running []runningClaim
}

func (p *sumProcess) work() float64 {
	sum := 0.0
	for _, q := range p.running {
		sum += q.need
	}

	return sum
}

// sumHolder is a box that holds the ledger, with the last reports that it received.
type sumHolder struct {
	ledger     *Ledger
	work       map[string]float64
	reportedAt map[string]int64
	lost       map[string]int
	// decidesFrom is the step from which it decides.
	decidesFrom int
}

func newSumHolder(decidesFrom int) *sumHolder {
	return &sumHolder{ledger: NewLedger(), work: make(map[string]float64), reportedAt: make(map[string]int64), lost: make(map[string]int), decidesFrom: decidesFrom}
}

func (h *sumHolder) view() View {
	return View{LiveShare: 1, Server: func(uint32) (Server, bool) {
		sum := 0.0
		for _, w := range h.work {
			sum += w
		}

		return Server{Capacity: Use{Memory: sumCapacity}, InFlight: Use{Memory: sum}}, true
	}}
}

// sumSimulation is a number of processes and the holders that there have been, of which the last
// one is current.
type sumSimulation struct {
	step      int
	processes []*sumProcess
	holders   []*sumHolder
	// faults says whether a fault with the given name happens now.
	faults func(name string) bool
	born   int
	// maxLost is the number of consecutive reports that a process may lose.
	maxLost int
	// changedAt are the steps at which the holders after the first one became holders.
	changedAt []int
}

func (s *sumSimulation) now() time.Time { return start.Add(time.Duration(s.step) * sumStep) }

func (s *sumSimulation) addProcess() {
	s.born++
	s.processes = append(s.processes, &sumProcess{name: fmt.Sprint(s.born)})
}

// request lets a process claim room and send its request, unless it is refused.
func (s *sumSimulation) request(p *sumProcess, need float64, steps int) {
	p.lastID++
	h, number := s.holders[len(s.holders)-1], len(s.holders)-1
	if number > 0 && s.step < h.decidesFrom && s.faults("asks the holder before") {
		h, number = s.holders[number-1], number-1
	}
	granted, refused := false, false
	if s.step >= h.decidesFrom && !s.faults("claim lost") {
		c := claim(p.name, p.lastID, need)
		c.SentAt = int64(s.step)
		d := h.ledger.Decide(c, h.view(), s.now())
		if s.faults("claim doubled") {
			h.ledger.Decide(c, h.view(), s.now())
		}
		if !s.faults("answer lost") {
			granted, refused = d.Granted, len(d.Full) > 0
		}
	}
	switch {
	case granted:
		p.running = append(p.running, runningClaim{need, s.step + steps, number, s.step})
	case !refused:
		p.running = append(p.running, runningClaim{need, s.step + steps, -1, s.step})
	}
}

// report gives each holder the reports of the processes, unless they are lost.
func (s *sumSimulation) report() {
	for _, h := range s.holders {
		for _, p := range s.processes {
			if h.lost[p.name] < s.maxLost && s.faults("report lost") {
				h.lost[p.name]++

				continue
			}
			h.lost[p.name] = 0
			h.work[p.name], h.reportedAt[p.name] = p.work(), int64(s.step)
		}
		h.ledger.SetReported(h.reportedAt, s.now())
	}
}

// advance ends requests, and restarts a process or changes the holder if such a fault happens.
func (s *sumSimulation) advance() {
	s.step++
	for _, p := range s.processes {
		kept := p.running[:0]
		for _, q := range p.running {
			if q.end > s.step {
				kept = append(kept, q)
			}
		}
		p.running = kept
	}
	if s.step%reportSteps != 0 {
		return
	}
	if s.faults("box started again") {
		for _, h := range s.holders {
			delete(h.work, s.processes[0].name)
			delete(h.reportedAt, s.processes[0].name)
		}
		s.processes = s.processes[1:]
		s.addProcess()
	}
	if s.faults("holder changed") {
		s.holders = append(s.holders, newSumHolder(s.step+handoverSteps))
		s.changedAt = append(s.changedAt, s.step)
	}
	s.report()
}

// granted returns the sum of what the holder granted and is still running, and all is the sum of
// all running requests.
func (s *sumSimulation) granted(holder int) (granted, all float64) {
	for _, p := range s.processes {
		all += p.work()
		for _, q := range p.running {
			if q.holder == holder {
				granted += q.need
			}
		}
	}

	return granted, all
}

func newSumSimulation(processes, maxLost int, faults func(string) bool) *sumSimulation {
	s := &sumSimulation{faults: faults, maxLost: maxLost, holders: []*sumHolder{newSumHolder(0)}}
	for range processes {
		s.addProcess()
	}

	return s
}

// TestSumOfClaims checks that what one holder grants never exceeds the capacity, whatever messages
// are lost or doubled, and that the running requests of all boxes exceed it only by those without
// an answer or granted by a holder before.
func TestSumOfClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSumSimulation(rapid.IntRange(1, 6).Draw(t, "processes"), maxLostReports, func(name string) bool {
			return rapid.IntRange(0, 9).Draw(t, name) == 0
		})
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.advance()
			p := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
			s.request(p, float64(rapid.IntRange(1, 20).Draw(t, "need")), rapid.IntRange(1, 300).Draw(t, "length"))
			for i := range s.holders {
				if granted, _ := s.granted(i); granted > sumCapacity {
					t.Fatalf("step %d: holder %d granted %.0f of %.0f", s.step, i, granted, sumCapacity)
				}
			}
		}
	})
}

// grantedInTurn returns the sum of what all holders granted while they were the current one and is
// still running.
func (s *sumSimulation) grantedInTurn() float64 {
	sum := 0.0
	for _, p := range s.processes {
		for _, q := range p.running {
			if q.holder >= 0 && (q.holder == len(s.changedAt) || q.grantedAt < s.changedAt[q.holder]) {
				sum += q.need
			}
		}
	}

	return sum
}

// TestSumAcrossHolders checks that all holders together grant no more than the capacity, except for
// what a holder grants after another one has taken over, as long as no more than one report in a row
// is lost.
func TestSumAcrossHolders(t *testing.T) {
	const runs, steps = 300, 300
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := newSumSimulation(1+r.IntN(6), handoverLostReports, func(string) bool { return r.IntN(3) == 0 })
		for range steps {
			s.advance()
			s.request(s.processes[r.IntN(len(s.processes))], float64(1+r.IntN(20)), 1+r.IntN(300))
			if granted := s.grantedInTurn(); granted > sumCapacity {
				t.Fatalf("seed %d, step %d: %d holders granted %.0f of %.0f", seed, s.step, len(s.holders), granted, sumCapacity)
			}
		}
	}
}

// TestSumWithoutFaults checks that requests fill the server and never exceed its capacity.
func TestSumWithoutFaults(t *testing.T) {
	s := newSumSimulation(20, maxLostReports, func(string) bool { return false })
	highest := 0.0
	for i := range 2000 {
		s.advance()
		s.request(s.processes[i*7%len(s.processes)], float64(1+i%7), 100)
		_, all := s.granted(0)
		highest = max(highest, all)
	}
	if highest > sumCapacity || highest < 0.95*sumCapacity {
		t.Errorf("at most %.0f of %.0f in use", highest, sumCapacity)
	}
}
