package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
	// runs counts the runs of each request ID, and tenants has the tenant that each ran as.
	runs    map[string]int
	tenants map[string]string
	// servers counts the runs at each server.
	servers map[string]int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &recorder{file: f, w: bufio.NewWriter(f), start: time.Now(), runs: make(map[string]int), tenants: make(map[string]string), servers: make(map[string]int)}, nil
}

// add writes one line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a server starts to work on a request.
func (r *recorder) ran(server, id, tenant string) {
	r.mu.Lock()
	r.runs[id]++
	r.tenants[id] = tenant
	r.servers[server]++
	n := r.runs[id]
	r.mu.Unlock()
	r.add("server %s runs %s, run %d, Tenant: %q", server, id, n, tenant)
}

// tenantOf returns the tenant that a request ran as; empty if it did not run or ran as none.
func (r *recorder) tenantOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.tenants[id]
}

// busiest returns the server with the most runs.
func (r *recorder) busiest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := ""
	for id, n := range r.servers {
		if best == "" || n > r.servers[best] {
			best = id
		}
	}

	return best
}

// runCount returns how often a request ran.
func (r *recorder) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.runs[id]
}

// close writes the last lines. Further lines are dropped.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
