package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/result"
)

// sendWhenWon waits until the claim has won and then sends its call. A claim that lost or timed out
// is marked as abandoned before anyone is told that the call was not sent.
func (c *Claimer) sendWhenWon(ctx context.Context, localCall *call, send SendFunc) (Response, bool, error) {
	timer := time.NewTimer(c.claimTimeout)
	defer timer.Stop()
	select {
	case <-localCall.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	switch c.startOrAbandon(ctx, localCall) {
	case sendNow:
		response, err := c.sendAndRecord(ctx, localCall, send)

		return response, false, err
	case claimLost:
		return Response{}, true, nil
	case requestEnded:
		return Response{}, false, result.New(result.DeadlineExceeded, "the request ended before its call was sent").WithExecution(result.NotExecuted).WithKeyScope()
	default:
		return Response{}, false, result.New(result.LogUnavailable, "the claim was not confirmed in time").WithRetryAfter(outageRetryAfter)
	}
}

// notSentRetryAfter is the retry delay given to callers when no server was reached.
const notSentRetryAfter = time.Second

// sendDecision is the outcome of startOrAbandon.
type sendDecision int

const (
	sendNow sendDecision = iota
	claimLost
	claimUndecided
	requestEnded
)

// startOrAbandon marks the call as sent or as abandoned. Deciding and marking happen under one
// lock, so that no other box can be told the opposite in between.
func (c *Claimer) startOrAbandon(ctx context.Context, localCall *call) sendDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if localCall.isDecided() && localCall.won && ctx.Err() == nil {
		localCall.sent = true
		event.Log(c.logger, event.ClaimWon, zap.Stringer("claim", localCall.id))

		return sendNow
	}
	localCall.finish(Abandoned, Response{})
	if localCall.isDecided() && !localCall.won {
		event.Log(c.logger, event.ClaimLost, zap.Stringer("claim", localCall.id))

		return claimLost
	}
	event.Log(c.logger, event.ClaimGivenUp, zap.Stringer("claim", localCall.id))
	c.queue.add(RecordData{Abandonments: []Abandonment{{ID: localCall.id, Key: localCall.key}}})
	if localCall.isDecided() {
		return requestEnded
	}

	return claimUndecided
}

// sendAndRecord sends the call and records its outcome. If the caller disconnects, the call
// continues until the request's deadline, so that a retry can get the response.
func (c *Claimer) sendAndRecord(ctx context.Context, localCall *call, send SendFunc) (Response, error) {
	sendCtx := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		sendCtx, cancel = context.WithDeadline(sendCtx, deadline)
		defer cancel()
	}
	response, err := send(sendCtx)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		localCall.finish(Completed, response)
		c.cacheResponse(localCall)

		return response, nil
	case errors.Is(err, ErrNotSent):
		localCall.finish(Abandoned, Response{})
		c.queue.add(RecordData{Abandonments: []Abandonment{{ID: localCall.id, Key: localCall.key}}})

		return Response{}, result.New(result.NoServer, "%v", err).WithRetryAfter(notSentRetryAfter).WithKeyScope()
	default:
		localCall.finish(MayHaveRun, Response{})

		return Response{}, result.New(result.MayHaveRun, "%v", err)
	}
}

// cacheResponse keeps the response for retries, and evicts the oldest ones while the cache exceeds
// its size limit. c.mu must be held.
func (c *Claimer) cacheResponse(localCall *call) {
	c.cached = append(c.cached, localCall)
	c.cachedBytes += len(localCall.response.Body)
	for c.cachedBytes > c.responseCacheBytes && len(c.cached) > 0 {
		c.evictOldest()
	}
}

func (c *Claimer) evictOldest() {
	oldest := c.cached[0]
	c.cached = c.cached[1:]
	c.cachedBytes -= len(oldest.response.Body)
	oldest.state = ResponseEvicted
	oldest.response = Response{}
}

// expireLoop periodically removes keys and calls that are older than the deduplication window plus
// twice the maximum clock skew. By then, checkKeyAge rejects their keys.
func (c *Claimer) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.expire(time.Now().Add(-c.dedupWindow - 2*c.maxClockSkew))
		}
	}
}

func (c *Claimer) expire(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ExpireBefore(before)
	for len(c.cached) > 0 && c.cached[0].createdAt.Before(before) {
		c.evictOldest()
	}
	for id, localCall := range c.calls {
		if localCall.state == Running || !localCall.createdAt.Before(before) {
			continue
		}
		delete(c.calls, id)
		if c.byKey[localCall.key] == localCall {
			delete(c.byKey, localCall.key)
		}
	}
}
