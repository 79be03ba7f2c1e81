package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/controller"
	"github.com/slatebridge/slatebridge/logstore"
)

// waitTimeout is the timeout of conditions that must become true. It only limits a failing test: no
// test depends on how soon they become true.
const waitTimeout = 60 * time.Second

// programDir is the directory of the programs that TestMain builds.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slatebridge-programs")
	if err != nil {
		panic(err)
	}
	programDir = dir
	build := exec.CommandContext(context.Background(), "go", "build", "-o", dir+"/", "github.com/slatebridge/slatebridge/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a hall with two boxes, four engines and one plain server, and the log and the member
// list of the platform, all as separate processes (two per box).
type cluster struct {
	t              *testing.T
	ip             string
	dir            string
	logAddr        string
	memberListAddr string
	plainAddr      string
	members        logstore.Membership
	callerAddrs    map[string]string
	operatorAddrs  map[string]string
	processes      map[string]*exec.Cmd
	// usedAddrs holds the addresses that freeAddr has returned.
	usedAddrs map[string]bool
}

// clusterCount is the number of clusters in this run. Each cluster has its own loopback IP address,
// so that no other process takes the ports that it has picked.
var clusterCount atomic.Int32

// freeAddr returns a free address that it has not returned before. Programs listen on their address
// some time after it was picked, and until then the system may assign the same port again.
func (c *cluster) freeAddr() string {
	c.t.Helper()
	for {
		addr := c.ephemeralAddr()
		if !c.usedAddrs[addr] {
			c.usedAddrs[addr] = true

			return addr
		}
	}
}

// ephemeralAddr returns an address with a port that the system has assigned and that is free again.
// It holds syscall.ForkLock, because a process that is forked meanwhile inherits the open socket
// and keeps the port in use until it executes its program.
func (c *cluster) ephemeralAddr() string {
	c.t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var cfg net.ListenConfig
	ln, err := cfg.Listen(c.t.Context(), "tcp", c.ip+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()

	return ln.Addr().String()
}

// TestFreeAddrDuringProcessStarts checks that a picked address can be listened on while other
// processes are started. A forked process that inherits the socket would keep the port in use.
func TestFreeAddrDuringProcessStarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	ctx, cancel := context.WithCancel(t.Context())
	var starts sync.WaitGroup
	for range 8 {
		starts.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, "true").Run()
			}
		})
	}
	for range 2000 {
		var cfg net.ListenConfig
		addr := c.freeAddr()
		ln, err := cfg.Listen(t.Context(), "tcp", addr)
		if err != nil {
			t.Error(err)

			break
		}
		_ = ln.Close()
	}
	cancel()
	starts.Wait()
}

// TestFreeAddrIsUnique checks that no address is picked twice. Without the check of usedAddrs, some
// of 1000 addresses drawn at random from about 14,000 ports would be equal.
func TestFreeAddrIsUnique(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	seen := make(map[string]bool)
	for range 1000 {
		addr := c.freeAddr()
		if seen[addr] {
			t.Fatalf("address %s was returned twice", addr)
		}
		seen[addr] = true
	}
}

// The second octet of a cluster's address keeps runs beside each other apart: boxes listen on ports that are the same
// on all machines.
const (
	firstSubnet = 20
	subnetCount = 230
)

// newCluster returns a cluster without processes.
func newCluster(t *testing.T) *cluster {
	t.Helper()

	return &cluster{
		t: t, dir: t.TempDir(), ip: fmt.Sprintf("127.%d.%d.177", firstSubnet+os.Getpid()%subnetCount, clusterCount.Add(1)),
		callerAddrs: make(map[string]string), operatorAddrs: make(map[string]string), processes: make(map[string]*exec.Cmd), usedAddrs: make(map[string]bool),
	}
}

func startCluster(t *testing.T, gatewayExtra string) *cluster {
	t.Helper()

	return startClusterWith(t, gatewayExtra, func(*cluster) {})
}

