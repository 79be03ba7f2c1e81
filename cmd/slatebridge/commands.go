package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/slatebridge/slatebridge/box"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/operator"
	"github.com/slatebridge/slatebridge/settings"
)

// addCommands registers the commands with the parser.
func addCommands(parser *flags.Parser, opts *options) {
	commands := []struct {
		name    string
		short   string
		command any
	}{
		{"publish", "publish declarations", &publishCommand{baseCommand: baseCommand{opts: opts}}},
		{"delete", "delete an object", &deleteCommand{baseCommand: baseCommand{opts: opts}}},
		{"stop", "announce the stop of a box or a backend server", &stopCommand{baseCommand: baseCommand{opts: opts}}},
		{"status", "show the status and the configuration in force", &statusCommand{baseCommand: baseCommand{opts: opts}}},
		{"box", "show the status of boxes, and which program each runs; needs neither the store nor other boxes", &boxCommand{}},
		{"lift", "lift the quarantine of a request", &liftCommand{}},
		{"explain", "explain what happened to a request, from the logs of many boxes", &explainCommand{}},
		{"timeline", "summarize what the boxes logged in each second, from their logs", &timelineCommand{}},
		{"versions", "show which configuration each box had, when and by whose word, from their logs", &versionsCommand{}},
		{"lab", "simulate boxes, servers and callers under load, in virtual time", &labCommand{}},
		{"key", "print a new Idempotency-Key", &keyCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			panic(err)
		}
	}
}

// baseCommand holds the options of the commands that use the controllers.
type baseCommand struct {
	opts    *options
	Timeout time.Duration `long:"wait" description:"how long the command may take, including the wait until a change is in force on every live box" default:"10s"`
}

func (b *baseCommand) operatorClient() (*operator.Client, error) {
	cfg, err := settings.LoadOperator(b.opts.Settings)
	if err != nil {
		return nil, err
	}
	httpClient := daemon.NewHTTPClient()

	return operator.New(cfg.Name, logstore.NewLog(cfg.Platform.LogURL, httpClient), httpClient, cfg.Controllers...), nil
}

// publish publishes the changes, prints the result of each, and waits until they are in force on
// every live box.
func (b *baseCommand) publish(changes []operator.Change) error {
	client, err := b.operatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.Timeout)
	defer cancel()
	results, err := client.Publish(ctx, changes)
	refused := 0
	lastOffset := int64(-1)
	for _, r := range results {
		fmt.Println(formatResult(r))
		if r.Unchanged {
			continue
		}
		lastOffset = max(lastOffset, r.Outcome.Offset)
		if !r.Outcome.Accepted {
			refused++
		}
	}
	if err != nil {
		return err
	}
	if refused > 0 {
		return errors.Newf("%d of %d changes were refused", refused, len(results))
	}
	applied, missing := client.WaitApplied(ctx, lastOffset)
	if len(missing) > 0 {
		return errors.Newf("in force on %d boxes; these live boxes have not reported it yet: %v", applied, missing)
	}
	fmt.Printf("in force on all %d boxes\n", applied)

	return nil
}

func formatResult(r operator.PublishResult) string {
	switch {
	case r.Unchanged:
		return fmt.Sprintf("unchanged %s", r.Change.ObjectID)
	case r.Outcome.Accepted:
		return fmt.Sprintf("accepted  %s at offset %d", r.Change.ObjectID, r.Outcome.Offset)
	default:
		return fmt.Sprintf("refused   %s: %s", r.Change.ObjectID, r.Outcome.Reason)
	}
}

