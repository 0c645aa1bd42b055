package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// An idle upstream may have restarted unnoticed: it gets one request, and more
// only once that one is answered by the boot that was warm.
func TestUnseenRestartWhileIdle(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	r.warm()
	r.wait(time.Minute)
	first := started(r.search(time.Second))
	if got, want := len(first)+len(started(r.search(time.Second))), 1; got != want {
		t.Fatalf("got %d starts after a minute, want %d", got, want)
	}
	r.wait(time.Millisecond)
	second := started(r.end(first[0].Call, almondstep.CallDone, "boot2", time.Millisecond))
	if got, want := len(second)+len(started(r.search(time.Second))), 1; got != want {
		t.Errorf("got %d starts at a new boot, want %d", got, want)
	}
	r.wantTemperature(almondstep.Cold)
}

func (r *harness) wantTemperature(want almondstep.Temperature) {
	r.t.Helper()
	s, _ := r.u.State(addr)
	if got := s.Temperature; got != want {
		r.t.Errorf("got %v, want %v", got, want)
	}
}

// A restarted daemon has no full grant yet, and receives an upstream's warm state
// only after the first request for it. It then uses the upstream, one request at a
// time, until it has results of its own.
func TestWarmStateArrivesLate(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	r.setView(viewOf(vm("boot1"), almondstep.GrantWarmOnly, almondstep.Cold))
	wantFinished(t, r.search(time.Second), almondstep.ItemNotRun, almondstep.ReasonCold)
	r.setView(viewOf(vm("boot1"), almondstep.GrantWarmOnly, almondstep.Warm))
	first := started(r.search(time.Second))
	if got, want := len(first)+len(started(r.search(time.Second))), 1; got != want {
		t.Fatalf("got %d starts at an upstream reported as warm, want %d", got, want)
	}
	r.end(first[0].Call, almondstep.CallBroken, "", time.Millisecond)
	r.setView(viewOf(vm("boot1"), almondstep.GrantWarmOnly, almondstep.Warm))
	r.wantTemperature(almondstep.Cold)
}

// The upstream list lags: it may show a boot, and a leaving state, from before
// the boot that answers.
func TestStaleUpstreamList(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	c := started(r.search(time.Second))[0].Call
	r.end(c, almondstep.CallDone, "boot2", time.Millisecond)
	old := vm("boot1")
	old.State = almondstep.VMLeaving
	r.setView(viewOf(old, almondstep.GrantFull, almondstep.Cold))
	r.wantTemperature(almondstep.Cold)
	next := vm("boot3")
	next.State = almondstep.VMLeaving
	r.setView(viewOf(next, almondstep.GrantFull, almondstep.Cold))
	r.wantTemperature(almondstep.Leaving)
}

// The upstream's own cold and leaving headers can only reduce what is sent to it.
func TestUpstreamHeadersOnlyReduceLoad(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	for range 40 {
		c := started(r.search(time.Second))[0].Call
		r.wait(time.Millisecond)
		r.reduce(&almondstep.AttemptEnded{Addr: addr, Call: c, Cold: true, Boot: "boot1", Took: time.Millisecond, Version: 7})
	}
	r.wantTemperature(almondstep.Cold)
	r.warm()
	r.wantTemperature(almondstep.Warm)
	c := started(r.search(time.Second))[0].Call
	r.reduce(&almondstep.AttemptEnded{Addr: addr, Call: c, Cold: true, Boot: "boot1", Took: time.Millisecond, Version: 7})
	r.wantTemperature(almondstep.Cold)
	c = started(r.search(time.Second))[0].Call
	r.reduce(&almondstep.AttemptEnded{Addr: addr, Call: c, Leaving: true, Boot: "boot1", Took: time.Millisecond, Version: 7})
	wantFinished(t, r.search(time.Second), almondstep.ItemNotRun, almondstep.ReasonLeaving)
}

// Higher latency alone or sheds alone leave the upstream warm; both together turn
// it cold, though it hasn't restarted.
func TestTurnsColdWithoutRestart(t *testing.T) {
	tests := []struct {
		name string
		took time.Duration
		shed bool
		want almondstep.Temperature
	}{
		{"slow", 9 * time.Millisecond, false, almondstep.Warm},
		{"sheds", time.Millisecond, true, almondstep.Warm},
		{"slow and sheds", 9 * time.Millisecond, true, almondstep.Cold},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newHarness(t, limiter.Config{})
			r.warm()
			for range 8 {
				r.endNext(almondstep.CallDone, tc.took)
				if tc.shed {
					r.endNext(almondstep.CallShed, 0)
				}
			}
			r.wantTemperature(tc.want)
		})
	}
}