// startClusterWith is startCluster with a function that may add members to the list before anything reads it.
func startClusterWith(t *testing.T, gatewayExtra string, addMembers func(c *cluster)) *cluster {
	t.Helper()
	t.Parallel()
	c := newCluster(t)
	c.logAddr, c.memberListAddr, c.plainAddr = c.freeAddr(), c.freeAddr(), c.freeAddr()
	c.members.Servers = append(c.members.Servers, slatebridge.BackendServer{
		ID: "p", Hall: "h", Kind: slatebridge.PlainServer, Service: "refund", URL: "http://" + c.plainAddr, State: slatebridge.Live,
	})
	c.startProcess("log", "slatebridge-standin", "log", "--listen", c.logAddr)
	c.startProcess("p", "slatebridge-standin", "plain", "--listen", c.plainAddr)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		addr := c.freeAddr()
		c.members.Servers = append(c.members.Servers, slatebridge.BackendServer{
			ID: slatebridge.ServerID(id), Hall: "h", Kind: slatebridge.EngineServer, URL: "http://" + addr,
			State: slatebridge.Live, LayersPerMillisecond: 1, MaxLayers: 8, ChecksFencingTokens: true,
		})
		c.startProcess(id, "slatebridge-standin", "engine", "--listen", addr, "--id", id, "--speed", "1", "--checks-tokens")
	}
	addMembers(c)
	c.startBoxes(gatewayExtra)
	c.publishServices()

	return c
}

func (c *cluster) startBoxes(gatewayExtra string) {
	peers := map[string]string{"b1": c.freeAddr(), "b2": c.freeAddr()}
	gatewayPeers := map[string]string{"b1": c.freeAddr(), "b2": c.freeAddr()}
	for _, id := range []string{"b1", "b2"} {
		c.callerAddrs[id] = c.freeAddr()
		c.operatorAddrs[id] = c.freeAddr()
		c.members.Boxes = append(c.members.Boxes, slatebridge.Box{
			ID: slatebridge.BoxID(id), Hall: "h", State: slatebridge.Live,
			GatewayPeerURL: "http://" + gatewayPeers[id], ControllerPeerURL: "http://" + peers[id],
		})
	}
	c.startProcess("list", "slatebridge-standin", "members", "--listen", c.memberListAddr, "--file", c.writeJSON("members.json", c.members), "--lag", "0s")
	for id, other := range map[string]string{"b1": "b2", "b2": "b1"} {
		c.startProcess("ct-"+id, "slatebridge-controller", "--settings", c.writeText("ct-"+id, fmt.Sprintf(
			"box = %q\nhall = \"h\"\n[listen]\npeers = %q\noperators = %q\n[platform]\nlog = \"http://%s\"\nlist = \"http://%s\"\n",
			id, peers[id], c.operatorAddrs[id], c.logAddr, c.memberListAddr)))
		c.startProcess("gw-"+id, "slatebridge-gateway", "--settings", c.writeText("gw-"+id, fmt.Sprintf(
			"box = %q\nhall = \"h\"\ncontrollers = [\"http://%s\", \"http://%s\"]\n[listen]\ncallers = %q\npeers = %q\noperators = %q\n[platform]\nlog = \"http://%s\"\n[drain]\ngrace = \"100ms\"\n%s",
			id, peers[id], peers[other], c.callerAddrs[id], gatewayPeers[id], c.freeAddr(), c.logAddr, gatewayExtra)))
	}
}

func (c *cluster) writeJSON(name string, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}

	return c.writeText(name, string(data))
}

func (c *cluster) writeText(name, text string) string {
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}

	return file
}

// startProcess starts a process that is killed at the end of the test. If the test fails, the end
// of the process's standard error is logged.
func (c *cluster) startProcess(name, program string, args ...string) {
	cmd := exec.CommandContext(context.Background(), filepath.Join(programDir, program), args...)
	var out bytes.Buffer
	cmd.Stderr = &out
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes[name] = cmd
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", name, tail(out.String()))
		}
	})
}

func tail(s string) string {
	const maxBytes = 3000

	return s[max(0, len(s)-maxBytes):]
}

func (c *cluster) signal(name string, sig syscall.Signal) {
	if err := c.processes[name].Process.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
}

