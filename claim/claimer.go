package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/result"
)

// Defaults of the options.
const (
	defaultDedupWindow        = 15 * time.Minute
	defaultMaxClockSkew       = 10 * time.Second
	defaultClaimTimeout       = 2 * time.Second
	defaultMinAppendInterval  = 150 * time.Millisecond
	defaultResponseCacheBytes = 32 << 20
)

// expireInterval is how often old keys and calls are removed.
const expireInterval = 10 * time.Second

// outageRetryAfter is the retry delay given to callers while the log is unavailable.
const outageRetryAfter = 5 * time.Second

// ErrNotSent marks an error of a SendFunc that has not sent a single byte of the call.
var ErrNotSent = errors.New("claim: the call was not sent")

// SendFunc sends the call and returns the server's response. Any error that is not marked
// ErrNotSent means that the call may have run.
type SendFunc func(ctx context.Context) (Response, error)

// QueryOwnerFunc asks the box that made a claim for the claim's state, and waits while its call is
// running. The Claimer passes the ID of the claim that owns the key of a call.
type QueryOwnerFunc func(ctx context.Context, id ID) (State, Response, error)

// Claimer makes claims for one box and tracks those of all boxes. It is safe for concurrent use.
type Claimer struct {
	log        logstore.Log
	logger     *zap.Logger
	queryOwner QueryOwnerFunc
	box        slatebridge.BoxID
	boot       string

	dedupWindow        time.Duration
	maxClockSkew       time.Duration
	claimTimeout       time.Duration
	minAppendInterval  time.Duration
	responseCacheBytes int

	mu    sync.Mutex
	table *Table
	seq   int64
	calls map[ID]*call
	byKey map[Digest]*call
	// cached lists the completed calls whose responses are kept for retries, oldest first.
	cached       []*call
	cachedBytes  int
	logReachable bool
	ready        chan struct{}

	queue queue
}

// Option configures a Claimer.
type Option func(c *Claimer)

// WithDedupWindow sets the deduplication window. Keys older than the window minus twice the maximum
// clock skew are rejected; claims are kept for the window plus twice the skew.
func WithDedupWindow(d time.Duration) Option {
	return func(c *Claimer) { c.dedupWindow = d }
}

// WithMaxClockSkew sets the maximum difference between this box's clock and that of a caller or of
// the log.
func WithMaxClockSkew(d time.Duration) Option {
	return func(c *Claimer) { c.maxClockSkew = d }
}

// WithClaimTimeout sets how long to wait for a claim to be confirmed before it is abandoned.
func WithClaimTimeout(d time.Duration) Option {
	return func(c *Claimer) { c.claimTimeout = d }
}

// WithMinAppendInterval sets the minimum time between two appends of this box.
func WithMinAppendInterval(d time.Duration) Option {
	return func(c *Claimer) { c.minAppendInterval = d }
}

// WithResponseCacheBytes sets the maximum total size of the responses that are cached for retries.
func WithResponseCacheBytes(n int) Option {
	return func(c *Claimer) { c.responseCacheBytes = n }
}

// New returns a Claimer. The boot ID must differ at each start of the box.
func New(log logstore.Log, logger *zap.Logger, box slatebridge.BoxID, boot string, queryOwner QueryOwnerFunc, opts ...Option) *Claimer {
	c := &Claimer{
		log:                log,
		logger:             logger,
		queryOwner:         queryOwner,
		box:                box,
		boot:               boot,
		dedupWindow:        defaultDedupWindow,
		maxClockSkew:       defaultMaxClockSkew,
		claimTimeout:       defaultClaimTimeout,
		minAppendInterval:  defaultMinAppendInterval,
		responseCacheBytes: defaultResponseCacheBytes,
		table:              NewTable(),
		calls:              make(map[ID]*call),
		byKey:              make(map[Digest]*call),
		ready:              make(chan struct{}),
	}
	c.queue.wake = make(chan struct{}, 1)
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// Run reads the claims stream and appends records to it until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		logstore.Tail{Log: c.log, Stream: StreamName, OnBatch: c.onBatch, OnError: c.onError}.Run(ctx)
	})
	wg.Go(func() { c.appendRecords(ctx) })
	wg.Go(func() { c.expireLoop(ctx) })
	wg.Wait()
}

