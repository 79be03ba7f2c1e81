// Command harness2 plays the cases of the second independent review that are no days: it starts
// slatebridge-box processes on loopback addresses against stand-ins of the platform, plays one case, and
// writes what was sent, answered and run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"drained-servers": playDrainedServers,
	"empty-hall":      playEmptyHall,
	"ended-streams":   playEndedStreams,
}

func main() { os.Exit(run()) }

func run() int {
	const argCount = 4
	if len(os.Args) != argCount {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE PATH-OF-SLATEBRIDGE-BOX RECORD-FILE")

		return exitFailed
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "harness2: unknown case", os.Args[1])

		return exitFailed
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness2:", err)

		return exitFailed
	}
	defer w.close()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)

		return exitFailed
	case broken:
		w.note("the rule was broken")

		return exitBroken
	default:
		w.note("the rule held")

		return exitHeld
	}
}
