// Package operator is the library behind the slatebridge command: it publishes declarations,
// announces stops, and queries controllers for the configuration in force.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/controller"
	"github.com/slatebridge/slatebridge/logstore"
)

// requestTimeout bounds a request to a controller.
const requestTimeout = 2 * time.Second

// pollInterval is the interval between polls of the controllers.
const pollInterval = 100 * time.Millisecond

// Client publishes changes on behalf of an operator.
type Client struct {
	name        string
	controllers []string
	log         logstore.Log
	client      *http.Client
}

// New returns a Client that publishes to log as the named operator and queries the controllers at
// the given base URLs.
func New(name string, log logstore.Log, client *http.Client, controllers ...string) *Client {
	return &Client{name: name, log: log, client: client, controllers: controllers}
}

// Change sets or deletes one object.
type Change struct {
	ObjectID config.ObjectID
	// Value is the new value; nil deletes the object.
	Value json.RawMessage
}

// PublishResult is the result of publishing one change.
type PublishResult struct {
	Change Change
	// Unchanged is set if the object already had the value, so that nothing was published.
	Unchanged bool
	Outcome   config.Outcome
}

// CurrentStatus returns the status of the first controller that answers and has caught up with the
// configuration log at least once since its start.
func (c *Client) CurrentStatus(ctx context.Context) (controller.Status, error) {
	err := errors.New("operator: no controller has caught up with the configuration log since its start")
	for _, url := range c.controllers {
		s, statusErr := c.statusOf(ctx, url)
		if statusErr != nil {
			err = statusErr

			continue
		}
		if s.ConfigCaughtUp {
			return s, nil
		}
	}

	return controller.Status{}, err
}

// AllStatuses returns the status of every controller that answers.
func (c *Client) AllStatuses(ctx context.Context) []controller.Status {
	var list []controller.Status
	for _, url := range c.controllers {
		if s, err := c.statusOf(ctx, url); err == nil {
			list = append(list, s)
		}
	}

	return list
}

func (c *Client) statusOf(ctx context.Context, url string) (controller.Status, error) {
	var s controller.Status
	err := c.get(ctx, url+"/v1/status", &s)

	return s, err
}

// errNotFound is returned if a controller answers with status 404.
// maxStatusBytes limits how much is read of a controller's answer.
const maxStatusBytes = 64 << 20

var errNotFound = errors.New("operator: not found")

func (c *Client) get(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(v), "operator")
	case http.StatusNotFound:
		return errNotFound
	default:
		return errors.Newf("operator: %s: status %d", url, resp.StatusCode)
	}
}

// Publish publishes the changes one after another, and waits until a controller has applied or
// rejected each; changes that the configuration in force already contains are not published. It
// stops at the first error and returns the results so far. A rejected change is a result, not an
// error.
func (c *Client) Publish(ctx context.Context, changes []Change) ([]PublishResult, error) {
	status, err := c.CurrentStatus(ctx)
	if err != nil {
		return nil, err
	}
	current := make(map[config.ObjectID]config.Object, len(status.Objects))
	for _, obj := range status.Objects {
		current[obj.ID] = obj
	}
	var results []PublishResult
	for _, change := range changes {
		r, err := c.publishOne(ctx, change, current[change.ObjectID])
		if err != nil {
			return results, err
		}
		results = append(results, r)
	}

	return results, nil
}

func (c *Client) publishOne(ctx context.Context, change Change, current config.Object) (PublishResult, error) {
	if current.Revision > 0 && sameJSON(current.Value, change.Value) {
		return PublishResult{Change: change, Unchanged: true}, nil
	}
	rec := config.Record{
		ID:           uuid.NewString(),
		Action:       config.Put,
		Object:       change.ObjectID,
		BaseRevision: current.Revision,
		Author:       c.name,
		Value:        change.Value,
	}
	if change.Value == nil {
		rec.Action = config.Delete
	}
	if _, err := config.Publish(ctx, c.log, rec); err != nil {
		return PublishResult{}, errors.Wrapf(err, "%s, record %s", change.ObjectID, rec.ID)
	}
	outcome, err := c.waitOutcome(ctx, rec.ID)

	return PublishResult{Change: change, Outcome: outcome}, err
}

// waitOutcome waits until a controller has applied or rejected the record, and returns the outcome.
func (c *Client) waitOutcome(ctx context.Context, id string) (config.Outcome, error) {
	for {
		for _, url := range c.controllers {
			var out config.Outcome
			if err := c.get(ctx, url+"/v1/outcomes/"+id, &out); err == nil {
				return out, nil
			}
		}
		select {
		case <-ctx.Done():
			return config.Outcome{}, errors.Newf("operator: record %s is in the log, but no controller has reported its outcome yet", id)
		case <-time.After(pollInterval):
		}
	}
}

// WaitApplied waits until every live box has applied the record at the offset, or until ctx ends.
// It returns the number of boxes that have, and the live boxes that have not.
func (c *Client) WaitApplied(ctx context.Context, offset int64) (applied int, missing []slatebridge.BoxID) {
	for {
		applied, missing = c.countApplied(ctx, offset)
		if len(missing) == 0 && applied > 0 {
			return applied, nil
		}
		select {
		case <-ctx.Done():
			return applied, missing
		case <-time.After(pollInterval):
		}
	}
}

// countApplied returns how many boxes have applied the record at the offset, and the live boxes
// that have not reported it.
func (c *Client) countApplied(ctx context.Context, offset int64) (n int, missing []slatebridge.BoxID) {
	applied := make(map[slatebridge.BoxID]bool)
	live := make(map[slatebridge.BoxID]bool)
	for _, s := range c.AllStatuses(context.WithoutCancel(ctx)) {
		applied[s.Box] = s.AppliedOffset > offset
		for _, b := range s.Boxes {
			live[b.ID] = live[b.ID] || b.State == slatebridge.Live
		}
	}
	for id, isLive := range live {
		switch {
		case applied[id]:
			n++
		case isLive:
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)

	return n, missing
}

// sameJSON reports whether two JSON values are equal, ignoring white space and the order of fields.
func sameJSON(a, b json.RawMessage) bool {
	canonicalA, errA := canonical(a)
	canonicalB, errB := canonical(b)

	return errA == nil && errB == nil && canonicalA == canonicalB
}

func canonical(data json.RawMessage) (string, error) {
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return "", err
	}
	out, err := json.Marshal(v)

	return string(out), err
}