// Ready returns a channel that is closed once the stream has first been read to its end.
func (c *Claimer) Ready() <-chan struct{} {
	return c.ready
}

// KeyCount returns the number of keys in the table.
func (c *Claimer) KeyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.table.Len()
}

// Do sends the call at most once across all boxes and returns its response. If the call has run, a
// retry gets its response, or an error saying that the call has run or may have. Every error is a
// *result.Error.
func (c *Claimer) Do(ctx context.Context, key Key, body []byte, send SendFunc) (Response, error) {
	if err := c.checkKeyAge(key); err != nil {
		return Response{}, err
	}
	digest := key.Digest()
	hash := BodyHash(body)
	for {
		next, err := c.nextStep(digest, hash)
		if err != nil {
			return Response{}, err
		}
		response, retry, err := next.run(ctx, c, send)
		if !retry {
			return response, err
		}
	}
}

// checkKeyAge rejects a key that was issued in the future, or so long ago that claims for it may be
// missing from the table.
func (c *Claimer) checkKeyAge(key Key) error {
	now := time.Now()
	issued := key.IssuedAt()
	if issued.After(now.Add(c.maxClockSkew)) {
		return result.New(result.KeyFromFuture, "issued %s, now %s", issued.Format(time.RFC3339), now.Format(time.RFC3339))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The caller's clock may be fast and the log's slow, each by the maximum skew, so that a claim
	// may be recorded up to twice the skew before the key's issue time.
	completeSince := c.table.CompleteSince()
	if oldest := now.Add(-c.dedupWindow); oldest.After(completeSince) {
		completeSince = oldest
	}
	if issued.Add(-2*c.maxClockSkew).Before(completeSince) && !completeSince.IsZero() {
		return result.New(result.KeyTooOld, "issued %s, claims are known since %s", issued.Format(time.RFC3339), completeSince.Format(time.RFC3339))
	}

	return nil
}

// step is the next action for a key.
type step struct {
	key Digest
	// localCall is this box's call for the key, if it has one.
	localCall *call
	// created means that this step made the claim, so this request sends the call.
	created bool
	// ownerClaim is another box's claim for the key.
	ownerClaim ID
}

// nextStep decides what to do for a key, based on the claims known so far.
func (c *Claimer) nextStep(key Digest, bodyHash uint64) (step, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, claimed := c.table.Lookup(key)
	if claimed && e.BodyHash != bodyHash {
		return step{}, result.New(result.KeyReused, "the key was claimed with another body")
	}
	if localCall := c.byKey[key]; localCall != nil && localCall.state != Abandoned {
		if localCall.bodyHash != bodyHash {
			return step{}, result.New(result.KeyReused, "the key is in use with another body")
		}

		return step{key: key, localCall: localCall}, nil
	}
	if !claimed || e.Abandoned || c.abandonedHere(e.Owner) {
		return c.newClaim(key, bodyHash, e.Owner)
	}

	return step{key: key, ownerClaim: e.Owner}, nil
}

// abandonedHere reports whether this box has made the claim since it started, and has abandoned it.
func (c *Claimer) abandonedHere(id ID) bool {
	localCall := c.calls[id]

	return localCall != nil && localCall.state == Abandoned
}

// newClaim queues a claim that replaces the given one, or none if the given ID is zero. c.mu must
// be held.
func (c *Claimer) newClaim(key Digest, bodyHash uint64, replaces ID) (step, error) {
	if !c.logReachable {
		return step{}, result.New(result.LogUnavailable, "the platform's log does not answer").WithRetryAfter(outageRetryAfter)
	}
	c.seq++
	localCall := newCall(ID{Box: c.box, Boot: c.boot, Seq: c.seq}, key, bodyHash, replaces, time.Now())
	c.calls[localCall.id] = localCall
	c.byKey[key] = localCall
	c.queue.add(RecordData{Claims: []Claim{localCall.claim()}})

	return step{key: key, localCall: localCall, created: true}, nil
}

// run performs the step. If retry is true, nextStep has to be called again.
func (s step) run(ctx context.Context, c *Claimer, send SendFunc) (response Response, retry bool, err error) {
	switch {
	case s.created:
		return c.sendWhenWon(ctx, s.localCall, send)
	case s.localCall != nil:
		return c.awaitLocalCall(ctx, s.localCall)
	default:
		return c.awaitOwner(ctx, s.key, s.ownerClaim)
	}
}

// awaitLocalCall waits for a call of this box that another request is sending.
func (c *Claimer) awaitLocalCall(ctx context.Context, localCall *call) (Response, bool, error) {
	select {
	case <-localCall.done:
	case <-ctx.Done():
		return Response{}, false, result.New(result.MayHaveRun, "an earlier request with the key is still running")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if localCall.state == Abandoned {
		return Response{}, true, nil
	}
	response, err := callResult(localCall.state, localCall.response)

	return response, false, err
}

// awaitOwner queries the box that made the claim that owns the key. The claim may be replaced only
// if that box itself reports that it has abandoned it.
func (c *Claimer) awaitOwner(ctx context.Context, key Digest, ownerClaim ID) (Response, bool, error) {
	state, response, err := c.queryOwner(ctx, ownerClaim)
	if err != nil {
		return Response{}, false, result.New(result.MayHaveRun, "box %s has claimed the call and does not answer", ownerClaim.Box)
	}
	switch state {
	case Abandoned:
		c.markAbandoned(key, ownerClaim)

		return Response{}, true, nil
	case Running:
		if ctx.Err() != nil {
			return Response{}, false, result.New(result.MayHaveRun, "box %s is still running the call", ownerClaim.Box)
		}

		return Response{}, true, nil
	default:
		response, err := callResult(state, response)

		return response, false, err
	}
}

// markAbandoned records in the table that the owner's box has reported the claim as abandoned.
func (c *Claimer) markAbandoned(key Digest, ownerClaim ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.applyAbandonment(Abandonment{ID: ownerClaim, Key: key})
}

// ClaimState returns the state of a claim of this box, on behalf of another box. It waits until the
// call is finished or ctx ends.
func (c *Claimer) ClaimState(ctx context.Context, id ID) (State, Response) {
	c.mu.Lock()
	localCall := c.calls[id]
	c.mu.Unlock()
	if localCall == nil {
		return Unknown, Response{}
	}
	select {
	case <-localCall.done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	return localCall.state, localCall.response
}

func (c *Claimer) onError(err error) {
	c.mu.Lock()
	changed := c.logReachable
	c.logReachable = false
	c.mu.Unlock()
	if changed {
		event.Log(c.logger, event.LogUnreachable, zap.String("stream", StreamName), event.Error(err))
	}
}

// onBatch applies one read of the stream and decides this box's claims.
func (c *Claimer) onBatch(_ int64, b logstore.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unreadable, contiguous := c.table.Apply(b, time.Now())
	if unreadable > 0 {
		event.Log(c.logger, event.ClaimsUnreadable, zap.Int("records", unreadable))
	}
	if !contiguous && b.OldestOffset > 0 {
		event.Log(c.logger, event.LogGap, zap.String("stream", StreamName), zap.Int64("oldest", b.OldestOffset))
	}
	c.decideOwnClaims(b)
	c.logReachable = true
	if c.table.nextOffset >= b.NextOffset {
		c.markReady()
	}
}

func (c *Claimer) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

// decideOwnClaims tells this box's calls whether their claims won. A claim of this box that has
// been applied and does not own its key has lost.
func (c *Claimer) decideOwnClaims(b logstore.Batch) {
	for _, r := range b.Records {
		for _, id := range claimIDs(r) {
			localCall := c.calls[id]
			if localCall == nil || localCall.isDecided() {
				continue
			}
			e, _ := c.table.Lookup(localCall.key)
			localCall.decide(e.Owner == localCall.id)
		}
	}
}
