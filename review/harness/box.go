package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// metricsPort is the port that the deploy file names for a box's figures.
	metricsPort = 9464
	// settleTime is how long a box may take to become ready.
	settleTime = 25 * time.Second
	hall       = "hall-a"
	pollPause  = 50 * time.Millisecond
	stopTime   = 12 * time.Second
)

// settingsText is the settings file of a box, with the fields and figures of the pages. The gaps are the
// address of the box, three ports, the address of the store, the number of the box and the seeds.
const settingsText = `node_name = "front-hall-a-%[6]d"
role = "box"
machine_class = "front"
serves = ["front","control"]
ip = "%[1]s"
zone = "hall-a"
region = "region-1"
internal_port_range = [%[2]d,%[2]d]
seeds = [%[7]s]
bootstrap = true
heartbeat_ms = 1200
[zones]
hall-a = "region-1"
[listen]
front = "%[1]s:%[3]d"
ready = "%[1]s:%[4]d"
control = "%[1]s:8229"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
addr_reuse_s = 2
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 202
stall_ms = 2500
require_fencing = true
[platform]
address = "%[5]s"
form = "log"
writes_per_s = 400
reads_per_s = 2000
`

// box is a running slatebridge-box.
type box struct {
	cmd *exec.Cmd
	// settings is the path of the settings file.
	settings string
	front    string
	ready    string
	log      *os.File
}

// freeIP returns the n-th loopback address on which the given port is free.
func freeIP(ctx context.Context, n, port int) (string, error) {
	for i := n; i < 200; i++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 70+os.Getpid()%100, 1+os.Getpid()/100%200, 1+i)
		if portFree(ctx, ip, port) {
			return ip, nil
		}
	}

	return "", errors.New("no loopback address is free")
}

func portFree(ctx context.Context, ip string, port int) bool {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}

	return ln.Close() == nil
}

// freePorts returns ports that are free on all of the addresses.
func freePorts(ctx context.Context, ips []string) ([]int, error) {
	const first, last, wanted = 21000, 29000, 3
	var ports []int
	for port := first + os.Getpid()%1000; port < last; port++ {
		if slices.ContainsFunc(ips, func(ip string) bool { return !portFree(ctx, ip, port) }) {
			continue
		}
		if ports = append(ports, port); len(ports) == wanted {
			return ports, nil
		}
	}

	return nil, errors.New("no ports are free")
}

// startBoxes starts boxes with the program of the deploy file, and waits until they are ready.
func startBoxes(ctx context.Context, p *play, n int, storeAddress string) ([]*box, error) {
	ips := make([]string, 0, n)
	for i := range n {
		ip, err := freeIP(ctx, i, metricsPort)
		if err != nil {
			return nil, err
		}
		ips = append(ips, ip)
	}
	ports, err := freePorts(ctx, ips)
	if err != nil {
		return nil, err
	}
	var boxes []*box
	for i := range ips {
		b, err := startBox(ctx, p, i, ips, ports, storeAddress)
		if err != nil {
			return boxes, err
		}
		boxes = append(boxes, b)
	}
	for _, b := range boxes {
		if err := b.awaitReady(ctx); err != nil {
			return boxes, err
		}
	}

	return boxes, nil
}

// startBox starts the i-th box.
func startBox(ctx context.Context, p *play, i int, ips []string, ports []int, storeAddress string) (*box, error) {
	seeds := make([]string, 0, len(ips))
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%q", ip+":8229"))
	}
	settings := filepath.Join(p.dir, fmt.Sprintf("box-%d.toml", i+1))
	text := fmt.Sprintf(settingsText, ips[i], ports[0], ports[1], ports[2], storeAddress, i+1, strings.Join(seeds, ","))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b := &box{settings: settings, front: fmt.Sprintf("%s:%d", ips[i], ports[1]), ready: fmt.Sprintf("%s:%d", ips[i], ports[2])}
	var err error
	if b.log, err = os.Create(filepath.Join(p.dir, fmt.Sprintf("box-%d.log", i+1))); err != nil {
		return nil, err
	}

	return b, b.restart(ctx, p)
}

// restart starts the process of the box.
func (b *box) restart(ctx context.Context, p *play) error {
	b.cmd = exec.CommandContext(ctx, p.program)
	b.cmd.Env = append(os.Environ(), "SLATEBRIDGE_NODE_FILE="+b.settings)
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log

	return b.cmd.Start()
}

func (b *box) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.ready+"/api/readiness", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollPause)
	}

	return errors.New("the box did not become ready")
}

// stopAll ends boxes as the platform does.
func stopAll(boxes []*box) {
	var wg sync.WaitGroup
	for _, b := range boxes {
		wg.Go(b.stop)
	}
	wg.Wait()
}

func (b *box) stop() {
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTime, func() { _ = b.cmd.Process.Kill() })
	_ = b.cmd.Wait()
	timer.Stop()
	_ = b.log.Close()
}
