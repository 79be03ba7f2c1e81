// Package testmain runs the tests of a package deterministically.
package testmain

import (
	"flag"
	"runtime"
	"testing"
)

// randomSeed is the seed of property-based tests.
const randomSeed = "20261202"

// Run runs the tests with GOMAXPROCS set to 1 and with a fixed seed for property-based tests.
//
// GOMAXPROCS is 1 because the race detector of Go 1.26.8 occasionally crashes when two threads run
// timers of one synctest bubble that expire at the same moment.
//
// A seed given by -rapid.seed takes precedence, because the command line is parsed later, in m.Run.
func Run(m *testing.M) int {
	runtime.GOMAXPROCS(1)
	if flag.Lookup("rapid.seed") != nil {
		if err := flag.Set("rapid.seed", randomSeed); err != nil {
			panic(err)
		}
	}

	return m.Run()
}
