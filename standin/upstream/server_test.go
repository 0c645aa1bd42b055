package upstream_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"almondstep"
	"almondstep/standin/upstream"
)

const call = `{"service":"intake-desk","shard":0,"of":1,"version":7,"text":"walnut","limit":5}`

func start(t *testing.T, s *upstream.Server) *upstream.Server {
	t.Helper()
	s.Address = "127.0.0.1:0"
	s.Data = &upstream.Dataset{Service: "intake-desk", Seed: 1, Records: 100}
	s.Holdings = []almondstep.Holding{{Version: 7, Of: 1, Shards: []uint32{0}}}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// send sends one call on a new connection; status 0 means no answer.
func send(t *testing.T, s *upstream.Server, body string, header http.Header) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address+"/v1/call", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		r.Header[k] = v
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

func wantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// A cold server takes one request at a time, and one more after each WarmAfter
// requests; if its capacity is never exceeded, it warms up without crashing.
func TestWarmUp(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 3, Cold: true, WarmAfter: 2, Latency: upstream.Latency{Base: time.Millisecond}})
	for i := range 6 {
		if got, want := s.State().Cold, true; got != want {
			t.Errorf("after %d answers: got cold %t, want %t", i, got, want)
		}
		status, _ := send(t, s, call, nil)
		wantStatus(t, status, http.StatusOK)
	}
	n := s.Counters()
	if s.State().Cold || n.Overruns != 0 || n.Crashes != 0 {
		t.Errorf("got cold %t, %d overruns, %d crashes, want a warm server and none", s.State().Cold, n.Overruns, n.Crashes)
	}
}

// A cold server crashes when its capacity is exceeded: all running requests are
// cut off, and it restarts cold as another boot.
func TestColdOverloadCrashes(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 3, Cold: true, Latency: upstream.Latency{Base: time.Minute}})
	boot := s.Boot()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			status, _ := send(t, s, call, nil)
			wantStatus(t, status, 0)
		})
	}
	wg.Wait()
	for s.Boot() == boot {
		time.Sleep(time.Millisecond)
	}
	n := s.Counters()
	if n.Overruns != 1 || n.PeakOverCold != 1 || n.Crashes != 1 || !s.State().Cold {
		t.Errorf("got %+v cold %t, want one overrun by one, one crash, and cold again", n, s.State().Cold)
	}
}

// A request with CrashText crashes the server, which refuses connections for the
// downtime and restarts on the same address.
func TestCrash(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 3, CrashText: "poison", CrashDowntime: 50 * time.Millisecond})
	boot := s.Boot()
	status, _ := send(t, s, strings.Replace(call, "walnut", "poison", 1), nil)
	wantStatus(t, status, 0)
	if c, err := net.Dial("tcp", s.Address); err == nil {
		_ = c.Close()
		if s.Boot() == boot {
			t.Error("got a connection while the server was down")
		}
	}
	for s.Boot() == boot {
		time.Sleep(time.Millisecond)
	}
	status, header := send(t, s, call, nil)
	wantStatus(t, status, http.StatusOK)
	if got, want := header.Get("Almondstep-Boot"), string(s.Boot()); got != want || header.Get("Almondstep-Cold") == "" {
		t.Errorf("got boot %q cold %q, want %q and a cold header", got, header.Get("Almondstep-Cold"), want)
	}
}

// A request that passes its deadline is stopped and releases its slot.
func TestDeadline(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 1, Latency: upstream.Latency{Base: time.Minute}})
	for range 2 {
		status, _ := send(t, s, call, http.Header{"Almondstep-Timeout-Millis": {"20"}})
		wantStatus(t, status, http.StatusGatewayTimeout)
	}
	if got, want := s.Counters().Expired, 2; got != want {
		t.Errorf("got %d expired, want %d", got, want)
	}
}

// Requests beyond the slots are shed, or wait if there is a queue.
func TestSlots(t *testing.T) {
	for queue, shed := range map[int]int{0: 2, 2: 0} {
		s := start(t, &upstream.Server{Slots: 1, Queue: queue, Latency: upstream.Latency{Base: 200 * time.Millisecond}})
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if status, header := send(t, s, call, nil); status != http.StatusOK && header.Get("Almondstep-Not-Run") == "" {
					t.Errorf("got status %d without the not-run header", status)
				}
			})
		}
		wg.Wait()
		if got, want := s.Counters().Shed, shed; got != want {
			t.Errorf("queue %d: got %d shed, want %d", queue, got, want)
		}
	}
}

// Switches are applied over HTTP: new holdings and a false state.
func TestSwitches(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 1})
	body := `{"holdings":[{"version":8,"of":1,"shards":[0]}],"falseState":{"boot":"lie","load":0.25}}`
	r, err := http.NewRequest(http.MethodPut, "http://"+s.Address+"/switches", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	for s.State().Holdings[0].Version != 8 {
		time.Sleep(time.Millisecond)
	}
	status, _ := send(t, s, call, nil)
	wantStatus(t, status, http.StatusConflict)
	r, _ = http.NewRequest(http.MethodGet, "http://"+s.Address+"/v1/state", nil)
	resp, err = transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var st upstream.State
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil || st.Boot != "lie" || st.Load != 0.25 {
		t.Errorf("got %+v, %v, want the false state", st, err)
	}
}
