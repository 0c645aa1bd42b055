package allocator_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/allocator"
)

// burstOf returns how many of n requests at once a lone daemon grants.
func burstOf(a *allocator.Allocator, now almondstep.Instant, v *almondstep.View, n int) int {
	granted := 0
	for range n {
		for _, f := range a.Reduce(now, v, &almondstep.RequestQuota{Organisation: "o"}, nil) {
			if d, ok := f.(*almondstep.QuotaDecided); ok && d.Granted {
				granted++
			}
		}
	}
	return granted
}

// alone returns the allocator of a daemon without others, which has its whole limit.
func alone(t *testing.T, rate, burst float64) (*model, *allocator.Allocator, func(rate, burst float64) *almondstep.View) {
	t.Helper()
	m := newModel(t, 1, 1, bounds(20), organisation(t, "o", rate, burst))
	viewOf := func(rate, burst float64) *almondstep.View {
		routes, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Version: 2, Organisations: []*almondstep.Organisation{organisation(t, "o", rate, burst)}})
		if err != nil {
			t.Fatal(err)
		}
		return almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{Routes: routes, Members: m.members, MembersAtStart: len(m.members), Daemons: 1})})
	}
	m.run(10 * time.Second)
	return m, m.nodes[0].allocator, viewOf
}

// A windowed limit grants the burst again in each window and no more, whatever the phase of the
// slots. This guards against slots that leave the window too early, or never.
func TestWindowGrantsBurstInEachWindow(t *testing.T) {
	for _, step := range []time.Duration{37 * time.Millisecond, 100 * time.Millisecond, 730 * time.Millisecond, 6 * time.Second} {
		m, a, _ := alone(t, 19, 19)
		var at []time.Duration
		for ; m.now < 70*time.Second; m.now += step {
			for range burstOf(a, almondstep.Instant(m.now), m.nodes[0].view, 100) {
				at = append(at, m.now)
			}
		}
		m.granted["o"] = at
		if got, most := m.mostInWindow("o"), bound(m.cfg, 19, 19); float64(got) > most {
			t.Errorf("every %v: got %d requests in a window, want at most %v", step, got, most)
		}
		// With pauses longer than a window, each try gets the burst; without, the window's limit is used.
		least := 0.95 * (19 + 19.0/5) * 60
		if step > 5*time.Second {
			least = 10 * 19
		}
		if got := len(at); float64(got) < least {
			t.Errorf("every %v: got %d requests in 60 s, want at least %v", step, got, least)
		}
	}
}

// A limit that is lowered is binding one window after its change. This guards against a window that
// still allows what the earlier limit did.
func TestLoweredLimitIsBindingAfterWindow(t *testing.T) {
	m, a, viewOf := alone(t, 40, 40)
	lowered := viewOf(4, 4)
	changed := m.now
	var at []time.Duration
	for ; m.now < changed+20*time.Second; m.now += 50 * time.Millisecond {
		got := burstOf(a, almondstep.Instant(m.now), lowered, 20)
		for ; got > 0 && m.now >= changed+5*time.Second; got-- {
			at = append(at, m.now)
		}
	}
	m.granted["o"] = at
	if got, most := m.mostInWindow("o"), bound(m.cfg, 4, 4); float64(got) > most || float64(len(at)) < 0.9*4*15 {
		t.Errorf("got %d requests in a window and %d in 15 s, want at most %v and at least %v", got, len(at), most, 0.9*4*15)
	}
}
