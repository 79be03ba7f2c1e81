// Package faultmatrix defines the fault matrix: each step of a protocol against each fault that may
// occur at it. The tables generate both the subtests and the page docs/MATRIX.md.
package faultmatrix

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Matrix is the part of the fault matrix that covers one protocol.
type Matrix struct {
	// Name is the name of the protocol.
	Name string
	// Test is the test that runs the cells.
	Test   string
	Steps  []Step
	Faults []Fault
	// Excluded holds the cells that are not tested, with the reason.
	Excluded map[Cell]string
	// PairCount is the number of random fault pairs in addition to the combinations in Faults.
	PairCount int
}

// Step is a point of the protocol at which a fault is injected.
type Step struct {
	Name        string
	Description string
}

// Fault is a fault, or a combination of faults whose names are joined by "+".
type Fault struct {
	Name        string
	Description string
}

// Cell is one combination of a step and a fault.
type Cell struct {
	Step  string
	Fault string
}

// String returns the subtest name of the cell.
func (c Cell) String() string {
	return c.Step + "/" + c.Fault
}

// pairSeed fixes the random fault pairs, so that each run has the same subtests.
const pairSeed = 20261202

// RandomPairs returns PairCount cells with two simultaneous faults, drawn with a fixed seed from
// the single faults and named in the order of Faults. A pair is skipped if Faults lists it with the
// two names in the same order.
func (m Matrix) RandomPairs() []Cell {
	var single []string
	for _, f := range m.Faults {
		if !strings.Contains(f.Name, "+") {
			single = append(single, f.Name)
		}
	}
	rnd := rand.New(rand.NewPCG(pairSeed, uint64(len(m.Name))))
	var list []Cell
	for len(list) < m.PairCount {
		indexes := rnd.Perm(len(single))[:2]
		c := Cell{
			Step:  m.Steps[rnd.IntN(len(m.Steps))].Name,
			Fault: single[min(indexes[0], indexes[1])] + "+" + single[max(indexes[0], indexes[1])],
		}
		if !slices.Contains(list, c) && !m.hasFault(c.Fault) {
			list = append(list, c)
		}
	}

	return list
}

// hasFault reports whether the fault or combination of faults is listed in Faults.
func (m Matrix) hasFault(fault string) bool {
	for _, f := range m.Faults {
		if f.Name == fault {
			return true
		}
	}

	return false
}

// Cells returns the cells that the test runs: the random pairs, and each fault at each step that is
// not excluded.
func (m Matrix) Cells() []Cell {
	list := m.RandomPairs()
	for _, s := range m.Steps {
		for _, f := range m.Faults {
			c := Cell{Step: s.Name, Fault: f.Name}
			if _, excluded := m.Excluded[c]; !excluded {
				list = append(list, c)
			}
		}
	}

	return list
}

// Matrices returns all parts of the fault matrix.
func Matrices() []Matrix {
	return []Matrix{ClaimMatrix(), StreamMatrix(), ConfigMatrix(), LeaseMatrix()}
}

// Names of faults that several matrices use.
const (
	Kill       = "kill"
	Pause      = "pause"
	LogDown    = "log-down"
	LogSlow    = "log-slow"
	AnswerLost = "answer-lost"
	PeerCut    = "peer-cut"
)

const bothAtOnce = "both at once"
