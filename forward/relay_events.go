package forward

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/result"
)

// relayEvents relays the server-sent events of a server's response to the caller until the stream
// ends. io.EOF means that the stream is complete.
func (t *streamRequest) relayEvents(a *streamAttempt, r attemptResult) error {
	events := newEventReader(r.resp.Body)
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		path, progressed := a.recordEvent()
		t.h.fleet.RecordProgress(path)
		if progressed {
			t.attemptsInVain = 0
			t.h.ledger.RecordProgress(t.c.subject().Parts, clock.Now())
		}
		if ev.id > 0 && t.lastEventID != noEventID {
			if ev.id <= t.lastEventID {
				continue
			}
			if ev.id != t.lastEventID+1 {
				return errEventGap
			}
		}
		if err := t.writeEvent(r.resp, ev, !events.buffered()); err != nil {
			return err
		}
	}
}

func (t *streamRequest) writeEvent(resp *http.Response, ev streamEvent, flush bool) error {
	t.writeHead(resp)
	if _, err := t.w.Write(ev.raw); err != nil {
		return err
	}
	now := clock.Now()
	if t.eventCount > 0 {
		t.longestPause = max(t.longestPause, now.Sub(t.lastEventAt))
		t.h.eventGaps(t.c.service).Record(now.Sub(t.lastEventAt))
	}
	t.eventCount++
	t.lastEventAt = now
	if ev.id > 0 || t.lastEventID == noEventID {
		t.lastEventID = ev.id
	}
	if !flush {
		return nil
	}

	return http.NewResponseController(t.w).Flush()
}

// writeHead writes the head of the first valid response. It is called with the first event or at
// the end of the stream, so that until then another server can still provide the whole response.
func (t *streamRequest) writeHead(resp *http.Response) {
	if t.headWritten {
		return
	}
	copyHeaders(t.w, resp)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(resp.StatusCode)
	t.headWritten = true
	t.firstEventDelay = clock.Since(t.c.startedAt)
}

func (t *streamRequest) complete(resp *http.Response) {
	// No event was written if the stream was resumed after its last one, so the head may still be
	// missing.
	t.writeHead(resp)
	t.completed = true
	t.h.metrics.requestDone(t.c, result.OK)
	t.h.metrics.streamCompleted(t.firstEventDelay, t.longestPause)
	t.h.latencies.streams.Record(clock.Since(t.c.startedAt))
	event.Log(t.h.logger, event.RequestAnswered, append(t.h.finalLogFields(t.c),
		zap.Int("events", t.eventCount), zap.Duration("first_event_ms", t.firstEventDelay), zap.Duration("longest_pause_ms", t.longestPause))...)
}
