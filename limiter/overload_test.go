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
	// modelCapacity is what the server does in a second at best.
	modelCapacity = modelSlots / 0.002
)

func ours() decider { return limiter.New(limiter.Config{Seed: 1}) }

// Three times the load for five seconds and then 0.7 of the capacity again:
// nearly the whole capacity is put to use meanwhile, and what is offered
// after is answered within a second. A plain queue doesn't recover.
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
	m := run(ours())
	plain := run(newSplit(modelSlots))
	during := m.goodput(3*time.Second, 7*time.Second)
	after := m.goodput(8*time.Second, 15*time.Second)
	t.Logf("ours: %.0f/s of %.0f/s during, %.0f/s of %.0f/s after, %d of %d starts wasted", during, modelCapacity, after, 0.7*modelCapacity, m.wasted(), m.starts)
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
		t.Errorf("the plain queue did %.0f/s after the overload, so this shows nothing", got)
	}
}

// coldServer is a kind of server that restarts without warning under load.
type coldServer struct {
	name  string
	round int
	away  time.Duration
	tells bool
}

// coldTrial says how a server and its callers fared.
type coldTrial struct {
	over    int
	falls   int
	warm    time.Duration
	goodput float64
}

func tryCold(seed uint64, k coldServer, daemons []decider) coldTrial {
	m := newModel(seed, daemons, modelSlots, modelService)
	m.server.round, m.server.away, m.server.tells = k.round, k.away, k.tells
	m.offer(0.7*modelCapacity, 10*time.Second)
	m.runUntil(almondstep.Instant(2 * time.Second))
	m.restart()
	m.runUntil(almondstep.Instant(10 * time.Second))
	c := coldTrial{over: m.server.peakOver, falls: m.server.falls, warm: -1}
	if m.server.warmAt > 0 {
		c.warm = m.server.warmAt.Sub(m.server.downTil).Round(time.Millisecond)
	}
	c.goodput = m.goodput(2*time.Second, 10*time.Second)
	return c
}

func (c coldTrial) String() string {
	return fmt.Sprintf("%d | %d | %v | %.0f", c.over, c.falls, c.warm, c.goodput)
}

// A server restarts without warning under load. One owner finds out what it
// bears one request at a time, and never makes it fall over; what is decided
// at each daemon for itself does.
func TestColdRestartUnderLoad(t *testing.T) {
	kinds := []coldServer{
		{"warms in 12 answers", 4, 500 * time.Millisecond, false},
		{"warms in 192 answers", 64, 500 * time.Millisecond, false},
		{"warms in 192 answers, back at once", 64, 0, false},
		{"warms in 192 answers and says so", 64, 500 * time.Millisecond, true},
	}
	fallsElsewhere := 0
	for _, k := range kinds {
		t.Logf("| %s | one owner | 1 | %v |", k.name, checkOwner(t, k))
		for _, n := range []int{3, 122} {
			local := tryCold(1, k, many(n, func(i int) decider { return limiter.New(limiter.Config{Seed: uint64(i)}) }))
			static := tryCold(1, k, many(n, func(int) decider { return newSplit(max(1, modelSlots/n)) }))
			t.Logf("| %s | limits at each daemon | %d | %v |", k.name, n, local)
			t.Logf("| %s | static slot split | %d | %v |", k.name, n, static)
			fallsElsewhere += local.falls + static.falls
		}
	}
	if fallsElsewhere == 0 {
		t.Error("no other policy made the server fall over, so this shows nothing")
	}
}

// checkOwner checks one owner over some seeds and gives the first trial. It has
// to try one request more to find out that it is too much, unless it is told.
func checkOwner(t *testing.T, k coldServer) coldTrial {
	most := 1
	if k.tells {
		most = 0
	}
	const seeds = 10
	for seed := uint64(1); seed <= seeds; seed++ {
		c := tryCold(seed, k, []decider{ours()})
		if c.over > most || c.falls > 0 {
			t.Errorf("%s, seed %d: got %d over what it bears and %d falls, want at most %d and 0", k.name, seed, c.over, c.falls, most)
		}
		if c.warm < 0 || c.warm > 3*time.Second {
			t.Errorf("%s, seed %d: got warm after %v, want at most 3s", k.name, seed, c.warm)
		}
	}
	return tryCold(1, k, []decider{ours()})
}

func many(n int, one func(i int) decider) []decider {
	var all []decider
	for i := range n {
		all = append(all, one(i))
	}
	return all
}

// A service whose usual latency is more than half of the deadline is served all
// the same: at half of its capacity nearly all get their answer in time.
func TestLatencyNearDeadline(t *testing.T) {
	const service = 25 * time.Millisecond
	capacity := modelSlots / service.Seconds()
	m := newModel(1, []decider{ours()}, modelSlots, service)
	m.offer(0.5*capacity, 10*time.Second)
	m.runUntil(almondstep.Instant(10 * time.Second))
	got := m.goodput(5*time.Second, 10*time.Second)
	if want := 0.9 * 0.5 * capacity; got < want {
		t.Errorf("got %.0f/s, want at least %.0f/s", got, want)
	}
}
