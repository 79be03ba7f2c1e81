package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callerDeadline is how long a caller waits for its answer.
const callerDeadline = 10 * time.Second

// call is one request of a caller and what became of it.
type call struct {
	id     string
	status int
	events int
	// whole is set if the answer is a success with all its events.
	whole bool
	err   error
	took  time.Duration
}

// stream sends a request for a stream of the given number of events to a box, and reads the answer.
func (w *world) stream(b *boxProcess, id string, events int) (c call) {
	began := time.Now()
	c.id = id
	defer func() { c.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.front+"/draft/1", strings.NewReader(`{"prompt":"p"}`))
	if err != nil {
		c.err = err

		return c
	}
	req.Host = "demo.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer demo-key", "Deadline-Ms": fmt.Sprint(callerDeadline.Milliseconds()),
		"Model": "m", "Token-Usage": fmt.Sprintf("100,%d", events), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:60", id),
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.err = err

		return c
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	c.status, c.err, c.events = resp.StatusCode, err, strings.Count(string(data), "id: ")
	c.whole = err == nil && c.status == http.StatusOK && c.events == events

	return c
}

// sendAll sends requests through all boxes in turn, sendGap apart, and returns how many were served.
func (w *world) sendAll(phase string, n int) int {
	const events = 20
	results := make(chan call, n)
	for i := range n {
		go func() { results <- w.stream(w.boxes[i%len(w.boxes)], fmt.Sprintf("%s-%d", phase, i), events) }()
		time.Sleep(sendGap)
	}
	served := 0
	for range n {
		c := <-results
		if c.whole {
			served++
		}
		w.note("request %s: status %d, %d of %d events, whole %t, after %s, error %v; servers ran it %d times",
			c.id, c.status, c.events, events, c.whole, c.took.Round(time.Millisecond), c.err, w.fleet.RunCount(c.id))
	}
	w.note("%s: %d of %d requests were served", phase, served, n)

	return served
}
