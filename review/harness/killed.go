package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// serverCommand is the argument with which the harness runs a server as a process of its own.
const serverCommand = "server"

// serverLine is a line that a server process writes: its entry or a run.
type serverLine struct {
	Entry  json.RawMessage `json:"entry,omitempty"`
	Run    string          `json:"run,omitempty"`
	Tenant string          `json:"tenant,omitempty"`
}

// runServer runs a server with a model as a process and tells its entry and runs on standard output.
func runServer(id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	enc := json.NewEncoder(os.Stdout)
	lines := make(chan serverLine)
	s := &server{
		id: id, service: "huvo11a", kind: "big", slots: 192, unframed: true,
		put:   func(_ string, v []byte) { lines <- serverLine{Entry: v} },
		onRun: func(id, tenant string) { lines <- serverLine{Run: id, Tenant: tenant} },
	}
	go func() {
		for l := range lines {
			_ = enc.Encode(l)
		}
	}()
	if err := s.listen(ctx); err != nil {
		return notRun(err)
	}
	// The process ends with the one that started it.
	_, _ = io.Copy(io.Discard, os.Stdin)

	return exitHeld
}

// serverProcess is a server that runs as a process.
type serverProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startServer starts a server process.
func startServer(ctx context.Context, p *play, id string) (*serverProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, serverCommand, id)
	if _, err := cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	sp := &serverProcess{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(sp.done)
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			var l serverLine
			if json.Unmarshal(sc.Bytes(), &l) != nil {
				continue
			}
			if l.Run != "" {
				p.rec.ran(id, l.Run, l.Tenant)
			} else {
				p.store.put(topicServers, id, l.Entry)
			}
		}
		_ = cmd.Wait()
	}()

	return sp, nil
}

// kill ends the process at once.
func (sp *serverProcess) kill() {
	_ = sp.cmd.Process.Kill()
	<-sp.done
}

const (
	streamConfig = `{"version": 1,
"routes": [{"name": "r-2yhvz3p", "host": "till.example", "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 20000,
 "target_latency_ms": 500, "priority": 1, "service": "huvo11a", "max_attempts": 2, "allow_anonymous": false, "session_affinity": true,
 "resume_streams": true, "gap_aim_ms": 200}],
"services": [{"name": "huvo11a", "health_path": "/health", "max_connections": 1078, "protocol": "h1", "tls": false, "engine": {"slots": 192,
 "kv_token_bytes": 8000, "step_ms": 0.85, "read_per_s": 252000, "models": [{"name": "m", "load_s": 2}], "usual": {"prompt": 772, "answer": 154},
 "layers": 4, "layer_mb": 1000, "kinds": [{"name": "big", "mb": 9000, "pace": 1, "read_x": 1}]}}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
"tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}]}`
	streamServers = 6
	streamPieces  = 60
	streamClients = 24
	// killAfter is the time after the start of the streams at which a server crashes.
	killAfter = 500 * time.Millisecond
)

// killedServer checks that a stream whose server crashes does not end as complete before its last piece. The
// answers of the servers have no length and end with their connection.
func killedServer(ctx context.Context, p *play) (bool, error) {
	address, err := p.serveStore(ctx)
	if err != nil {
		return false, err
	}
	p.store.put(topicConfig, "config", []byte(streamConfig))
	servers := make(map[string]*serverProcess)
	for i := range streamServers {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		sp, err := startServer(ctx, p, id)
		if err != nil {
			return false, err
		}
		defer sp.kill()
		servers[id] = sp
	}
	boxes, err := startBoxes(ctx, p, 1, address)
	defer func() { stopAll(boxes) }()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	results := make(chan bool, streamClients)
	for n := range streamClients {
		go func() {
			results <- p.readStream(ctx, boxes[0].front, fmt.Sprintf("5e%014x", n))
		}()
	}
	time.Sleep(killAfter)
	if p.trouble {
		id := p.rec.busiest()
		if servers[id] == nil {
			return false, errors.New("no server runs a stream")
		}
		p.rec.add("server %s crashes (SIGKILL)", id)
		servers[id].kill()
	}
	broken := false
	for range streamClients {
		broken = <-results || broken
	}

	return broken, nil
}

// readStream sends one request for a stream, and reports whether the stream ended as complete before its
// last piece.
func (p *play) readStream(ctx context.Context, address, id string) bool {
	c := &client{address: address, rec: p.rec}
	defer c.close()
	a := c.send(ctx, request{method: http.MethodPost, path: "/lohu930/2f", id: id, key: keptKey, tokens: fmt.Sprintf("100,%d", streamPieces)})
	last := "id: " + fmt.Sprint(streamPieces) + "\n"
	pieces := strings.Count(a.body, "id: ")
	p.rec.add("client got %d of %d events of %s", pieces, streamPieces, id)
	if a.err == nil && a.status == http.StatusOK && !strings.Contains(a.body, last) {
		p.rec.add("BROKEN: %s ended as complete after %d of %d events", id, pieces, streamPieces)

		return true
	}

	return false
}