type publishCommand struct {
	baseCommand
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"TOML files of declarations"`
	} `positional-args:"yes"`
}

// Execute publishes the declarations in all files.
func (c *publishCommand) Execute([]string) error {
	var changes []operator.Change
	for _, file := range c.Args.Files {
		d, err := settings.LoadDeclarations(file)
		if err != nil {
			return err
		}
		list, err := operator.DeclaredChanges(d)
		if err != nil {
			return errors.Wrap(err, file)
		}
		changes = append(changes, list...)
	}

	return c.publish(changes)
}

type deleteCommand struct {
	baseCommand
	Args struct {
		Object string `positional-arg-name:"KIND/NAME" required:"yes" description:"the object to delete"`
	} `positional-args:"yes"`
}

// Execute deletes the object.
func (c *deleteCommand) Execute([]string) error {
	id, err := config.ParseObjectID(c.Args.Object)
	if err != nil {
		return err
	}

	return c.publish([]operator.Change{operator.DeleteChange(id)})
}

type stopCommand struct {
	baseCommand
	Delay time.Duration `long:"in" description:"when the target stops, from now" default:"10m"`
	Args  struct {
		Target string `positional-arg-name:"TARGET" required:"yes" description:"the ID of a box or of a backend server"`
	} `positional-args:"yes"`
}

// Execute announces the planned stop of the target.
func (c *stopCommand) Execute([]string) error {
	stopAt := time.Now().Add(c.Delay).UTC().Truncate(time.Second)

	return c.publish([]operator.Change{operator.StopChange(c.Args.Target, stopAt)})
}

type statusCommand struct {
	baseCommand
}

// Execute prints one line for each box, backend server and configuration object.
func (c *statusCommand) Execute([]string) error {
	client, err := c.operatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, s := range client.AllStatuses(ctx) {
		fmt.Printf("box     %s hall=%s current=%t applied=%d leading=%t log_down=%t\n", s.Box, s.Hall, s.ConfigCaughtUp, s.AppliedOffset, s.HoldsLease, s.LogUnreachable)
	}
	s, err := client.CurrentStatus(ctx)
	if err != nil {
		return err
	}
	loadedRanges := make(map[string]string)
	for _, l := range s.LoadedRanges {
		loadedRanges[string(l.Server)] = fmt.Sprintf(" model=%s layers=%s streams=%d", l.Model, l.Layers, l.ActiveStreams)
	}
	for _, v := range s.Servers {
		fmt.Printf("server  %s hall=%s kind=%s state=%s%s\n", v.ID, v.Hall, v.Kind, v.State, loadedRanges[string(v.ID)])
	}
	for _, obj := range s.Objects {
		fmt.Printf("object  %s revision=%d by=%s\n", obj.ID, obj.Revision, obj.Author)
	}

	return nil
}

type boxCommand struct {
	Timeout time.Duration `long:"wait" description:"how long to wait for the box" default:"5s"`
	Args    struct {
		Addresses []string `positional-arg-name:"HOST:PORT" required:"1" description:"the operators' listener of a box"`
	} `positional-args:"yes"`
}

// Execute prints the status of the boxes.
func (c *boxCommand) Execute([]string) error {
	client := daemon.NewHTTPClient()
	var failed error
	for _, address := range c.Args.Addresses {
		ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
		s, err := box.FetchStatus(ctx, client, address)
		cancel()
		if err != nil {
			failed = errors.CombineErrors(failed, err)

			continue
		}
		fmt.Print(s)
	}

	return failed
}

type liftCommand struct {
	Timeout time.Duration `long:"wait" description:"how long to wait for the box" default:"5s"`
	Args    struct {
		Address           string `positional-arg-name:"HOST:PORT" required:"yes" description:"the operators' listener of any box"`
		FingerprintPrefix string `positional-arg-name:"SAME" required:"yes" description:"what the request's fingerprint begins with, as 'slatebridge box' shows it"`
	} `positional-args:"yes"`
}

// Execute lifts the quarantine of a request.
func (c *liftCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()

	return box.LiftQuarantine(ctx, daemon.NewHTTPClient(), c.Args.Address, c.Args.FingerprintPrefix)
}

type keyCommand struct{}

// Execute prints a version 7 UUID, which calls that must not run twice need as Idempotency-Key.
func (c *keyCommand) Execute([]string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "key")
	}
	fmt.Println(id)

	return nil
}
