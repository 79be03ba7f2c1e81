package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/logstore"
)

// appendTimeout is the timeout of one append.
const appendTimeout = time.Second

// maxRecordClaims is the maximum number of claims in one record.
const maxRecordClaims = 500

// queue holds the claims and abandonments that wait for this box's next append.
type queue struct {
	mu      sync.Mutex
	pending RecordData
	wake    chan struct{}
}

func (q *queue) add(content RecordData) {
	q.mu.Lock()
	q.pending.Claims = append(q.pending.Claims, content.Claims...)
	q.pending.Abandonments = append(q.pending.Abandonments, content.Abandonments...)
	q.mu.Unlock()
	q.signal()
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) take() RecordData {
	q.mu.Lock()
	defer q.mu.Unlock()
	content := q.pending
	q.pending = RecordData{}
	if len(content.Claims) > maxRecordClaims {
		q.pending.Claims = content.Claims[maxRecordClaims:]
		content.Claims = content.Claims[:maxRecordClaims]
		q.signal()
	}

	return content
}

// appendRecords appends what is queued, at most once per minAppendInterval, so that this box stays
// within its share of the log's append rate.
func (c *Claimer) appendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.queue.wake:
		}
		content := c.pendingOnly(c.queue.take())
		if len(content.Claims)+len(content.Abandonments) == 0 {
			continue
		}
		if err := c.appendRecord(ctx, content); err != nil {
			// The log may have accepted the record nevertheless. Appending a claim twice has no
			// effect, so it is queued again until the log shows it.
			c.onError(err)
			c.queue.add(content)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.minAppendInterval):
		}
	}
}

func (c *Claimer) appendRecord(ctx context.Context, content RecordData) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.log.Append(ctx, StreamName, data)

	return err
}

// pendingOnly returns the content without the claims that were abandoned before they were appended,
// or that the log has already shown.
func (c *Claimer) pendingOnly(content RecordData) RecordData {
	c.mu.Lock()
	defer c.mu.Unlock()
	var claims []Claim
	for _, cl := range content.Claims {
		localCall := c.calls[cl.ID]
		if localCall != nil && localCall.state == Running && !localCall.isDecided() {
			claims = append(claims, cl)
		}
	}
	content.Claims = claims

	return content
}

// claimIDs returns the IDs of the claims in a record.
func claimIDs(r logstore.Record) []ID {
	var content RecordData
	if json.Unmarshal(r.Data, &content) != nil {
		return nil
	}
	ids := make([]ID, 0, len(content.Claims))
	for _, cl := range content.Claims {
		ids = append(ids, cl.ID)
	}

	return ids
}