// stop stops a process, and returns once none of its threads runs any more: the kernel may take its time, and
// until then the process goes on.
func (c *cluster) stop(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGSTOP)
	c.eventually(name+" is stopped", func() bool { return isStopped(c.processes[name].Process.Pid) })
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	const stopped = "T"
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, file := range threads {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		// The state follows the name of the thread, which is in brackets.
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, stopped) {
			return false
		}
	}

	return true
}

// eventually waits until f returns true, and fails the test after waitTimeout.
func (c *cluster) eventually(condition string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", condition)
}

func (c *cluster) publishServices() {
	c.t.Helper()
	ops := fmt.Sprintf("name = \"test\"\ncontrollers = [\"http://%s\", \"http://%s\"]\n[platform]\nlog = \"http://%s\"\n", c.operatorAddrs["b1"], c.operatorAddrs["b2"], c.logAddr)
	settings := c.writeText("operator.toml", ops)
	file := c.writeText("declarations.toml", `
[[template]]
name = "chat"
kind = "model"
duplicates = "repeatable"
layers = 16
timeout = "60s"
[[template]]
name = "refund"
kind = "plain"
duplicates = "checked-by-router"
timeout = "60s"
[[account]]
name = "store"
requests_per_second = 1000
concurrency = 100
[[instance]]
name = "assistant"
account = "store"
template = "chat"
model = { model = "isle", version = "1" }
[[instance]]
name = "refunds"
account = "store"
template = "refund"
`)
	c.eventually("published", func() bool {
		return exec.CommandContext(context.Background(), filepath.Join(programDir, "slatebridge"), "--settings", settings, "publish", file).Run() == nil
	})
	c.eventually("both controllers report four loaded engines", func() bool {
		return len(c.status("b1").LoadedRanges) == 4 && len(c.status("b2").LoadedRanges) == 4
	})
	// The gateways get the controllers' snapshots by long polling, so they apply them later.
	c.eventually("both gateways serve chat requests", func() bool {
		for _, id := range []string{"b1", "b2"} {
			resp, err := c.post(context.Background(), id, "/v1/chat/completions", "", `{"model":"assistant","messages":[{"role":"user","content":"x"}],"max_tokens":1}`)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}

		return true
	})
}

func (c *cluster) status(id string) controller.Status {
	var s controller.Status
	_ = get("http://"+c.operatorAddrs[id]+"/v1/status", &s)

	return s
}

func get(url string, v any) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()

	return json.NewDecoder(resp.Body).Decode(v)
}

func (c *cluster) post(ctx context.Context, id, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callerAddrs[id]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Slatebridge-Account", "store")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}

	return http.DefaultClient.Do(req)
}

// answer is the response to a request, or an error.
type answer struct {
	status          int
	executionStatus string
	body            string
	err             error
}

func (c *cluster) request(id, path, key, body string) answer {
	resp, err := c.post(context.Background(), id, path, key, body)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)

	return answer{status: resp.StatusCode, executionStatus: resp.Header.Get("Slatebridge-Ran"), body: string(data), err: err}
}

// put sends a PUT request with a JSON body, which sets the faults of a stand-in.
func (c *cluster) put(url, body string) {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPut, url, bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (c *cluster) executions(key string) int {
	var runs map[string]int
	if err := get("http://"+c.plainAddr+"/v1/runs", &runs); err != nil {
		c.t.Fatal(err)
	}

	return runs[key]
}

// requireChat sends a chat request for the given number of tokens and checks the text of the
// answer.
func (c *cluster) requireChat(id string, tokens int, want string) {
	c.t.Helper()
	a := c.request(id, "/v1/chat/completions", "", fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"x"}],"max_tokens":%d}`, tokens))
	var got struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.body), &got); err != nil || len(got.Choices) != 1 || got.Choices[0].Message.Content != want {
		c.t.Errorf("status %d err %v\n%s", a.status, a.err, a.body)
	}
}

// busyEngine returns the ID of an engine with an active stream, or "" if there is none.
func (c *cluster) busyEngine() string {
	for _, l := range c.status("b1").LoadedRanges {
		if l.ActiveStreams > 0 {
			return string(l.Server)
		}
	}

	return ""
}
