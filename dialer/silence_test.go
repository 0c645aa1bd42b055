package dialer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"almondstep"
	"almondstep/dialer"
	"almondstep/standin/upstream"
)

// openConnections opens up to n connections with concurrent requests, which
// overlap through the upstream's latency, and leaves them idle.
func openConnections(t *testing.T, c *dialer.Client, addr almondstep.Address, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { wantResult(t, c.Do(context.Background(), search(addr)), almondstep.CallDone) })
	}
	wg.Wait()
}

// All open connections become silent. The overdue searches are abandoned long
// before their deadline, and later ones use fresh connections.
func TestSilentConnections(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 8, Latency: upstream.Latency{Base: 5 * time.Millisecond}})
	c := client(t)
	openConnections(t, c, addrOf(s), 4)
	s.SilenceOpen()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			a := search(addrOf(s))
			a.Timeout = time.Hour
			// One that finds no idle connection left is answered on a fresh one.
			if got := c.Do(context.Background(), a).Result; got != almondstep.CallTimeout && got != almondstep.CallDone {
				t.Errorf("got result %d, want a timeout or an answer", got)
			}
		})
	}
	wg.Wait()
	openConnections(t, c, addrOf(s), 4)
	if got, want := s.Counters().PeakConnections, search(addrOf(s)).Connections; got > want {
		t.Errorf("got %d connections at once, want at most %d", got, want)
	}
}

// A peer that stops reading and answering on a working connection, without
// closing it, is detected through a probe on a fresh connection.
func TestPeerStopsReading(t *testing.T) {
	u := startRaw(t, func(conn, request int, c net.Conn) bool {
		if conn == 1 && request == 2 {
			return false
		}
		reply(c, emptyAnswer)
		return true
	})
	c := client(t)
	a := search(u.addr)
	a.Timeout = time.Hour
	wantResult(t, c.Do(context.Background(), a), almondstep.CallDone)
	wantResult(t, c.Do(context.Background(), a), almondstep.CallTimeout)
	wantResult(t, c.Do(context.Background(), a), almondstep.CallDone)
	// The third search used the probe's connection, kept as the spare.
	if got, want := u.connections(), 2; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	if got, want := u.calls(), 3; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// The connections of an upstream that is slow on all of them aren't considered
// silent, because the probe isn't answered either.
func TestSlowIsNotSilent(t *testing.T) {
	const answered = 1
	total := 0
	var mu sync.Mutex
	release := make(chan struct{})
	u := startRaw(t, func(_, _ int, c net.Conn) bool {
		mu.Lock()
		total++
		n := total
		mu.Unlock()
		if n > answered {
			<-release
		}
		reply(c, emptyAnswer)
		return true
	})
	c := client(t)
	c.DialTimeout = 50 * time.Millisecond
	a := search(u.addr)
	wantResult(t, c.Do(context.Background(), a), almondstep.CallDone)
	go func() {
		for u.connections() < 2 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		close(release)
	}()
	wantResult(t, c.Do(context.Background(), a), almondstep.CallDone)
}

// An operation is never sent on a connection that may be silent, and is never
// abandoned for being overdue.
func TestOperationOnFreshConnection(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 8, Latency: upstream.Latency{Base: 5 * time.Millisecond}})
	c := client(t)
	openConnections(t, c, addrOf(s), 4)
	s.SilenceOpen()
	wantResult(t, c.Do(context.Background(), operation(addrOf(s), "a")), almondstep.CallDone)
	if got, want := s.Ledger.Runs()["enter a"], 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// A slow operation is waited for until its deadline.
func TestSlowOperation(t *testing.T) {
	s := start(t, &upstream.Server{Latency: upstream.Latency{Base: 300 * time.Millisecond}})
	c := client(t)
	wantResult(t, c.Do(context.Background(), operation(addrOf(s), "slow")), almondstep.CallDone)
}

