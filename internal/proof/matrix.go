// Package proof holds the fault matrix: every step of the system against
// every fault. One table drives the generated subtests and docs/PROOF.md.
package proof

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Matrix is one duty's part of the fault matrix.
type Matrix struct {
	// Name is the duty, and Test the test that runs the cells.
	Name   string
	Test   string
	Steps  []Step
	Faults []Fault
	// Left names the cells that are not proved, with the reason.
	Left map[Cell]string
	// Pairs is how many pairs of faults are drawn beside those in Faults.
	Pairs int
}

// Step is a step at which a fault may strike.
type Step struct {
	Name string
	Text string
}

// Fault is a fault that may strike at a step.
type Fault struct {
	Name string
	Text string
}

// Cell is one fault at one step.
type Cell struct {
	Step  string
	Fault string
}

// String returns the cell's name as a subtest.
func (c Cell) String() string {
	return c.Step + "/" + c.Fault
}

// pairSeed is the seed of the drawn pairs.
const pairSeed = 20261202

// DrawnPairs returns cells with two faults at once, drawn by a fixed seed from
// the faults that stand alone.
func (m Matrix) DrawnPairs() []Cell {
	var single []string
	for _, f := range m.Faults {
		if !strings.Contains(f.Name, "+") {
			single = append(single, f.Name)
		}
	}
	rnd := rand.New(rand.NewPCG(pairSeed, uint64(len(m.Name))))
	var list []Cell
	for len(list) < m.Pairs {
		two := rnd.Perm(len(single))[:2]
		c := Cell{
			Step:  m.Steps[rnd.IntN(len(m.Steps))].Name,
			Fault: single[min(two[0], two[1])] + "+" + single[max(two[0], two[1])],
		}
		if !slices.Contains(list, c) && !m.lists(c.Fault) {
			list = append(list, c)
		}
	}

	return list
}

// lists reports whether the fault is one of the matrix's columns.
func (m Matrix) lists(fault string) bool {
	for _, f := range m.Faults {
		if f.Name == fault {
			return true
		}
	}

	return false
}

// Cells returns the cells that the matrix's test runs.
func (m Matrix) Cells() []Cell {
	list := m.DrawnPairs()
	for _, s := range m.Steps {
		for _, f := range m.Faults {
			c := Cell{Step: s.Name, Fault: f.Name}
			if _, left := m.Left[c]; !left {
				list = append(list, c)
			}
		}
	}

	return list
}

// Matrices returns all parts of the fault matrix.
func Matrices() []Matrix {
	return []Matrix{Claim(), Stream(), Config(), Lease()}
}

// Names of faults that more than one matrix has.
const (
	Kill       = "kill"
	Pause      = "pause"
	LogDown    = "log-down"
	LogSlow    = "log-slow"
	AnswerLost = "answer-lost"
	PeerCut    = "peer-cut"
)

const bothAtOnce = "both at once"

// Names of the steps of a claimed call.
const (
	StepAppend   = "append"
	StepAppended = "appended"
	StepFold     = "fold"
	StepSend     = "send"
	StepRan      = "ran"
	StepAsk      = "ask"
)

// Claim returns the matrix of calls that may not be repeated. The caller asks
// box A, where the fault strikes, and retries at box B and then at box C.
func Claim() Matrix {
	return Matrix{
		Name: "claim",
		Test: "claim.TestFaultMatrix",
		Steps: []Step{
			{StepAppend, "box A is about to append its claim"},
			{StepAppended, "box A's claim is in the log, its answer is not back"},
			{StepFold, "box A has read its claim, and has not folded it"},
			{StepSend, "box A's claim has won, the call has not reached the server"},
			{StepRan, "the server has run the call, its answer is not back"},
			{StepAsk, "box B asks box A for the fate of its claim"},
		},
		Faults: []Fault{
			{Kill, "the box stops for good"},
			{Pause, "the box is paused for 30 s and goes on"},
			{LogDown, "the log is out for 10 s"},
			{LogSlow, "the log takes 3 s longer for 10 s"},
			{AnswerLost, "the log's answers to appends are lost for 10 s"},
			{PeerCut, "boxes cannot reach each other for 10 s"},
			{Kill + "+" + LogDown, bothAtOnce},
			{Pause + "+" + LogDown, bothAtOnce},
			{Pause + "+" + PeerCut, bothAtOnce},
			{AnswerLost + "+" + PeerCut, bothAtOnce},
		},
		Left:  map[Cell]string{},
		Pairs: 20,
	}
}
