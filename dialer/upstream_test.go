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

// The cold and leaving headers of an upstream are reported with each result.
func TestStateHeaders(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 1, Cold: true, WarmAfter: 2, Latency: upstream.Latency{Base: time.Millisecond}})
	c := client(t)
	e := c.Do(context.Background(), search(addrOf(s)))
	wantResult(t, e, almondstep.CallDone)
	if !e.Cold {
		t.Error("got no cold header from a cold upstream")
	}
	_ = c.Do(context.Background(), search(addrOf(s)))
	if e = c.Do(context.Background(), search(addrOf(s))); e.Cold {
		t.Error("got a cold header from an upstream that has warmed up")
	}
	s.Drain(context.Background(), 0)
	e = c.Do(context.Background(), operation(addrOf(s), "late"))
	wantResult(t, e, almondstep.CallShed)
	if !e.Leaving {
		t.Error("got no leaving header from a leaving upstream")
	}
	if got, want := len(s.Ledger.Runs()), 0; got != want {
		t.Errorf("got %d operations run, want %d", got, want)
	}
}

func TestShed(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 1, Latency: upstream.Latency{Base: time.Minute}})
	c := client(t)
	ctx, cancel := context.WithCancel(context.Background())
	running := make(chan almondstep.CallResult)
	a := search(addrOf(s))
	a.Timeout = time.Hour
	go func() { running <- c.Do(ctx, a).Result }()
	for s.Counters().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	wantResult(t, c.Do(context.Background(), operation(addrOf(s), "x")), almondstep.CallShed)
	cancel()
	if got, want := <-running, almondstep.CallCanceled; got != want {
		t.Errorf("got result %d, want %d", got, want)
	}
	// The cancellation reaches the upstream, which frees the slot.
	for s.Counters().Canceled == 0 {
		time.Sleep(time.Millisecond)
	}
}

// A restart leaves dead idle connections. A request sent on one of them isn't
// sent again, and the next answer has the new boot.
func TestRestart(t *testing.T) {
	s := start(t, &upstream.Server{})
	c := client(t)
	before := c.Do(context.Background(), search(addrOf(s)))
	s.Restart(0)
	for s.Boot() == before.Boot {
		time.Sleep(time.Millisecond)
	}
	e := c.Do(context.Background(), operation(addrOf(s), "after"))
	wantResult(t, e, almondstep.CallDone)
	if got, want := e.Boot, s.Boot(); got != want || !e.Cold {
		t.Errorf("got boot %q cold %t, want %q true", got, e.Cold, want)
	}
}

// An answer larger than the limit isn't kept in memory, and counts as an error
// of the upstream.
func TestAnswerBound(t *testing.T) {
	u := startRaw(t, func(_, _ int, c net.Conn) bool {
		reply(c, emptyAnswer+string(make([]byte, 2000)))
		return true
	})
	c := &dialer.Client{MaxAnswerBytes: 1000}
	defer c.Close()
	wantResult(t, c.Do(context.Background(), search(u.addr)), almondstep.CallRejected)
}

// The pool of an upstream that isn't used any more is evicted.
func TestEviction(t *testing.T) {
	gone, used := start(t, &upstream.Server{}), start(t, &upstream.Server{})
	c := &dialer.Client{EvictAfter: 20 * time.Millisecond}
	defer c.Close()
	_ = c.Do(context.Background(), search(addrOf(gone)))
	for c.Pools() > 0 {
		_ = c.Do(context.Background(), search(addrOf(used)))
		if c.Pools() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	wantResult(t, c.Do(context.Background(), search(addrOf(used))), almondstep.CallDone)
}

func TestClosed(t *testing.T) {
	s := start(t, &upstream.Server{})
	c := &dialer.Client{}
	c.Close()
	wantResult(t, c.Do(context.Background(), search(addrOf(s))), almondstep.CallRefused)
}

// A request that times out before it gets a connection is never sent, and
// doesn't count as refused by the upstream: that would be evidence of a crash.
func TestTimeoutBeforeConnection(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 8, Latency: upstream.Latency{Base: time.Minute}})
	c := client(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	first := search(addrOf(s))
	first.Connections, first.Timeout = 1, time.Hour
	go func() {
		defer close(ended)
		_ = c.Do(ctx, first)
	}()
	for s.Counters().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	a := operation(addrOf(s), "waits")
	a.Connections, a.Timeout = 1, 50*time.Millisecond
	wantResult(t, c.Do(context.Background(), a), almondstep.CallTimeout)
	if got, want := len(s.Ledger.Runs()), 0; got != want {
		t.Errorf("got %d operations run, want %d", got, want)
	}
	cancel()
	<-ended
}

// One call on an open connection over real sockets; the figures include the stand-in
// upstream's work.
func BenchmarkDo(b *testing.B) {
	s := start(b, &upstream.Server{Slots: 64})
	c := client(b)
	a := search(addrOf(s))
	b.ReportAllocs()
	for b.Loop() {
		if e := c.Do(context.Background(), a); e.Result != almondstep.CallDone {
			b.Fatalf("got result %d", e.Result)
		}
	}
}