// endNext sends searches until one starts, and ends it.
func (r *harness) endNext(result almondstep.CallResult, took time.Duration) {
	for range 100 {
		s := started(r.search(time.Second))
		if len(s) == 0 {
			r.wait(20 * time.Millisecond)
			s = started(r.reduce(&almondstep.UpstreamTimer{Addr: addr}))
		}
		if len(s) > 0 {
			r.wait(took)
			r.end(s[0].Call, result, "boot1", took)
			return
		}
	}
	r.t.Fatal("no search starts in 100 attempts")
}

// An upstream that sheds everything is sent requests less and less often,
// however many items are queued.
func TestShedStorm(t *testing.T) {
	r := newHarness(t, limiter.Config{Seed: 5})
	r.warm()
	starts := 0
	for range 1000 {
		out := r.search(50 * time.Millisecond)
		out = append(out, r.reduce(&almondstep.UpstreamTimer{Addr: addr})...)
		for s := started(out); len(s) > 0; s = started(out) {
			starts += len(s)
			out = nil
			for _, c := range s {
				out = append(out, r.end(c.Call, almondstep.CallShed, "boot1", 0)...)
			}
		}
		r.wait(time.Millisecond)
	}
	const maxStarts = 20
	if starts > maxStarts {
		t.Errorf("got %d starts in a second at an upstream that sheds everything, want at most %d", starts, maxStarts)
	}
}

// A lost upstream is sent liveness probes at intervals, and its items are refused
// without delay. Once it answers, it is cold.
func TestGoldenLost(t *testing.T) {
	r := newHarness(t, limiter.Config{Seed: 1})
	r.note("no one listens")
	for range 3 {
		r.end(started(r.search(time.Second))[0].Call, almondstep.CallRefused, "", 0)
	}
	r.search(time.Second)
	r.note("the first proof of life goes unanswered")
	r.wait(100 * time.Millisecond)
	probe := started(r.reduce(&almondstep.UpstreamTimer{Addr: addr}))[0].Call
	r.wait(250 * time.Millisecond)
	r.end(probe, almondstep.CallTimeout, "", 250*time.Millisecond)
	r.note("the second is answered, if only by an error")
	r.wait(200 * time.Millisecond)
	probe = started(r.reduce(&almondstep.UpstreamTimer{Addr: addr}))[0].Call
	r.end(probe, almondstep.CallRejected, "boot2", time.Millisecond)
	r.search(time.Second)
	r.search(time.Second)
	r.wantGolden("lost")
}

// A new owner probes an upstream that the former owner marked as lost.
func TestLostIsAdopted(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	r.setView(viewOf(vm("boot1"), almondstep.GrantFull, almondstep.Lost))
	r.wait(100 * time.Millisecond)
	if got, want := len(started(r.reduce(&almondstep.UpstreamTimer{Addr: addr}))), 1; got != want {
		t.Errorf("got %d liveness probes, want %d", got, want)
	}
}

// A drained zone gets no more requests, not even queued ones. When the zone is
// restored, its upstreams are cold.
func TestZoneDrainedAndRestored(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	r.view = zoneView(t, 2, false)
	r.warm()
	r.wantTemperature(almondstep.Warm)
	one := started(r.search(time.Second))[0].Call
	two := started(r.search(time.Second))[0].Call
	r.search(time.Second)
	wantFinished(t, r.setView(zoneView(t, 2, true)), almondstep.ItemNotRun, almondstep.ReasonZoneDrained)
	wantFinished(t, r.search(time.Second), almondstep.ItemNotRun, almondstep.ReasonZoneDrained)
	r.end(one, almondstep.CallDone, "boot1", time.Millisecond)
	wantFinished(t, r.end(two, almondstep.CallDone, "boot1", time.Millisecond), almondstep.ItemDone, "")
	r.setView(zoneView(t, 2, false))
	if got, want := len(started(r.search(time.Second)))+len(started(r.search(time.Second))), 1; got != want {
		t.Errorf("got %d starts in a restored zone, want %d", got, want)
	}
}

