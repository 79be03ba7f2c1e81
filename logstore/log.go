// Package logstore has the clients of the platform's append-only log and of its membership list of
// boxes and backend servers, which lags behind. It also has the types for the topics of the
// platform's store, a separate service whose client is in package platform. The platform is the
// environment that runs Slatebridge and provides the log, the store and the membership list.
//
// The platform's real protocol for the log and the membership list is not published yet. The
// clients use HTTP with JSON, as the stand-ins in internal/standin/logservice and
// internal/standin/memberlist do; only this package has to change for the real protocol.
package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoValidResponse marks the errors of requests without a valid response: the platform may or may
// not have executed them. For the clients in this package, a response with a status other than 200
// is not valid. The error for a body that cannot be decoded is not marked, although it leaves the
// same doubt.
var ErrNoValidResponse = errors.New("logstore: no valid response")

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 64 << 20

// Record is one element of a stream of the log service.
type Record struct {
	Offset int64 `json:"offset"`
	// Time is the log's own clock at the append.
	Time time.Time       `json:"time"`
	Data json.RawMessage `json:"data"`
}

// Batch is the result of one read of a stream.
type Batch struct {
	// OldestOffset is the offset of the oldest record that the log still keeps; it equals
	// NextOffset if the stream is empty.
	OldestOffset int64 `json:"oldest"`
	// NextOffset is the offset of the next record to be appended.
	NextOffset int64    `json:"next"`
	Records    []Record `json:"records"`
}

// Log is the platform's append-only log service. Its fields are functions so that tests can replace
// them.
type Log struct {
	// Append adds a record and returns its offset. After an error the record may or may not have
	// been added.
	Append func(ctx context.Context, stream string, data json.RawMessage) (int64, error)
	// Read returns a batch of the records from the offset on, possibly not all of them. It waits up
	// to the given time for the first record.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// NewLog returns a client of the log service at the base URL.
func NewLog(base string, client *http.Client) Log {
	c := httpLog{base: base, client: client}

	return Log{Append: c.append, Read: c.read}
}

type httpLog struct {
	base   string
	client *http.Client
}

func (c httpLog) append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	target := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "logstore: append")
	}
	var resp struct {
		Offset int64 `json:"offset"`
	}
	if err := doJSON(c.client, req, &resp); err != nil {
		return 0, err
	}

	return resp.Offset, nil
}

func (c httpLog) read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("wait", wait.String())
	target := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Batch{}, errors.Wrap(err, "logstore: read")
	}
	var b Batch
	if err := doJSON(c.client, req, &b); err != nil {
		return Batch{}, err
	}

	return b, nil
}

func doJSON(client *http.Client, req *http.Request, result any) error {
	body, err := call(client, req)
	if err != nil {
		return err
	}

	return errors.Wrap(json.Unmarshal(body, result), "logstore: decode response")
}

// call sends a request and returns the body of the response.
func call(client *http.Client, req *http.Request) ([]byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrNoValidResponse)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Mark(err, ErrNoValidResponse)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("logstore: unexpected status %d", resp.StatusCode), ErrNoValidResponse)
	}

	return body, nil
}
