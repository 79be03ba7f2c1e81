package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/slatebridge/slatebridge/platform/standin"
)

const (
	// statusPort is the port at which each box serves its status, so that each needs an address of its own.
	statusPort = 9464
	// readyTimeout bounds how long the boxes may take to become ready.
	readyTimeout = 40 * time.Second
)

// boxProcess is a running slatebridge-box.
type boxProcess struct {
	name, ip, front, ready string
	file, settingsText     string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// world is a small deployment: a stand-in of the platform, and boxes in three halls.
type world struct {
	program string
	dir     string
	fleet   *standin.Fleet
	store   string
	subnet  string
	boxes   []*boxProcess
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// newWorld starts a stand-in of the platform without servers and boxes.
func newWorld(program, record string) (*world, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "slatebridge-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: path, dir: dir, record: file, began: time.Now(), subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	if w.store, err = freeAddress(w.ip(250)); err != nil {
		return nil, err
	}
	w.fleet = standin.NewFleet(w.store, func(address string) net.Listener {
		ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			panic(err)
		}

		return ln
	})

	return w, nil
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.subnet, host) }

// freeAddress returns an address at the IP whose port is free.
func freeAddress(ip string) (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()

	return ln.Addr().String(), nil
}

// note writes a line into the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// addServer starts a stand-in of a server; kind is empty for a plain one.
func (w *world) addServer(host int, service, hall, kind string) (*standin.Server, error) {
	address, err := freeAddress(w.ip(host))
	if err != nil {
		return nil, err
	}

	return w.fleet.Add(&standin.Server{ID: fmt.Sprintf("i-%s-%d", service, host), Service: service, Hall: hall, AcceleratorKind: kind, Address: address}), nil
}

// startBoxes starts boxes in the halls and waits until all are ready.
func (w *world) startBoxes(halls ...string) error {
	var seeds []string
	for i := range halls {
		seeds = append(seeds, fmt.Sprintf("%q", w.ip(i+1)+":1"))
	}
	for i, hall := range halls {
		b, err := w.startBox(i, hall, strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		w.boxes = append(w.boxes, b)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, b := range w.boxes {
		for !b.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready", b.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("%d boxes are ready", len(w.boxes))

	return nil
}

func (w *world) startBox(i int, hall, seeds string) (*boxProcess, error) {
	b := &boxProcess{name: fmt.Sprintf("front-%s-%d", hall, i+1), ip: w.ip(i + 1)}
	var err error
	if b.front, err = freeAddress(b.ip); err != nil {
		return nil, err
	}
	if b.ready, err = freeAddress(b.ip); err != nil {
		return nil, err
	}
	if ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", b.ip, statusPort)); err != nil {
		return nil, err
	} else if err := ln.Close(); err != nil {
		return nil, err
	}
	b.file = filepath.Join(w.dir, b.name+".toml")
	b.settingsText = w.settings(b, hall, seeds)
	if err := os.WriteFile(b.file, []byte(b.settingsText), 0o600); err != nil {
		return nil, err
	}

	return b, w.start(b)
}

// start starts the process of a box.
func (w *world) start(b *boxProcess) error {
	log, err := os.OpenFile(filepath.Join(w.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	b.exited = make(chan struct{})
	b.cmd = exec.CommandContext(context.Background(), w.program)
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SLATEBRIDGE_NODE_FILE=" + b.file}
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(b.cmd, b.exited)

	return nil
}

// restartAll kills all boxes at the same time and starts them again after the given time.
func (w *world) restartAll(down time.Duration) error {
	for _, b := range w.boxes {
		if err := b.cmd.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, b := range w.boxes {
		<-b.exited
	}
	w.note("all boxes were killed")
	time.Sleep(down)
	for _, b := range w.boxes {
		if err := os.WriteFile(b.file, []byte(strings.Replace(b.settingsText, "bootstrap = true", "bootstrap = false", 1)), 0o600); err != nil {
			return err
		}
		if err := w.start(b); err != nil {
			return err
		}
	}
	w.note("all boxes were started again")

	return nil
}

// settings returns the settings file of a box, with the figures of a small deployment.
func (w *world) settings(b *boxProcess, hall, seeds string) string {
	return fmt.Sprintf(`node_name = %q
role = "box"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
internal_port_range = [7340, 7355]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revoke_ms = 5000
strict_revocation = true
retry_budget_ratio = 0.2
retry_budget_extra = 202
budget_window_s = 10
recovery_s = 12
[platform]
address = %q
`, b.name, b.ip, hall, seeds, b.front, b.ready, w.store)
}

// isReady asks for the readiness of the box as the platform does.
func (b *boxProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.ready+"/api/readiness", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// running reports whether the process of the box runs.
func (b *boxProcess) running() bool {
	select {
	case <-b.exited:
		return false
	default:
		return true
	}
}

// close ends all processes that were started.
func (w *world) close() {
	for _, b := range w.boxes {
		if b.running() {
			_ = b.cmd.Process.Signal(syscall.SIGKILL)
			<-b.exited
		}
	}
	w.fleet.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