func zoneView(t *testing.T, slots int, drained bool) *almondstep.View {
	c, err := almondstep.NewCatalog(almondstep.CatalogConfig{
		Zones:   []almondstep.ZoneConfig{{Name: "curico-plant", Drained: drained}},
		Tenants: []almondstep.TenantConfig{{Name: "small", Share: 1}, {Name: "large", Share: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewView(almondstep.ViewSpec{
		Self: "d1", Zone: "curico-plant", Catalog: c,
		Owned: map[almondstep.Address]almondstep.OwnedUpstream{
			addr: almondstep.NewOwnedUpstream(vm("boot1"), slots, 25, almondstep.GrantFull, almondstep.Cold),
		},
	})
}

// The queue serves urgent items before routine ones, tenants by their shares and
// one tenant's items by deadline, and never serves expired items.
func TestQueueOrder(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	r.view = zoneView(t, 1, false)
	call := started(r.search(time.Minute))[0].Call
	for i := range 8 {
		r.ask(&almondstep.Work{Text: "S", Tenant: "small", Priority: 1}, time.Minute)
		r.ask(&almondstep.Work{Text: "L", Tenant: "large", Priority: 1}, time.Minute-time.Duration(i))
		r.ask(&almondstep.Work{Text: "expires", Tenant: "large", Priority: 0}, 100*time.Millisecond)
	}
	r.ask(&almondstep.Work{Text: "U", Tenant: "small", Priority: 0}, time.Minute)
	r.wait(200 * time.Millisecond)
	got := ""
	for range 9 {
		s := started(r.end(call, almondstep.CallDone, "boot1", time.Millisecond))
		if len(s) == 0 {
			break
		}
		got += s[0].Text
		call = s[0].Call
	}
	if want := "USLLLSLLL"; got != want {
		t.Errorf("got order %s, want %s", got, want)
	}
}

// A full queue sheds from the lowest class first, then from the tenant with the
// most items for its share, so that requests of other tenants are accepted.
func TestFullQueueSheds(t *testing.T) {
	r := newHarness(t, limiter.Config{QueueLimit: 4})
	r.search(time.Minute)
	flood := func() []almondstep.Effect { return r.ask(&almondstep.Work{Tenant: "large", Priority: 1}, time.Minute) }
	for range 4 {
		flood()
	}
	wantFinished(t, flood(), almondstep.ItemNotRun, almondstep.ReasonShed)
	for i, w := range []*almondstep.Work{{Tenant: "small", Priority: 1}, {Tenant: "large", Priority: 0}} {
		out := r.ask(w, time.Minute)
		wantFinished(t, out, almondstep.ItemNotRun, almondstep.ReasonShed)
		if got := finished(out)[0].ID; got == w.Query {
			t.Errorf("%d: the new item was shed, want one of the flooding tenant", i)
		}
	}
}

func ExampleUpstreams_Reduce() {
	u := limiter.New(limiter.Config{})
	view := viewOf(vm("boot1"), almondstep.GrantFull, almondstep.Cold)
	for q := range almondstep.QueryID(2) {
		w := &almondstep.Work{Query: q, Attempt: 1, Text: "walnut"}
		e := &almondstep.ItemArrived{Item: item(), Work: w, Deadline: almondstep.Instant(time.Second)}
		for _, f := range u.Reduce(0, view, e, nil) {
			fmt.Println(int(q), f.Kind())
		}
	}
	// Output:
	// 0 startAttempt
	// 1 setUpstreamTimer
}

// A timer event never sets another timer for the same instant, which would loop
// forever. The abandoned liveness probes of this test end during a backoff.
func TestTimersGoForward(t *testing.T) {
	r := newHarness(t, limiter.Config{Seed: 1})
	for range 3 {
		r.end(started(r.search(time.Second))[0].Call, almondstep.CallRefused, "", 0)
	}
	probes := 0
	for range 100 {
		r.wait(50 * time.Millisecond)
		out := r.reduce(&almondstep.UpstreamTimer{Addr: addr})
		for _, s := range started(out) {
			probes++
			out = append(out, r.end(s.Call, almondstep.CallBroken, "", 0)...)
		}
		for _, f := range pick[*almondstep.SetUpstreamTimer](out) {
			if f.After <= 0 {
				t.Fatalf("at %v got a timer after %v", time.Duration(r.now), f.After)
			}
		}
	}
	if probes < 3 || probes > 10 {
		t.Errorf("got %d liveness probes in 5s, want 3 to 10", probes)
	}
}
