package starter_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/applier"
	"almondstep/embedder"
	"almondstep/examples"
	"almondstep/server"
)

var (
	costDaemons = flag.Int("costDaemons", 0, "measure the control cost of this many daemon processes")
	costFor     = flag.Duration("costFor", 20*time.Second, "how long to measure the control cost")
)

// upstreamsPerDaemon is the rounded number of upstreams per daemon at the design
// size: 5,600 upstreams and 730 daemons.
const upstreamsPerDaemon = 8

// TestControlCost measures the cost of idle daemons: CPU time, memory and bytes on
// the wire of each. It runs only if costDaemons is set:
//
//	go test ./starter -run ControlCost -v -args -costDaemons 24
//
// Bytes are those of the loopback device, headers included, so nothing else may
// use it during the test.
func TestControlCost(t *testing.T) {
	if *costDaemons == 0 {
		t.Skip("measures only with -costDaemons")
	}
	set, processes := startIdle(t, *costDaemons)
	time.Sleep(10 * time.Second)
	before, calls := usage(t, processes), set.Platform.Counts()
	time.Sleep(*costFor)
	after := usage(t, processes)
	n, s := float64(len(processes)), costFor.Seconds()
	later := set.Platform.Counts()
	total := 0
	for kind, count := range later {
		total += count - calls[kind]
	}
	t.Logf("daemons %d, upstreams listed %d", len(processes), len(processes)*upstreamsPerDaemon)
	t.Logf("cpu per daemon: %.2f %% of a core", 100*(after.cpu-before.cpu).Seconds()/s/n)
	t.Logf("memory per daemon: %.1f MB resident", float64(after.resident)/n/(1<<20))
	t.Logf("bytes per daemon, sent and received: %.0f B/s", 2*float64(after.bytes-before.bytes)/s/n)
	t.Logf("control messages, encoded, sent by a daemon: %.0f B/s", (after.messages-before.messages)/s/n)
	t.Logf("platform calls of the fleet: %.1f/s", float64(total)/s)
	logEditLatency(t, set, processes)
}

// startIdle starts n daemons over three zones with listed upstreams that don't
// run, and applies a configuration.
func startIdle(t *testing.T, n int) (*embedder.Fleet, []*process) {
	t.Helper()
	zones := []almondstep.ZoneName{"curico-plant", "rengo-depot", "chillan-yard"}
	set := &embedder.Fleet{Zones: zones}
	if err := set.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Stop)
	var processes []*process
	var fleet almondstep.Fleet
	for i := range n {
		p := newProcess(t, i, zones[i%len(zones)], set.PlatformAddress())
		processes = append(processes, p)
		fleet.Daemons = append(fleet.Daemons, almondstep.DaemonVM{
			ID: p.vm, Addr: almondstep.Address(p.peers), Zone: p.zone, State: almondstep.VMLive,
		})
	}
	shards := uint32(n * upstreamsPerDaemon / len(zones))
	for i := range n * upstreamsPerDaemon {
		fleet.Upstreams = append(fleet.Upstreams, almondstep.UpstreamVM{
			Addr: almondstep.Address(fmt.Sprintf("127.1.%d.%d:7", i/250, i%250)), Service: "intake-desk",
			Zone: zones[i%len(zones)], Boot: "b", State: almondstep.VMLive,
			Holdings: []almondstep.Holding{{Version: 1, Of: shards, Shards: []uint32{uint32(i) / 3 % shards}}},
		})
	}
	set.Platform.SetFleet(fleet)
	apply(t, set, 0, examples.Roastery)
	for _, p := range processes {
		p.start(t)
		t.Cleanup(func() {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		})
	}
	for _, p := range processes {
		wait(t, string(p.vm)+" ready", p.ready)
	}
	return set, processes
}

func apply(t *testing.T, set *embedder.Fleet, base almondstep.Revision, text []byte) *applier.Result {
	t.Helper()
	r, err := set.Apply(t.Context(), text, base, "test")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// logEditLatency logs the time until an edit is accepted and until it is in force on
// all daemons.
func logEditLatency(t *testing.T, set *embedder.Fleet, processes []*process) {
	t.Helper()
	const edits = 5
	for i := range edits {
		text := bytes.Replace(examples.Roastery, []byte(`"maxOpen": 200`), fmt.Appendf(nil, `"maxOpen": %d`, 201+i), 1)
		began := time.Now()
		r := apply(t, set, almondstep.Revision(i+1), text)
		accepted := time.Since(began)
		wait(t, "edit in force on all daemons", func() bool {
			for _, p := range processes {
				if revisionOf(p) < r.Revision {
					return false
				}
			}
			return true
		})
		t.Logf("edit %d accepted after %s, seen in force on all after %s", i+1,
			accepted.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	}
}

var statusClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

func revisionOf(p *process) almondstep.Revision {
	resp, err := statusClient.Get("http://" + p.operators + server.PathStatus)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s almondstep.DaemonStatus
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return 0
	}
	return s.Revision
}

// resourceUsage is the total usage of all daemons since their start. bytes are those
// sent over the loopback device, messages the bytes of encoded control messages.
type resourceUsage struct {
	cpu      time.Duration
	resident int
	bytes    int
	messages float64
}

func usage(t *testing.T, processes []*process) resourceUsage {
	t.Helper()
	var u resourceUsage
	u.bytes = loopbackBytes(t)
	for _, p := range processes {
		cpu, resident := processUsage(t, p.cmd.Process.Pid)
		u.cpu += cpu
		u.resident += resident
	}
	for _, p := range processes {
		u.messages += sentBytes(t, p)
	}
	return u
}

// processUsage reads the CPU time and the resident memory of a process.
func processUsage(t *testing.T, pid int) (time.Duration, int) {
	t.Helper()
	const ticksPerSecond, utime, stime, rss = 100, 11, 12, 21
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the program's name, which may contain spaces.
	fields := strings.Fields(string(body[bytes.LastIndexByte(body, ')')+1:]))
	number := func(i int) int {
		n, _ := strconv.Atoi(fields[i])
		return n
	}
	cpu := time.Duration(number(utime)+number(stime)) * time.Second / ticksPerSecond
	return cpu, number(rss) * os.Getpagesize()
}

// loopbackBytes reads the number of bytes that the loopback device has sent.
func loopbackBytes(t *testing.T) int {
	t.Helper()
	const sent = 8
	body, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(body)) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		if name == "lo" {
			n, _ := strconv.Atoi(strings.Fields(rest)[sent])
			return n
		}
	}
	t.Fatal("no loopback device")
	return 0
}

// sentBytes reads a daemon's count of encoded control messages.
func sentBytes(t *testing.T, p *process) float64 {
	t.Helper()
	resp, err := statusClient.Get("http://" + p.operators + server.PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(name, "almondstep_control_sent_bytes_total") {
			v, _ := strconv.ParseFloat(value, 64)
			sum += v
		}
	}
	return sum
}
