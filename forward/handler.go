package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
)

// inboundRequest is a caller's request in progress with the decisions made for it.
type inboundRequest struct {
	Request
	method string
	// target is the path and query exactly as the caller sent them.
	target string
	host   string
	header http.Header
	body   intake.Body
	// hold is what the request holds of the memory for requests, including the answers that are buffered
	// for it.
	hold *intake.Hold
	// bodyRead is set once the body has been read to its end, or if there is none.
	bodyRead  bool
	startedAt time.Time
	deadline  time.Time
	route     *catalog.Route
	service   string
	account   string
	// priority is the priority of the request, 0 for the most urgent. It counts only if prioritized
	// is set, that is, if there are requests of other priorities for the service.
	priority    int
	prioritized bool
	// class is the rank of the priority among those of all streams to the service. It counts only if
	// hasClasses is set, that is, if the request is a stream and there are several of them.
	class      int
	hasClasses bool
	// servicePriority is the state of the decisions by priority for the service; nil unless hasClasses.
	servicePriority *servicePriority
	state           State
	// plainAttempts counts the attempts at single servers, including those that were not sent. It
	// stays zero for a stream over paths.
	plainAttempts int
	// tried lists the servers or paths that were tried, for the log.
	tried []string
	// cachedSubject is what the quarantine knows the request by, computed on first use.
	cachedSubject quarantine.Subject
	subjectOnce   sync.Once
	// done is set once the caller has its final response.
	done *atomic.Bool
}

// subject identifies the content of the request and the shared parts of its prompt. It is computed on
// first use: usually at the end of an attempt, and before the first attempt while the quarantine ledger
// has entries.
func (c *inboundRequest) subject() quarantine.Subject {
	c.subjectOnce.Do(func() {
		c.cachedSubject = quarantine.Subject{
			Request: quarantine.NewFingerprint(c.account, c.host, c.method, c.target, c.body.Parts()...),
			Account: quarantine.NewAccountHash(c.account),
		}
		for _, id := range c.sharedParts() {
			c.cachedSubject.Parts = append(c.cachedSubject.Parts, quarantine.NewPartFingerprint(c.service, id))
		}
	})

	return c.cachedSubject
}

// sharedParts returns the IDs of the prompt parts that other requests have as well.
func (c *inboundRequest) sharedParts() []string {
	return c.PromptParts[:max(0, len(c.PromptParts)-1)]
}

// fingerprint identifies the content of the request.
func (c *inboundRequest) fingerprint() quarantine.Fingerprint { return c.subject().Request }

// blamedFields returns the log fields for what the quarantine blames in the request.
func (c *inboundRequest) blamedFields(blamed quarantine.Fingerprint) []zap.Field {
	fields := []zap.Field{zap.Stringer("same", blamed)}
	if i := slices.Index(c.subject().Parts, blamed); i >= 0 {
		fields = append(fields, zap.String("part", c.sharedParts()[i]))
	}

	return fields
}

// drainState counts requests in flight and records whether the box is shutting down.
type drainState struct {
	stopping atomic.Bool
	inFlight atomic.Int64
}

// BeginDrain makes every response ask the caller to close its connection.
func (h *Handler) BeginDrain() {
	h.drain.stopping.Store(true)
}

// Stopping reports whether the box is about to stop.
func (h *Handler) Stopping() bool { return h.drain.stopping.Load() }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 {
	return h.drain.inFlight.Load()
}

// ServeHTTP serves a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.drain.inFlight.Add(1)
	defer h.drain.inFlight.Add(-1)
	defer h.activity.begin()()
	if h.drain.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, e := h.admit(w, r)
	if e == nil && !h.load.AcceptRequest(clock.Now()) {
		e = result.New(result.Overloaded, "this box is late with its own work").WithRetryAfter(overload.MinRetryAfter)
	}
	if e != nil {
		h.refuse(w, c, e)

		return
	}
	defer h.recordRequestDone(c)
	h.budget.RecordRequest(c.service, c.startedAt)
	ctx, cancel := clock.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	// A configuration may combine any kind of route with any service. Only streams of a service
	// with a model get a path; every other request is sent to a single server.
	if c.route.Kind == catalog.Stream && h.hasModel(c) {
		h.serveStream(ctx, w, c)

		return
	}
	h.servePlain(ctx, w, c)
}

func (h *Handler) hasModel(c *inboundRequest) bool {
	s := c.state.Catalog.Service(c.service)

	return s != nil && s.Model != nil
}

const (
	// syncTimeout is how long a request at a box that has just started waits until the box knows
	// the configuration and the servers. That usually takes 0.1 s, less than most latency
	// objectives, whereas a refused caller would have to retry.
	syncTimeout = 600 * time.Millisecond
	// syncPollInterval is the pause between two checks of the state.
	syncPollInterval = 10 * time.Millisecond
	// syncWindow is how long after the start of a box requests wait for its first synchronization.
	// Later ones are refused at once.
	syncWindow = 3 * time.Second
)

// awaitSync returns the state once it is synced, or after syncTimeout.
func (h *Handler) awaitSync(ctx context.Context) State {
	s := h.state()
	began := clock.Now()
	for !s.Synced && ctx.Err() == nil && began.Sub(h.startedAt) < syncWindow && clock.Since(began) < syncTimeout {
		time.Sleep(syncPollInterval)
		s = h.state()
	}

	return s
}

