package starter_test

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
	"sync"
	"syscall"
	"testing"
	"time"

	"almondstep"
	"almondstep/embedder"
	"almondstep/examples"
	"almondstep/server"
	"almondstep/standin/upstream"
	"almondstep/starter"
)

// asDaemon is the environment variable that makes the test binary run as the
// daemon program.
const asDaemon = "ALMONDSTEP_TEST_AS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(asDaemon) != "" {
		os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a daemon that runs as a process of its own.
type process struct {
	vm        almondstep.DaemonID
	zone      almondstep.ZoneName
	callers   string
	operators string
	peers     string
	settings  string
	cmd       *exec.Cmd
	log       bytes.Buffer
}

// lastTriedPort is the last port that freePort tried. The ports lie below the system's
// ephemeral ports, so that a restarted daemon's port is still free. Each test process
// starts at another port, so that concurrent test processes don't reach each other's
// daemons.
var lastTriedPort = 20_000 + os.Getpid()%portSpans*portSpan

const (
	// portSpan is the number of ports that one test process uses at most.
	portSpan = 100
	// portSpans is the number of such ranges of ports.
	portSpans = 110
)

// freePort returns an address that is not in use and was not returned before.
func freePort(t *testing.T) string {
	t.Helper()
	const last = 32_000
	for lastTriedPort < last {
		lastTriedPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastTriedPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

func newProcess(t *testing.T, i int, zone almondstep.ZoneName, platform string) *process {
	t.Helper()
	p := &process{
		vm:        almondstep.DaemonID(fmt.Sprintf("vm-%d", i)),
		zone:      zone,
		callers:   freePort(t),
		operators: freePort(t),
		peers:     freePort(t),
		settings:  filepath.Join(t.TempDir(), "settings.json"),
	}
	body, err := json.Marshal(struct {
		VM              almondstep.DaemonID `json:"vm"`
		Zone            almondstep.ZoneName `json:"zone"`
		PlatformAddress string              `json:"platformAddress"`
		ListenCallers   string              `json:"listenCallers"`
		ListenOperators string              `json:"listenOperators"`
		ListenPeers     string              `json:"listenPeers"`
		ReadyDelay      string              `json:"readyDelay"`
		TrafficThreads  int                 `json:"trafficThreads"`
		LogLevel        string              `json:"logLevel"`
	}{p.vm, zone, platform, p.callers, p.operators, p.peers, "500ms", 2, "warn"})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.settings, body, 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(os.Args[0], "--settings", p.settings)
	p.cmd.Env = append(os.Environ(), asDaemon+"=1")
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// terminate requests a graceful shutdown and waits for the process to exit.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("%s ended with %v:\n%s", p.vm, err, p.log.String())
	}
}

func (p *process) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.callers + server.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balancer sends requests in turn to the daemons that were ready at its last poll, as
// the platform's load balancer does.
type balancer struct {
	processes []*process
	client    *http.Client
	mu        sync.Mutex
	ready     []*process
	calls     int
}

const balancerPoll = 50 * time.Millisecond

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*process
		for _, p := range b.processes {
			if p.ready() {
				ready = append(ready, p)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(balancerPoll):
		}
	}
}

func (b *balancer) next() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.calls++
	return b.ready[b.calls%len(b.ready)]
}

func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// search sends one search and returns its answer.
func (b *balancer) search(ctx context.Context) (*almondstep.Answer, error) {
	p := b.next()
	if p == nil {
		return nil, fmt.Errorf("no daemon is ready")
	}
	body, _ := json.Marshal(server.SearchRequest{
		Scheme: "dns", Name: "billing.roastery.example", Tenant: "growers", Class: "routine", Text: "walnut", Limit: 5,
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+server.PathSearch, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.vm, err)
	}
	defer resp.Body.Close()
	var a almondstep.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, fmt.Errorf("%s: %w", p.vm, err)
	}
	return &a, nil
}

// startProcesses starts a platform, upstreams and perZone daemon processes in
// each zone, and waits until all are ready.
func startProcesses(t *testing.T, perZone int) (*embedder.Fleet, *balancer) {
	t.Helper()
	zones := []almondstep.ZoneName{"curico-plant", "rengo-depot", "chillan-yard"}
	latency := upstream.Latency{Base: 500 * time.Microsecond, Spread: 500 * time.Microsecond}
	set := &embedder.Fleet{Zones: zones, Seed: 1, Shapes: []embedder.ServiceShape{
		{Service: "billing-office", Servers: 9, Records: 60, Slots: 3, Connections: 110, Latency: latency},
	}}
	if err := set.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Stop)
	b := &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	fleet := set.Platform.Fleet()
	for i := range perZone * len(zones) {
		p := newProcess(t, i, zones[i%len(zones)], set.PlatformAddress())
		b.processes = append(b.processes, p)
		fleet.Daemons = append(fleet.Daemons, almondstep.DaemonVM{
			ID: p.vm, Addr: almondstep.Address(p.peers), Zone: p.zone, State: almondstep.VMLive,
		})
	}
	set.Platform.SetFleet(fleet)
	apply(t, set, 0, examples.Roastery)
	for _, p := range b.processes {
		p.start(t)
	}
	go b.run(t.Context())
	wait(t, "all daemons ready", func() bool { return b.readyCount() == len(b.processes) })
	return set, b
}

// wait polls until a condition holds; it fails the test after a minute.
func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	waitUpTo(t, time.Minute, what, holds)
}

// waitUpTo polls until a condition holds; it fails the test after timeout.
func waitUpTo(t *testing.T, timeout time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// tally counts incomplete answers by outcome, code and missing shards' reasons.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally { return &tally{counts: make(map[string]int)} }

func (y *tally) add(a *almondstep.Answer) {
	why := string(a.Outcome) + " " + string(a.Code)
	for _, m := range a.Coverage.Missing {
		why += " " + string(m.Reason)
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.counts[why]++
}

// String lists the counts.
func (y *tally) String() string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return fmt.Sprint(y.counts)
}
