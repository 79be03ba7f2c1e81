// Command harness plays the cases of the review that cannot be put as a day: it starts slatebridge-box as a
// process against small stand-ins of the platform, of servers and of clients, and checks a rule by what
// these see.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds one case.
const maxTime = 100 * time.Second

// play is what a case works with.
type play struct {
	// trouble is false if the case is to run without the disruption.
	trouble bool
	program string
	dir     string
	rec     *recorder
	store   *store
}

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(ctx context.Context, p *play) (bool, error){
	// A key is taken away during a cut after a storm of large configurations, and is accepted again once the
	// first part of what was missed has been read.
	"partial-read": revocationCase{
		boxes: 2, path: "/closed/1", idleRoutes: siteRoutes + 350, storm: 11, cutTime: 6 * time.Second, probeTime: 9 * time.Second, pause: 10 * time.Millisecond,
	}.play,
	// A route that needs no key acts for the tenant of a key that was taken away during a cut.
	"stale-tenant": revocationCase{
		boxes: 2, path: "/open/1", idleRoutes: siteRoutes, cutTime: 6 * time.Second, probeTime: 9 * time.Second, pause: 50 * time.Millisecond,
	}.play,
	"killed-server": killedServer,
	"older-copy":    olderCopy,
	// A late second answer is taken for that to a call, which runs twice, or runs although it is refused.
	"late-answer":     callCase{servers: 3, clients: 30}.play,
	"late-answer-one": callCase{servers: 1, clients: 12}.play,
}

func main() {
	const arguments = 4
	if len(os.Args) == arguments-1 && os.Args[1] == serverCommand {
		os.Exit(runServer(os.Args[2]))
	}
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, program, record string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "harness: no such case: "+name)

		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecorder(record)
	if err != nil {
		return notRun(err)
	}
	defer rec.close()
	program, err = filepath.Abs(program)
	if err != nil {
		return notRun(err)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir, rec: rec, store: newStore()}
	rec.add("case %s, trouble %t", name, p.trouble)
	broken, err := f(ctx, p)
	if err != nil {
		rec.add("the case could not run: %v", err)

		return notRun(err)
	}
	if broken {
		fmt.Println(name + ": the rule was broken")

		return exitBroken
	}
	fmt.Println(name + ": the rule held")

	return exitHeld
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "harness:", err)

	return exitNotRun
}

// serveStore serves the store and returns its address.
func (p *play) serveStore(ctx context.Context) (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: p.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })

	return ln.Addr().String(), nil
}
