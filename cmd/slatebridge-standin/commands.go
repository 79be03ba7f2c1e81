package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/internal/standin/callers"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
	"github.com/slatebridge/slatebridge/internal/standin/logservice"
	"github.com/slatebridge/slatebridge/internal/standin/memberlist"
	"github.com/slatebridge/slatebridge/internal/standin/plainservice"
	"github.com/slatebridge/slatebridge/logstore"
)

type logCommand struct {
	Listen string `long:"listen" required:"yes" description:"the address to listen on"`
}

// Execute runs the stand-in for the platform's log service.
func (c *logCommand) Execute([]string) error {
	return serve(daemon.ListenerConfig{Name: "log", Addr: c.Listen, Handler: logservice.New().Handler()})
}

type membersCommand struct {
	Listen         string        `long:"listen" required:"yes" description:"the address to listen on"`
	MembersFile    string        `long:"file" required:"yes" description:"a JSON file with the boxes and servers"`
	ReplicationLag time.Duration `long:"lag" description:"by how much the list lags" default:"2s"`
}

// Execute runs the stand-in for the platform's membership list of boxes and servers.
func (c *membersCommand) Execute([]string) error {
	membership, err := readJSON[logstore.Membership](c.MembersFile)
	if err != nil {
		return err
	}

	return serve(daemon.ListenerConfig{Name: "members", Addr: c.Listen, Handler: memberlist.New(membership, c.ReplicationLag).Handler()})
}

type engineCommand struct {
	Listen               string        `long:"listen" required:"yes" description:"the address to listen on"`
	ID                   string        `long:"id" required:"yes" description:"the server's ID"`
	LayersPerMillisecond float64       `long:"speed" description:"layers a millisecond for one token" default:"4"`
	ChecksFencingTokens  bool          `long:"checks-tokens" description:"refuse placement orders with an old fencing token"`
	LoadTime             time.Duration `long:"load-time" description:"how long the engine takes to load the layers of an order" default:"300ms"`
}

// Execute runs a stand-in engine.
func (c *engineCommand) Execute([]string) error {
	engine := engines.New(slatebridge.BackendServer{
		ID:                   slatebridge.ServerID(c.ID),
		LayersPerMillisecond: c.LayersPerMillisecond,
		ChecksFencingTokens:  c.ChecksFencingTokens,
	}, daemon.NewHTTPClient(), engines.WithLoadTime(c.LoadTime))

	return serve(daemon.ListenerConfig{Name: "engine", Addr: c.Listen, Handler: engine.Handler()})
}

type plainCommand struct {
	Listen      []string `long:"listen" required:"yes" description:"the address of one server; may be given again"`
	Deduplicate bool     `long:"checks" description:"answer a repeated Idempotency-Key with the first answer and do not run the call again"`
}

// Execute runs the servers of one plain service, which share a record of executed calls.
func (c *plainCommand) Execute([]string) error {
	executions := plainservice.NewExecutions(c.Deduplicate)
	var listeners []daemon.ListenerConfig
	for _, addr := range c.Listen {
		listeners = append(listeners, daemon.ListenerConfig{Name: "plain", Addr: addr, Handler: plainservice.New(executions).Handler()})
	}

	return serve(listeners...)
}

type loadCommand struct {
	PlanFile string        `long:"plan" required:"yes" description:"a JSON file with the plan"`
	Timeout  time.Duration `long:"timeout" description:"how long the load may take in all" default:"50s"`
	Label    string        `long:"label" description:"what the last line begins with" default:"load"`
}

// Execute sends the load. It fails if a request failed, or if a call was executed more than once or
// although it was reported as not executed.
func (c *loadCommand) Execute([]string) error {
	plan, err := readJSON[callers.Plan](c.PlanFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	summary, err := callers.Run(ctx, plan, daemon.NewHTTPClient())
	if err != nil {
		return err
	}
	fmt.Printf("calls reported to their caller as possibly executed: %d\n", summary.UnknownOutcome)
	fmt.Printf("%s: %s\n", c.Label, summary)
	if summary.Failed+summary.DuplicateExecutions > 0 {
		return errors.New("requests failed, or calls were executed more than once or although reported as not executed")
	}

	return nil
}

func readJSON[T any](file string) (T, error) {
	var v T
	data, err := os.ReadFile(file)
	if err != nil {
		return v, errors.Wrap(err, "standin")
	}

	return v, errors.Wrap(json.Unmarshal(data, &v), file)
}
