package allocator_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/allocator"
	"almondstep/scheduler"
)

// While daemons are lost or a region is cut off, most requests below the limit are still served: the
// lender's deputy and static fractions take over. At 0.5 of the limit, over 30 s after the fault.
func TestFaultsBelowLimit(t *testing.T) {
	for _, l := range []struct{ rate, burst float64 }{{2, 2}, {19, 19}} {
		for _, fault := range []string{"lender", "coordinator", "region", "restart"} {
			m := newModel(t, 10, 34, bounds(20), organisation(t, "o", l.rate, l.burst))
			m.load("o", 0.5*l.rate, m.everywhere)
			m.run(20 * time.Second)
			m.fault(fault)
			before := [4]int{len(m.granted["o"]), m.refused, m.unknown, int(m.lastID)}
			m.run(30 * time.Second)
			all := float64(int(m.lastID) - before[3])
			served := float64(len(m.granted["o"])-before[0]) / all
			t.Logf("rate %v, %s: %.3f served of %v, %d refused, %d undecided", l.rate, fault, served, all, m.refused-before[1], m.unknown-before[2])
			if served < 0.9 {
				t.Errorf("rate %v, %s: got %v served, want 0.9", l.rate, fault, served)
			}
		}
	}
}

// fault takes the coordinator or another lender away, cuts a region off, or restarts all daemons.
func (m *model) fault(what string) {
	switch what {
	case "lender", "coordinator":
		for _, n := range m.nodes {
			if n != m.coordinator && m.reporters[n.member.ID] && n.member.Region != m.coordinator.member.Region && what == "lender" {
				n.down = true
				return
			}
		}
		m.coordinator.down = true
	case "region":
		m.cut = func(a, b *node) bool { return (a.member.Region == "1") != (b.member.Region == "1") }
	case "restart":
		for _, n := range m.nodes {
			m.start(n)
		}
	}
}

// The fractions that lenders have by their last leases sum to at most 1, while demand moves between
// them and replies are lost. A larger fraction must wait until another lender has confirmed a smaller
// one.
func TestLeasedFractionsSumToOne(t *testing.T) {
	for seed := range uint64(200) {
		m := newModel(t, seed, 12, bounds(20), organisation(t, "o", 20, 20))
		m.run(3 * time.Second)
		c := m.coordinator
		if !m.reporters[c.member.ID] {
			m.reporters[c.member.ID] = true
		}
		ids := slices.Sorted(maps.Keys(m.reporters))
		// The coordinator runs alone from here on; its lenders are simulated.
		m.queue = scheduler.Queue[time.Duration]{}
		leases, lost := map[almondstep.DaemonID]almondstep.QuotaLease{}, map[almondstep.DaemonID]int{}
		for step := range 400 {
			m.now += 40 * time.Millisecond
			id := ids[step%len(ids)]
			report := almondstep.QuotaReport{From: id, Settled: true, Epoch: leases[id].Epoch, Lease: leases[id].Number}
			report.Demand = []almondstep.OrganisationShare{{Organisation: "o", Value: float64(m.rng.IntN(3)*m.rng.IntN(30)) + 0.1}}
			now := almondstep.Instant(float64(m.now) * c.speed)
			for _, f := range c.allocator.Reduce(now, c.view, &almondstep.QuotaReported{Report: report}, nil) {
				r, ok := f.(*almondstep.ReplyQuotaReport)
				if !ok || lost[id] < 2 && m.rng.IntN(3) == 0 {
					lost[id]++
					continue
				}
				leases[id], lost[id] = r.Lease, 0
			}
			sum := 0.0
			for _, id := range ids {
				for _, f := range leases[id].Fractions {
					sum += f.Value
				}
			}
			if sum > 1+1e-9 {
				t.Fatalf("seed %d, step %d: got fractions that sum to %v, want at most 1", seed, step, sum)
			}
		}
	}
}

