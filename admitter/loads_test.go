package admitter_test

import (
	"testing"
	"time"

	"almondstep"
)

// load is a simulated load: the upstreams of each service, and what is offered in a tick.
type load struct {
	upstreams []int
	duration  time.Duration
	// from and to limit the callers that count; to is 0 if all do.
	from, to time.Duration
	offer    func(w *world, routes [3]*almondstep.Route, elapsed time.Duration)
	// minGain is the least factor by which the callers' benefit must exceed that with
	// first-come-first-served; minClass0 the least part of the benefit that the most urgent
	// class could have.
	minGain   float64
	minClass0 float64
}

// The capacity of one service with 3 upstreams is about 600 requests a second: 2 slots each,
// 10 ms a request.
const capacity = 600

var loads = map[string]load{
	"burst of the least urgent": {
		upstreams: []int{3}, duration: 5 * time.Second, from: time.Second, to: 4 * time.Second, minGain: 3, minClass0: 0.95,
		offer: func(w *world, r [3]*almondstep.Route, elapsed time.Duration) {
			w.arrivals(r[0], "a", 0.3*capacity)
			w.arrivals(r[1], "b", 0.3*capacity)
			if elapsed > time.Second && elapsed < 4*time.Second {
				w.arrivals(r[2], "c", 2*capacity)
			}
		},
	},
	"burst of the urgent": {
		upstreams: []int{3}, duration: 5 * time.Second, from: time.Second, to: 4 * time.Second, minGain: 3,
		offer: func(w *world, r [3]*almondstep.Route, elapsed time.Duration) {
			w.arrivals(r[1], "b", 0.3*capacity)
			w.arrivals(r[2], "c", 0.3*capacity)
			if elapsed > time.Second && elapsed < 4*time.Second {
				w.arrivals(r[0], "a", 2*capacity)
			}
		},
	},
	"organisation at 10 times its rate": {
		upstreams: []int{3}, duration: 5 * time.Second, minGain: 3,
		offer: func(w *world, r [3]*almondstep.Route, _ time.Duration) {
			for _, org := range []almondstep.OrganisationName{"a", "b", "c", "d", "e"} {
				w.arrivals(r[1], org, 0.1*capacity)
			}
			w.arrivals(r[1], "flood", capacity)
		},
	},
	"half of the upstreams 12 times slower": {
		upstreams: []int{4}, duration: 5 * time.Second, minGain: 1.5, minClass0: 0.85,
		offer: func(w *world, r [3]*almondstep.Route, elapsed time.Duration) {
			for i, sv := range w.order {
				if sv.factor = 1; i%2 == 0 && elapsed > time.Second {
					sv.factor = 12
				}
			}
			for class := range r {
				w.arrivals(r[class], "a", 0.3*capacity)
			}
		},
	},
	"shard with one upstream left": {
		upstreams: []int{3, 3, 3, 1, 3, 3, 3, 3, 3, 3}, duration: 5 * time.Second, minGain: 3, minClass0: 0.9,
		offer: func(w *world, r [3]*almondstep.Route, _ time.Duration) {
			for class := range r {
				w.arrivals(r[class], "a", 0.5*capacity/3)
			}
		},
	},
	"burst of the least urgent, load not reported": {
		upstreams: []int{3}, duration: 5 * time.Second, from: time.Second, to: 4 * time.Second, minGain: 3, minClass0: 0.9,
		offer: func(w *world, r [3]*almondstep.Route, elapsed time.Duration) {
			w.silent = true
			w.arrivals(r[0], "a", 0.3*capacity)
			if elapsed > time.Second && elapsed < 4*time.Second {
				w.arrivals(r[2], "c", 2*capacity)
			}
		},
	},
	"all VMs back after a power loss": {
		upstreams: []int{3}, duration: 5 * time.Second, minGain: 2, minClass0: 0.6,
		offer: func(w *world, r [3]*almondstep.Route, elapsed time.Duration) {
			rate := 0.25 * capacity
			if elapsed < 300*time.Millisecond {
				rate = 2 * capacity
			}
			for _, sv := range w.order {
				if sv.factor = 1; elapsed < time.Second {
					sv.factor = 3
				}
			}
			for class := range r {
				w.arrivals(r[class], "a", rate)
			}
		},
	},
}

// result is what the callers of one class or organisation got: requests and benefit.
type result struct {
	n       int
	benefit float64
}

func (r result) mean() float64 { return r.benefit / float64(max(1, r.n)) }