// The number of connections never exceeds what the upstream accepts, even if
// all of them are idle and an operation needs a fresh one.
func TestConnectionLimit(t *testing.T) {
	const connections = 2
	s := start(t, &upstream.Server{Slots: 8, Connections: connections, Latency: upstream.Latency{Base: 5 * time.Millisecond}})
	c := client(t)
	do := func(a *almondstep.StartAttempt) {
		a.Connections = connections
		wantResult(t, c.Do(context.Background(), a), almondstep.CallDone)
	}
	for range 3 {
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() { do(search(addrOf(s))) })
		}
		wg.Wait()
		do(operation(addrOf(s), "fresh"))
	}
	n := s.Counters()
	if got, want := n.PeakConnections, connections; got > want || n.ConnectionsRefused > 0 {
		t.Errorf("got %d connections at once and %d refused, want at most %d and 0", got, n.ConnectionsRefused, want)
	}
}

// Silence is also detected by a search whose deadline comes before it is
// overdue: its timeout starts a probe, and the idle connections that have
// received nothing since are closed. Otherwise each of them would make one search
// time out.
func TestSilenceFoundByTimeout(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 8, Latency: upstream.Latency{Base: 10 * time.Millisecond}})
	c := client(t)
	const open = 6
	openConnections(t, c, addrOf(s), open)
	opened := s.Counters().Connections
	if opened < 3 {
		t.Fatalf("got %d connections, want at least 3 to silence", opened)
	}
	s.SilenceOpen()
	a := search(addrOf(s))
	a.Timeout = 40 * time.Millisecond
	wantResult(t, c.Do(context.Background(), a), almondstep.CallTimeout)
	for c.Idle(addrOf(s)) != 0 {
		time.Sleep(time.Millisecond)
	}
	for range open {
		wantResult(t, c.Do(context.Background(), search(addrOf(s))), almondstep.CallDone)
	}
}

// Silence is also detected when a request is canceled before it is overdue or
// times out, as the loser of a hedge is.
func TestSilenceFoundByCancel(t *testing.T) {
	s := start(t, &upstream.Server{Slots: 8, Latency: upstream.Latency{Base: 10 * time.Millisecond}})
	c := client(t)
	c.OverdueAfter = time.Hour
	const open = 6
	openConnections(t, c, addrOf(s), open)
	s.SilenceOpen()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Second, cancel)
	a := search(addrOf(s))
	a.Timeout = time.Hour
	wantResult(t, c.Do(ctx, a), almondstep.CallCanceled)
	for c.Idle(addrOf(s)) != 0 {
		time.Sleep(time.Millisecond)
	}
	for range open {
		wantResult(t, c.Do(context.Background(), search(addrOf(s))), almondstep.CallDone)
	}
}

// An abandoned straggler doesn't close connections that have received data
// since it was sent.
func TestStragglerKeepsSiblings(t *testing.T) {
	var mu sync.Mutex
	slow := false
	u := startRaw(t, func(conn, _ int, c net.Conn) bool {
		mu.Lock()
		hold := slow && conn == 1
		slow = false
		mu.Unlock()
		if hold {
			return false
		}
		reply(c, emptyAnswer)
		return true
	})
	c := client(t)
	wantResult(t, c.Do(context.Background(), search(u.addr)), almondstep.CallDone)
	mu.Lock()
	slow = true
	mu.Unlock()
	straggler := make(chan almondstep.CallResult)
	go func() { straggler <- c.Do(context.Background(), search(u.addr)).Result }()
	for u.calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	// This one uses a second connection, which receives data meanwhile.
	wantResult(t, c.Do(context.Background(), search(u.addr)), almondstep.CallDone)
	if got, want := <-straggler, almondstep.CallTimeout; got != want {
		t.Errorf("got result %d, want %d", got, want)
	}
	wantResult(t, c.Do(context.Background(), search(u.addr)), almondstep.CallDone)
	// The first, the second and the probe's.
	if got, want := u.connections(), 3; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	if got, want := c.Idle(u.addr), 1; got != want {
		t.Errorf("got %d idle connections besides the spare, want %d", got, want)
	}
}

// A peer accepts connections and never reads: an operation too large for the
// socket buffers ends at its deadline, with its outcome unknown.
func TestPeerNeverReads(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a := operation(almondstep.Address(ln.Addr().String()), string(make([]byte, 16<<20)))
	a.Timeout = 200 * time.Millisecond
	wantResult(t, client(t).Do(context.Background(), a), almondstep.CallTimeout)
}
