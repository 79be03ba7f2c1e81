package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/slatebridge/slatebridge/platform/standin"
)

// Figures of the case "ended-streams".
const (
	// streams is the number of streams under way, and streamEvents that of the events of each.
	streams      = 160
	streamEvents = 120
	// unframedEvery says that one of so many answers has neither a length nor chunks: x 0.05 of the answers.
	unframedEvery = 20
	// crashAfter is when a server crashes, counted from the first request.
	crashAfter = 2 * time.Second
)

// playEndedStreams crashes one of nine model servers while streams are under way. One of twenty answers of each
// server has neither a length nor chunks and ends with its connection.
func playEndedStreams(w *world, trouble bool) (bool, error) {
	w.fleet.EventInterval, w.fleet.LoadPerLayer = eventGap, loadTime
	w.fleet.Configure(strings.Replace(drainedConfig, `"layers": 12`, `"layers": 4`, 1))
	halls := []string{"hall-a", "hall-b", "hall-c"}
	var servers []*standin.Server
	for i, hall := range halls {
		for j := range 3 {
			s, err := w.addServer(100+10*i+j, "llm", hall, "card")
			if err != nil {
				return false, err
			}
			var n atomic.Int64
			s.SetHandler(func(rw http.ResponseWriter, r *http.Request) { w.serveEvents(s, rw, r, n.Add(1)%unframedEvery == 0) })
			servers = append(servers, s)
		}
	}
	if err := w.startBoxes(halls...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	results := make(chan call, streams)
	for i := range streams {
		go func() { results <- w.stream(w.boxes[i%len(w.boxes)], fmt.Sprintf("stream-%d", i), streamEvents) }()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(crashAfter - streams*5*time.Millisecond)
	if trouble {
		s := busiest(servers)
		w.note("%s crashes after it has begun %d requests; its connections end", s.ID, s.RunTotal())
		w.fleet.Crash(s, time.Hour)
	}

	return w.judgeStreams(results), nil
}

func busiest(servers []*standin.Server) *standin.Server {
	best := servers[0]
	for _, s := range servers {
		if s.RunTotal() > best.RunTotal() {
			best = s
		}
	}

	return best
}

// judgeStreams reports whether a stream ended as complete before its last event.
func (w *world) judgeStreams(results chan call) bool {
	short := 0
	for range streams {
		c := <-results
		if c.err == nil && c.status == http.StatusOK && c.events < streamEvents {
			short++
			w.note("request %s: the answer is complete for its caller, with %d of %d events", c.id, c.events, streamEvents)
		} else {
			w.note("request %s: status %d, %d of %d events, whole %t, error %v", c.id, c.status, c.events, streamEvents, c.whole, c.err)
		}
	}
	w.note("%d of %d streams ended as complete before their last event", short, streams)

	return short > 0
}

// serveEvents answers with the events after Last-Event-Id, as a server does. An unframed answer has neither a
// length nor chunks. If the server crashes, its connections end.
func (w *world) serveEvents(s *standin.Server, rw http.ResponseWriter, r *http.Request, unframed bool) {
	s.RecordRun(r)
	id, last := r.Header.Get("Attempt-Id"), 0
	if v, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		last = v
	}
	write, flush := rw.Write, http.NewResponseController(rw).Flush
	if unframed {
		conn, buffered, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		write, flush = buffered.Write, buffered.Flush
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, s.ID)
		w.note("%s answers %s without a length, from event %d on", s.ID, id, last+1)
	} else {
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Server-Seal", "seal-"+s.ID)
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			if unframed {
				return
			}
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
		if _, err := write([]byte(fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n))); err != nil || flush() != nil {
			return
		}
	}
}