// play simulates a load and returns the callers and the benefit in all and by class.
func play(t *testing.T, l load, gated bool) (callers []*caller, all result, byClass [3]result) {
	t.Helper()
	d, routes := directory(t, l.upstreams...)
	w := newWorld(t, d, gated)
	began := w.now
	w.run(l.duration, func(elapsed time.Duration) { l.offer(w, routes, elapsed) })
	w.run(deadline, func(time.Duration) {})
	for _, c := range w.all {
		if sent := c.sentAt.Sub(began); l.to > 0 && (sent < l.from || sent >= l.to) {
			continue
		}
		callers = append(callers, c)
		all.n++
		all.benefit += c.benefit
		byClass[c.class].n++
		byClass[c.class].benefit += c.benefit
	}
	return callers, all, byClass
}

// With each load the callers together get more than with first-come-first-served, a more
// urgent class isn't served worse than a less urgent one, no class gets less than a quarter
// of what all get, and refusals come within a quarter of the latency target.
func TestCallersGetMoreThanFirstComeFirstServed(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			_, before, beforeByClass := play(t, l, false)
			callers, after, afterByClass := play(t, l, true)
			for class := range afterByClass {
				t.Logf("class %d: %d requests, benefit %.3f -> %.3f", class, afterByClass[class].n, beforeByClass[class].mean(), afterByClass[class].mean())
			}
			t.Logf("all: %d requests, benefit %.3f -> %.3f", after.n, before.mean(), after.mean())
			if got, want := after.mean(), l.minGain*before.mean(); got < want {
				t.Errorf("got a benefit of %.3f, want at least %.3f", got, want)
			}
			if got := afterByClass[0].mean(); got < l.minClass0 {
				t.Errorf("got a benefit of %.3f of the urgent, want at least %.3f", got, l.minClass0)
			}
			for class, r := range afterByClass {
				if r.n == 0 {
					continue
				}
				if got, want := r.mean(), after.mean()/4; got < want {
					t.Errorf("class %d: got %.3f, want at least a quarter of all: %.3f", class, got, want)
				}
				if class > 0 && afterByClass[class-1].n > 0 && r.mean() > afterByClass[class-1].mean()+0.05 {
					t.Errorf("class %d: got %.3f, want at most that of the class above: %.3f", class, r.mean(), afterByClass[class-1].mean())
				}
			}
			checkRefusals(t, callers)
		})
	}
}

// checkRefusals fails if more than one in 20 refusals comes after a quarter of the latency
// target, or one after the target.
func checkRefusals(t *testing.T, callers []*caller) {
	t.Helper()
	refusals, late, free := 0, 0, 0
	for _, c := range callers {
		free += c.refusedFree
		for _, after := range c.refusals {
			refusals++
			if after > target/4+2*tick {
				late++
			}
			if after > target {
				t.Errorf("got a refusal after %v, want it before the latency target", after)
			}
		}
	}
	t.Logf("%d refusals, %d of them late, %d while an upstream had a free slot", refusals, late, free)
	if free*20 > refusals {
		t.Errorf("got %d of %d refusals while an upstream had a free slot, want at most one in 20", free, refusals)
	}
	if late*20 > refusals {
		t.Errorf("got %d of %d refusals after a quarter of the latency target, want at most one in 20", late, refusals)
	}
}

// One organisation at ten times its rate doesn't take what the others of its class need.
// Without equal shares they get as small a part as it does.
func TestFloodOfOneOrganisationLeavesOthersTheirShare(t *testing.T) {
	callers, all, _ := play(t, loads["organisation at 10 times its rate"], true)
	byOrg := map[almondstep.OrganisationName]result{}
	for _, c := range callers {
		byOrg[c.org] = result{byOrg[c.org].n + 1, byOrg[c.org].benefit + c.benefit}
	}
	for org, r := range byOrg {
		t.Logf("%s: %d requests, benefit %.3f", org, r.n, r.mean())
		want := 0.7
		if org == "flood" {
			want = all.mean() / 4
		}
		if got := r.mean(); got < want {
			t.Errorf("%s: got a benefit of %.3f, want at least %.3f", org, got, want)
		}
	}
}

// With free capacity each request passes at once. A refusal or wait then would lose a
// request that could have run.
func TestNothingWaitsWithFreeCapacity(t *testing.T) {
	l := load{upstreams: []int{3}, duration: 5 * time.Second, offer: func(w *world, r [3]*almondstep.Route, _ time.Duration) {
		w.arrivals(r[2], "a", 0.4*capacity)
	}}
	callers, all, _ := play(t, l, true)
	for _, c := range callers {
		if len(c.refusals) > 0 {
			t.Fatalf("request %d was refused, want all served", c.id)
		}
	}
	if got, want := all.mean(), 0.999; got < want {
		t.Errorf("got a benefit of %.3f, want at least %.3f", got, want)
	}
}
