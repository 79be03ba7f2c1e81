// Package engine implements the clients for backend servers: model engines, which
// hold a layer range, and the servers of plain services.
//
// The engines' production protocol is not published yet. This package uses JSON over
// HTTP, like the stand-ins in internal/standin/engines and internal/standin/plainservice;
// a change of protocol is confined to this package.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
)

// maxResponseBytes is the maximum size of a non-streamed response body, in bytes.
const maxResponseBytes = 8 << 20

var (
	// ErrRefused marks errors of requests that the server rejected without running
	// any part of them.
	ErrRefused = errors.New("engine: refused")
	// ErrLeaving marks rejections by a server that accepts no new work.
	ErrLeaving = errors.New("engine: the server is leaving")
	// ErrStaleToken is returned for an order if the engine has seen a newer fencing token.
	ErrStaleToken = errors.New("engine: stale fencing token")
)

// State is the state reported by an engine. It may be out of date.
type State struct {
	Model    slatebridge.ModelVersion `json:"model"`
	Layers   slatebridge.LayerRange   `json:"layers"`
	Adapters []string                 `json:"adapters,omitempty"`
	// Streams is the number of active streams.
	Streams int `json:"streams"`
	// Leaving is set if the engine reports that it accepts no new work.
	Leaving bool `json:"leaving"`
	// FencingToken is the highest fencing token seen by the engine.
	FencingToken int64 `json:"token"`
}

// Order is a placement order that sets the model, layer range and adapters that an
// engine is to load. It is protected by a fencing token.
type Order struct {
	// FencingToken is the fencing token of the sender's lease.
	FencingToken int64                    `json:"token"`
	Model        slatebridge.ModelVersion `json:"model"`
	Layers       slatebridge.LayerRange   `json:"layers"`
	Adapters     []string                 `json:"adapters,omitempty"`
}

// Client sends requests to model engines. Its fields are functions so that tests can
// replace them.
type Client struct {
	// FetchState returns the state of the engine at the base URL.
	FetchState func(ctx context.Context, url string) (State, error)
	// SendOrder sends an order to the engine at the base URL.
	SendOrder func(ctx context.Context, url string, o Order) error
	// OpenStream starts an attempt on the first stage of the request's pipeline. If
	// the error is marked ErrRefused, nothing was run.
	OpenStream func(ctx context.Context, req StreamRequest) (*FrameStream, error)
}

// New returns a Client that sends its requests through the given HTTP client.
func New(client *http.Client) Client {
	c := httpClient{client: client}

	return Client{FetchState: c.fetchState, SendOrder: c.sendOrder, OpenStream: c.openStream}
}

type httpClient struct {
	client *http.Client
}

func (c httpClient) fetchState(ctx context.Context, url string) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/state", http.NoBody)
	if err != nil {
		return State{}, errors.Wrap(err, "engine: fetch state")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return State{}, errors.Wrap(err, "engine: fetch state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return State{}, errors.Newf("engine: fetch state: status %d", resp.StatusCode)
	}
	var s State
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&s)

	return s, errors.Wrap(err, "engine: fetch state")
}

func (c httpClient) sendOrder(ctx context.Context, url string, o Order) error {
	resp, err := c.post(ctx, url+"/v1/order", o)
	if err != nil {
		return errors.Wrap(err, "engine: send order")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleToken
	default:
		return errors.Newf("engine: send order: status %d", resp.StatusCode)
	}
}

// post sends v as JSON.
func (c httpClient) post(ctx context.Context, url string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")

	return c.client.Do(req)
}
