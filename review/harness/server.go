package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	topicServers = "keyed.servers"
	topicConfig  = "keyed.op"
	// loadTime is how long a server loads layers, and heartbeat the pause between two writes of its entry.
	loadTime  = 200 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// pieceTime is the pause between two events of a stream.
	pieceTime = 20 * time.Millisecond
)

// server is a stand-in for a backend server that speaks HTTP/1.1 on plain connections.
type server struct {
	id, service string
	// kind is the kind of its card; empty for a server without a model.
	kind string
	// slots is the number of requests that it runs at once, and queue how many more may wait; it turns
	// others away.
	slots, queue int
	// work is how long a request takes at a server without a model.
	work time.Duration
	// unframed makes streams end with their connection, without a length or chunks.
	unframed bool
	// garble, if set, spoils some of its answers.
	garble *garble
	// put writes the server's entry, and onRun is called when it starts to work on a request.
	put   func(key string, value []byte)
	onRun func(id, tenant string)

	address string
	born    int64

	// free has an element for each free slot.
	free chan struct{}

	mu       sync.Mutex
	inside   int
	from, to int
	sequence int64
	fence    int64
	beats    int64
}

// listen opens the server's address and serves connections until the context ends.
func (s *server) listen(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born, s.free = ln.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	s.writeEntry()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(heartbeat)
			s.writeEntry()
		}
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			go (&channel{s: s, c: c, r: bufio.NewReader(c)}).serve()
		}
	}()

	return nil
}

func (s *server) writeEntry() {
	s.mu.Lock()
	s.beats++
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": hall, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.beats, "born": s.born,
	}
	if s.kind != "" {
		e["kind"], e["stage"], e["models"] = s.kind, "both", []any{}
		if s.to > s.from {
			e["layers"] = map[string]int{"from": s.from, "target_version": s.to, "version": 1}
		}
	}
	s.mu.Unlock()
	data, err := json.Marshal(e)
	if err == nil {
		s.put(s.id, data)
	}
}

// enter waits for a slot, unless the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	full := s.inside >= s.slots+s.queue
	if !full {
		s.inside++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	<-s.free

	return true
}

func (s *server) leave() {
	s.free <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
}

// channel is one connection to a server.
type channel struct {
	s *server
	c net.Conn
	r *bufio.Reader
	// extra is an answer that is sent once more where the next one on the channel is due; empty if there is
	// none.
	extra string
}

func (ch *channel) serve() {
	defer func() { _ = ch.c.Close() }()
	for {
		r, err := http.ReadRequest(ch.r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !ch.repeat(r) || !ch.answer(r, body) {
			return
		}
	}
}

// repeat sends the answer that is sent once more, if there is one, and reports whether the connection stays
// open.
func (ch *channel) repeat(r *http.Request) bool {
	if ch.extra == "" {
		return true
	}
	ch.s.garble.log("server %s sends its answer 400 to GET /api/report once more, late, where the answer to %s is due", ch.s.id, r.Header.Get("Attempt-Id"))
	_, err := io.WriteString(ch.c, ch.extra)
	ch.extra = ""

	return err == nil
}

// answer answers one request, and reports whether the connection stays open.
func (ch *channel) answer(r *http.Request, body []byte) bool {
	s := ch.s
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != s.id:
		return ch.write(http.StatusMisdirectedRequest, "Not-Executed: 1\r\nInstance-Id: "+s.id+"\r\n", "")
	case r.URL.Path == "/api/report" && s.kind != "":
		return ch.report()
	case r.URL.Path == "/api/order":
		return ch.order(body)
	case r.Header.Get("Attempt-Id") == "":
		return ch.rejectWithoutID()
	case !s.enter():
		return ch.shed(r.Header.Get("Attempt-Id"))
	}
	defer s.leave()
	id := r.Header.Get("Attempt-Id")
	s.onRun(id, r.Header.Get("Tenant"))
	if s.kind != "" {
		return ch.stream(r, id)
	}
	time.Sleep(s.work)

	return ch.answered(id, "answer to "+id)
}

// answered sends the answer of a run, which a faulty server may break off.
func (ch *channel) answered(id, body string) bool {
	text := format(http.StatusOK, "Attempt-Id: "+id+"\r\nServer-Seal: seal."+ch.s.id+"\r\n", body)
	if ch.s.garble.breaksOff() {
		ch.s.garble.log("server %s breaks off its answer to %s", ch.s.id, id)
		_, _ = io.WriteString(ch.c, text[:len(text)/2])

		return false
	}
	_, err := io.WriteString(ch.c, text)

	return err == nil
}

// rejectWithoutID rejects a request without an ID. The answer has no ID that it could repeat.
func (ch *channel) rejectWithoutID() bool {
	text := format(http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	if ch.s.garble.repeats() {
		ch.extra = text
	}
	_, err := io.WriteString(ch.c, text)

	return err == nil
}

// shed turns a request away, as it is full.
func (ch *channel) shed(id string) bool {
	return ch.write(http.StatusServiceUnavailable, "Attempt-Id: "+id+"\r\nNot-Executed: 1\r\n", "")
}

func (ch *channel) write(status int, header, body string) bool {
	_, err := io.WriteString(ch.c, format(status, header, body))

	return err == nil
}

func format(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (ch *channel) report() bool {
	s := ch.s
	s.mu.Lock()
	data, err := json.Marshal(map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": s.sequence, "running": s.inside, "pace": 1.0, "born": s.born, "stalled": []any{}})
	s.mu.Unlock()

	return err == nil && ch.write(http.StatusOK, "Content-Type: application/json\r\n", string(data))
}

// order carries out an order to hold layers.
func (ch *channel) order(body []byte) bool {
	var o struct {
		Op       string `json:"op"`
		From     int    `json:"from"`
		To       int    `json:"target_version"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected_revision"`
	}
	s := ch.s
	if json.Unmarshal(body, &o) != nil || o.Op != "place" {
		return ch.write(http.StatusNotFound, "", "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Fence < s.fence:
		return ch.write(http.StatusPreconditionFailed, "", "")
	case o.Expected != nil && *o.Expected != s.sequence:
		return ch.write(http.StatusConflict, "", "")
	}
	s.fence = o.Fence
	s.sequence++
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		s.from, s.to = o.From, o.To
		s.mu.Unlock()
		s.writeEntry()
	})

	return ch.write(http.StatusAccepted, "", "")
}

// stream sends the events after Last-Event-Id, as many as Token-Usage allows.
func (ch *channel) stream(r *http.Request, id string) bool {
	_, most, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	pieces, _ := strconv.Atoi(most)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal." + ch.s.id + "\r\n"
	if ch.s.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(ch.c, head); err != nil {
		return false
	}
	for n := last + 1; n <= pieces; n++ {
		time.Sleep(pieceTime)
		piece := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if !ch.s.unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(ch.c, piece); err != nil {
			return false
		}
	}
	if ch.s.unframed {
		return false
	}
	_, err := io.WriteString(ch.c, "0\r\n\r\n")

	return err == nil
}