// A region whose static fraction is lent to another doesn't use it until that loan has ended, 2 s
// after the region was cut off, and then does.
func TestLentFractionIsNotUsedAtOnce(t *testing.T) {
	const rate = 60.0
	m := newModel(t, 11, 12, bounds(0), organisation(t, "o", rate, 6))
	var cutOff []*node
	for _, n := range m.nodes {
		if n.member.Region == "1" {
			cutOff = append(cutOff, n)
		}
	}
	m.load("o", 10*rate, func() []*node {
		return slices.DeleteFunc(m.everywhere(), func(n *node) bool { return n.member.Region == "1" })
	})
	m.run(10 * time.Second)
	m.fault("region")
	m.run(1300 * time.Millisecond)
	m.load("o", 10*rate, func() []*node { return cutOff })
	granted := func(d time.Duration) int {
		before := 0
		for _, n := range cutOff {
			before += n.granted
		}
		m.run(d)
		after := 0
		for _, n := range cutOff {
			after += n.granted
		}
		return after - before
	}
	// The bucket holds 5 by its part of the surplus.
	if got, most := granted(500*time.Millisecond), 6; got > most {
		t.Errorf("got %d requests while the fraction is lent, want at most %d", got, most)
	}
	m.run(2 * time.Second)
	if got, least := granted(5*time.Second), int(rate/3*5*0.9); got < least {
		t.Errorf("got %d requests after that, want at least %d", got, least)
	}
}

// A region that is cut off from the store too stops after 40 s, since the others may have divided the
// limit among themselves by then; the store's outage alone changes nothing.
func TestLongPartitionFromStore(t *testing.T) {
	for _, cut := range []bool{false, true} {
		m := newModel(t, 12, 12, bounds(0), organisation(t, "o", 30, 6))
		for _, n := range m.nodes {
			n.view = almondstep.NewView(almondstep.ViewSpec{Directory: n.view.Directory(), DirectoryFreshUntil: 1})
		}
		if cut {
			m.fault("region")
		}
		m.run(60 * time.Second)
		m.load("o", 60, m.everywhere)
		m.run(10 * time.Second)
		got := 0
		for _, n := range m.nodes {
			if n.member.Region == "1" {
				got += n.granted
			}
		}
		// The bucket of a region without a fraction holds 2 by its part of the surplus.
		if cut && got > 2 || !cut && got < 80 {
			t.Errorf("cut off %v: got %d requests in the region, want at most 2 if it is and 80 if not", cut, got)
		}
	}
}

// After a restart of all daemons at once, organisations below their limits are served in less than a
// second: the coordinator leases at once, since it knows that no other lease is in use.
func TestRestartOfAllServesAtOnce(t *testing.T) {
	got, want := 0, 0
	for seed := range uint64(20) {
		m := newModel(t, seed, 34, bounds(20), organisation(t, "o", 19, 19), organisation(t, "p", 2, 2))
		m.load("o", 0.5*19, m.everywhere)
		m.load("p", 0.5*2, m.everywhere)
		m.run(20 * time.Second)
		m.fault("restart")
		m.run(800 * time.Millisecond)
		granted, all := len(m.granted["o"])+len(m.granted["p"]), int(m.lastID)
		m.run(time.Second)
		got += len(m.granted["o"]) + len(m.granted["p"]) - granted
		want += int(m.lastID) - all
	}
	if float64(got) < 0.98*float64(want) {
		t.Errorf("got %d of %d requests from 0.8 s to 1.8 s after a restart, want 0.98 of them", got, want)
	}
}

// A larger daemon that joins becomes the lender of its region before all others know of it. This
// guards against a fraction that its predecessor still uses, by a lease or by its static fraction.
func TestJoiningLenderHoldsBound(t *testing.T) {
	const rate, burst = 40.0, 10.0
	for seed := range uint64(100) {
		m := newModel(t, seed, 9, allocator.Config{Window: 5 * time.Second, Overage: 0.02}, organisation(t, "o", rate, burst))
		joining, old := m.nodes[8], m.viewOf(m.members[:8], 8)
		joining.down = true
		for _, n := range m.nodes[:8] {
			n.view = old
			m.start(n)
		}
		m.members[8].Cores, joining.member.Cores = 2, 2
		m.load("o", 10*rate, m.everywhere)
		m.run(12 * time.Second)
		view := m.viewOf(m.members, 8)
		joining.view = m.viewOf(m.members, 0)
		m.start(joining)
		for _, n := range m.nodes[:8] {
			m.after(time.Duration(m.rng.Int64N(int64(4*time.Second))), func() { n.view = view })
		}
		m.run(15 * time.Second)
		if got, most := m.mostInWindow("o"), bound(m.cfg, rate, burst); float64(got) > most {
			t.Errorf("seed %d: got %d requests in a window, want at most %v", seed, got, most)
		}
	}
}
