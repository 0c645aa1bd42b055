package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

const (
	modelSlots   = 4
	modelService = 2 * time.Millisecond
	// modelCapacity is the maximum number of requests per second that the
	// server completes.
	modelCapacity = modelSlots / 0.002
)

func realLimiter() decider { return limiter.New(limiter.Config{Seed: 1}) }

// Three times the capacity is offered for five seconds, then 0.7 of it: most of
// the capacity is used during the overload, and from a second after it nearly
// everything is answered. A plain queue doesn't recover.
func TestOverloadRecovers(t *testing.T) {
	run := func(d decider) *model {
		m := newModel(1, []decider{d}, modelSlots, modelService)
		m.offer(0.7*modelCapacity, 2*time.Second)
		m.runUntil(almondstep.Instant(2 * time.Second))
		m.offer(3*modelCapacity, 5*time.Second)
		m.runUntil(almondstep.Instant(7 * time.Second))
		m.offer(0.7*modelCapacity, 8*time.Second)
		m.runUntil(almondstep.Instant(15 * time.Second))
		return m
	}
	m := run(realLimiter())
	plain := run(newFixedLimiter(modelSlots))
	during := m.goodput(3*time.Second, 7*time.Second)
	after := m.goodput(8*time.Second, 15*time.Second)
	t.Logf("limiter: %.0f/s of %.0f/s during, %.0f/s of %.0f/s after, %d of %d starts wasted", during, modelCapacity, after, 0.7*modelCapacity, m.wasted(), m.starts)
	t.Logf("plain queue: %.0f/s during, %.0f/s after, %d of %d starts wasted",
		plain.goodput(3*time.Second, 7*time.Second), plain.goodput(8*time.Second, 15*time.Second), plain.wasted(), plain.starts)
	if want := 0.8 * modelCapacity; during < want {
		t.Errorf("got %.0f/s during the overload, want at least %.0f/s", during, want)
	}
	if want := 0.95 * 0.7 * modelCapacity; after < want {
		t.Errorf("got %.0f/s from a second after it, want at least %.0f/s", after, want)
	}
	if got, want := m.wasted(), m.starts/50; got > want {
		t.Errorf("got %d starts that ended too late, want at most %d", got, want)
	}
	if got, want := plain.goodput(8*time.Second, 10*time.Second), 0.1*modelCapacity; got > want {
		t.Errorf("the plain queue did %.0f/s after the overload, so the comparison is not meaningful", got)
	}
}

// coldServer describes a server that restarts without notice under load.
type coldServer struct {
	name        string
	round       int
	restartTime time.Duration
	reportsCold bool
}

// coldResult is the result of one run with a restarting server.
type coldResult struct {
	// over is the maximum by which the running requests exceeded the capacity
	// of the cold server.
	over    int
	crashes int
	// warm is the time from the end of the restart until the server was warm,
	// -1 if it never was.
	warm    time.Duration
	goodput float64
}

func runColdRestart(seed uint64, k coldServer, daemons []decider) coldResult {
	m := newModel(seed, daemons, modelSlots, modelService)
	m.server.round, m.server.restartTime, m.server.reportsCold = k.round, k.restartTime, k.reportsCold
	m.offer(0.7*modelCapacity, 10*time.Second)
	m.runUntil(almondstep.Instant(2 * time.Second))
	m.restart()
	m.runUntil(almondstep.Instant(10 * time.Second))
	c := coldResult{over: m.server.peakOver, crashes: m.server.crashes, warm: -1}
	if m.server.warmAt > 0 {
		c.warm = m.server.warmAt.Sub(m.server.downUntil).Round(time.Millisecond)
	}
	c.goodput = m.goodput(2*time.Second, 10*time.Second)
	return c
}

func (c coldResult) String() string {
	return fmt.Sprintf("%d | %d | %v | %.0f", c.over, c.crashes, c.warm, c.goodput)
}

// A server restarts without notice under load. A single owner raises the load one
// request at a time and never crashes the server; with separate limits at each of
// many daemons the server crashes.
func TestColdRestartUnderLoad(t *testing.T) {
	kinds := []coldServer{
		{"warms in 12 answers", 4, 500 * time.Millisecond, false},
		{"warms in 192 answers", 64, 500 * time.Millisecond, false},
		{"warms in 192 answers, back at once", 64, 0, false},
		{"warms in 192 answers and says so", 64, 500 * time.Millisecond, true},
	}
	crashesElsewhere := 0
	for _, k := range kinds {
		t.Logf("| %s | one owner | 1 | %v |", k.name, checkOwner(t, k))
		for _, n := range []int{3, 122} {
			local := runColdRestart(1, k, makeDeciders(n, func(i int) decider { return limiter.New(limiter.Config{Seed: uint64(i)}) }))
			static := runColdRestart(1, k, makeDeciders(n, func(int) decider { return newFixedLimiter(max(1, modelSlots/n)) }))
			t.Logf("| %s | limits at each daemon | %d | %v |", k.name, n, local)
			t.Logf("| %s | static slot split | %d | %v |", k.name, n, static)
			crashesElsewhere += local.crashes + static.crashes
		}
	}
	if crashesElsewhere == 0 {
		t.Error("no other policy crashed the server, so the comparison is not meaningful")
	}
}

// checkOwner checks a single owner over several seeds and returns the result of
// the first. The owner may exceed the capacity by one request, since it detects the
// capacity by that, unless the server reports that it is cold.
func checkOwner(t *testing.T, k coldServer) coldResult {
	maxOver := 1
	if k.reportsCold {
		maxOver = 0
	}
	const seeds = 10
	for seed := uint64(1); seed <= seeds; seed++ {
		c := runColdRestart(seed, k, []decider{realLimiter()})
		if c.over > maxOver || c.crashes > 0 {
			t.Errorf("%s, seed %d: got %d over its capacity and %d crashes, want at most %d and 0", k.name, seed, c.over, c.crashes, maxOver)
		}
		if c.warm < 0 || c.warm > 3*time.Second {
			t.Errorf("%s, seed %d: got warm after %v, want 0s to 3s", k.name, seed, c.warm)
		}
	}
	return runColdRestart(1, k, []decider{realLimiter()})
}

func makeDeciders(n int, one func(i int) decider) []decider {
	var all []decider
	for i := range n {
		all = append(all, one(i))
	}
	return all
}

// A service whose usual latency is more than half of the deadline is still
// served: at half of its capacity nearly all items are answered in time.
func TestLatencyNearDeadline(t *testing.T) {
	const service = 25 * time.Millisecond
	capacity := modelSlots / service.Seconds()
	m := newModel(1, []decider{realLimiter()}, modelSlots, service)
	m.offer(0.5*capacity, 10*time.Second)
	m.runUntil(almondstep.Instant(10 * time.Second))
	got := m.goodput(5*time.Second, 10*time.Second)
	if want := 0.9 * 0.5 * capacity; got < want {
		t.Errorf("got %.0f/s, want at least %.0f/s", got, want)
	}
}
