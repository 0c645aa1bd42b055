package dialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"almondstep"
	"almondstep/dialer"
	"almondstep/standin/upstream"
)

const version = almondstep.Version(7)

// start runs a stand-in upstream that serves the only shard of its service.
func start(t testing.TB, s *upstream.Server) *upstream.Server {
	t.Helper()
	s.Address = "127.0.0.1:0"
	s.Data = &upstream.Dataset{Service: "intake-desk", Seed: 1, Records: 200}
	s.Holdings = []almondstep.Holding{{Version: version, Of: 1, Shards: []uint32{0}}}
	if s.Slots == 0 {
		s.Slots = 4
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func client(t testing.TB) *dialer.Client {
	t.Helper()
	c := &dialer.Client{OverdueAfter: 300 * time.Millisecond, DialTimeout: 5 * time.Second}
	t.Cleanup(c.Close)
	return c
}

func search(addr almondstep.Address) *almondstep.StartAttempt {
	return &almondstep.StartAttempt{
		Addr:        addr,
		Call:        1,
		Shard:       almondstep.NewShard("intake-desk", 0, 1),
		Version:     version,
		Text:        "walnut",
		Limit:       5,
		Idempotent:  true,
		Timeout:     5 * time.Second,
		Connections: 8,
	}
}

func operation(addr almondstep.Address, body string) *almondstep.StartAttempt {
	a := search(addr)
	a.Operation = "enter"
	a.Idempotent = false
	a.Text = body
	return a
}

func addrOf(s *upstream.Server) almondstep.Address { return almondstep.Address(s.Address) }

func wantResult(t *testing.T, e *almondstep.AttemptEnded, want almondstep.CallResult) {
	t.Helper()
	if got := e.Result; got != want {
		t.Errorf("got result %d, want %d", got, want)
	}
}

func TestDone(t *testing.T) {
	s := start(t, &upstream.Server{})
	e := client(t).Do(context.Background(), search(addrOf(s)))
	wantResult(t, e, almondstep.CallDone)
	total, records := s.Data.Search(version, "walnut", 5)
	if got, want := e.Total, total; got != want || len(e.Records) != len(records) {
		t.Errorf("got %d of %d records, want %d of %d", len(e.Records), got, len(records), want)
	}
	if got, want := e.Boot, s.Boot(); got != want || e.Leaving || e.Cold {
		t.Errorf("got boot %q leaving %t cold %t, want %q, false, false", got, e.Leaving, e.Cold, want)
	}
}

// The outcome of an operation is unknown if the upstream crashes while running it.
func TestBroken(t *testing.T) {
	s := start(t, &upstream.Server{CrashText: "crash"})
	wantResult(t, client(t).Do(context.Background(), operation(addrOf(s), "crash")), almondstep.CallBroken)
	if got, want := s.Ledger.Runs()["enter crash"], 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := almondstep.Address(ln.Addr().String())
	_ = ln.Close()
	wantResult(t, client(t).Do(context.Background(), search(addr)), almondstep.CallRefused)
}

func TestWrongVersion(t *testing.T) {
	s := start(t, &upstream.Server{})
	s.SetHoldings([]almondstep.Holding{{Version: 8, Of: 1, Shards: []uint32{0}}})
	e := client(t).Do(context.Background(), search(addrOf(s)))
	wantResult(t, e, almondstep.CallWrongVersion)
	if got, want := e.Version, almondstep.Version(8); got != want || e.Records != nil {
		t.Errorf("got version %d and %d records, want %d and none", got, len(e.Records), want)
	}
}

func TestTimeout(t *testing.T) {
	s := start(t, &upstream.Server{Latency: upstream.Latency{Base: time.Minute}})
	a := search(addrOf(s))
	a.Timeout = 50 * time.Millisecond
	wantResult(t, client(t).Do(context.Background(), a), almondstep.CallTimeout)
}

// A deadline of the caller's context is reported as a timeout, not as canceled.
func TestCallersDeadline(t *testing.T) {
	s := start(t, &upstream.Server{Latency: upstream.Latency{Base: time.Minute}})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	wantResult(t, client(t).Do(ctx, search(addrOf(s))), almondstep.CallTimeout)
}

// A request that finds its idle connection closed by the upstream, with nothing
// written, is sent on another connection.
func TestIdleConnectionClosed(t *testing.T) {
	u := startRaw(t, func(_, _ int, c net.Conn) bool {
		reply(c, emptyAnswer)
		_ = c.Close()
		return false
	})
	c := client(t)
	for range 20 {
		// The close of the previous connection may arrive before, while or after
		// the next request is written; only in the last two cases may the
		// result be CallBroken.
		if got := c.Do(context.Background(), search(u.addr)).Result; got != almondstep.CallDone && got != almondstep.CallBroken {
			t.Errorf("got result %d, want an answer or a broken connection", got)
		}
	}
}
