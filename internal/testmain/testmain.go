// Package testmain runs the tests of a package so that each run has the same
// verdict.
package testmain

import (
	"flag"
	"runtime"
	"testing"
)

// randomSeed is the seed of random inputs.
const randomSeed = "20261202"

// Run runs the tests with a fixed seed of random inputs, and with one
// processor. Other seeds are tried by hand with -rapid.seed.
//
// One processor, because Go 1.26.8's race detector crashes now and then when
// timers of one bubble of virtual time that are due at the same moment are run
// by two threads.
func Run(m *testing.M) int {
	runtime.GOMAXPROCS(1)
	if flag.Lookup("rapid.seed") != nil {
		if err := flag.Set("rapid.seed", randomSeed); err != nil {
			panic(err)
		}
	}

	return m.Run()
}