// admit decides whether and how a request is served. It always returns an inboundRequest, so that a
// refusal can be logged.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request) (*inboundRequest, *result.Error) {
	c := &inboundRequest{
		bodyRead: r.ContentLength == 0, method: r.Method, target: target(r), host: r.Host, startedAt: clock.Now(), state: h.awaitSync(r.Context()),
		done: new(atomic.Bool),
	}
	var err error
	if c.Request, err = h.codec.ParseRequest(r); err != nil {
		return c, result.New(result.Malformed, "%s", err.Error())
	}
	if c.state.Catalog == nil {
		return c, result.New(result.NotReady, "no configuration is known yet").WithRetryAfter(overload.MinRetryAfter)
	}
	path, _, _ := strings.Cut(c.target, "?")
	age, limits := c.startedAt.Sub(c.state.ConfigVerifiedAt), h.bounds.Load().configAgeLimits()
	if c.route = c.state.Catalog.Route(r.Host, path); c.route == nil {
		return c, rejection(result.New(result.UnknownRoute, "no route for host %s and path %s", r.Host, path), age, limits)
	}
	account, e := authorize(c.state.Catalog, c.route, c.APIKey, age, limits)
	if e != nil {
		return c, e
	}
	if account != nil {
		c.account = account.Name
	}
	c.deadline = c.startedAt.Add(c.route.Timeout)
	if c.Timeout > 0 && c.Timeout < c.route.Timeout {
		c.deadline = c.startedAt.Add(c.Timeout)
	}
	c.service = c.route.ChooseService(h.random())
	c.prioritized = c.state.Catalog.Prioritized(c.service)
	c.priority = c.state.Catalog.Priority(c.service, c.route, account)
	if c.route.Kind == catalog.Stream {
		c.hasClasses, c.class = c.state.Catalog.HasClasses(c.service), c.state.Catalog.Class(c.service, c.route, account)
	}
	c.header = endToEndHeaders(r.Header)

	if e := h.readBody(w, r, c); e != nil {
		// The rest of the body is not waited for.
		w.Header().Set("Connection", "close")

		return c, e
	}

	return c, h.checkQuarantine(c)
}

func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}

	return r.URL.RequestURI()
}

// refuse writes an error response of the box itself and logs the reason.
func (h *Handler) refuse(w http.ResponseWriter, c *inboundRequest, e *result.Error) {
	h.metrics.requestDone(c, e.Code)
	fields := h.endLogFields(c, zap.Int("code", int(e.Code)), zap.String("ran", string(e.Execution)),
		zap.String("why", e.Detail), zap.Duration("retry_after_ms", e.RetryAfter))
	if e.Code == result.HeldBack || e.Code == result.PartHeldBack || e.Code == result.OnTrial {
		fields = append(fields, c.blamedFields(h.ledger.Decide(c.subject(), clock.Now()).Blamed)...)
	}
	if e.Code == result.NoServer || e.Code == result.NoPipeline {
		fields = append(fields, zap.Any("unusable", h.fleet.UnusableServers(c.service)))
	}
	event.Log(h.logger, event.RequestRefused, fields...)
	if !c.bodyRead {
		limitDiscard(w)
	}
	h.codec.WriteError(w, c.ID, e)
}

// logFields returns the fields that all log lines about a request have.
func (h *Handler) logFields(c *inboundRequest) []zap.Field {
	fields := []zap.Field{zap.String("request", c.ID), zap.Duration("took_ms", clock.Since(c.startedAt))}
	if c.state.Catalog != nil {
		fields = append(fields, zap.Int64("config", c.state.Catalog.Version), zap.Duration("config_age_ms", c.startedAt.Sub(c.state.ConfigVerifiedAt)),
			zap.String("config_by", c.state.ConfigVerifiedBy))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.Stringer("kind", c.route.Kind), zap.String("service", c.service),
			zap.String("account", c.account), zap.Int("attempts", len(c.tried)))
	}

	return fields
}

// finalLogFields returns the fields of a request's last log line.
func (h *Handler) finalLogFields(c *inboundRequest) []zap.Field {
	return append(h.logFields(c), zap.Strings("tried", c.tried))
}

// endLogFields returns the fields of the last log line of a request that failed. The given ones follow the
// ID of the request, so that they are kept where lines are cut.
func (h *Handler) endLogFields(c *inboundRequest, fields ...zap.Field) []zap.Field {
	return slices.Insert(h.finalLogFields(c), 1, fields...)
}

// noPathError returns the error for a stream for which there is no path.
func (h *Handler) noPathError(c *inboundRequest, s fleet.Shortage) *result.Error {
	if e := h.rateLimitError(c); e != nil {
		return e
	}
	switch s {
	case fleet.NoCapacity:
		return result.New(result.Overloaded, "no path has memory left for the request").WithRetryAfter(h.capacityRetryAfter())
	case fleet.NoSlots:
		return result.New(result.Overloaded, "no path has room left for the request").WithRetryAfter(h.capacityRetryAfter())
	case fleet.RoomKept:
		return result.New(result.Overloaded, "the room left is kept for more urgent requests").WithRetryAfter(h.capacityRetryAfter())
	case fleet.NoShortage, fleet.NoLayers:
	}
	if e := h.cooldownError(c); e != nil {
		return e
	}

	return result.New(result.NoPipeline, "some layers are on no server that can be used").WithRetryAfter(h.capacityRetryAfter())
}

// callerGone reports whether the caller has disconnected.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
