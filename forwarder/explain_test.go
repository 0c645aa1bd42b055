package forwarder_test

import (
	"math/rand"
	"reflect"
	"testing"
	"time"

	"almondstep"
)

// explain asks where a request would go now.
func (w *harness) explain(e almondstep.ExplainRequest) *almondstep.Explanation {
	w.t.Helper()
	e.Host, e.Remaining = "lots.example", time.Second
	effects := w.f.Reduce(w.now, w.view, &e, nil)
	reply, ok := effects[0].(*almondstep.ReplyExplain)
	if !ok || len(effects) != 1 || reply.Call != e.Call {
		w.t.Fatalf("got effects %+v, want the explanation only", effects)
	}
	return reply.Explanation
}

// checkExplained compares an explanation with what the request then did.
func (w *harness) checkExplained(id almondstep.QueryID, x *almondstep.Explanation, calls []*almondstep.SendCall, gathers []*almondstep.SendGather) {
	w.t.Helper()
	chosen := map[almondstep.ServiceName]almondstep.UpstreamID{}
	for _, s := range x.Shards {
		if s.Chosen == "" {
			continue
		}
		chosen[s.Service] = s.Chosen
		for _, c := range s.Candidates {
			if c.Upstream == s.Chosen && c.Excluded != "" {
				w.t.Errorf("request %v: %s is chosen and excluded by %s", id, s.Chosen, c.Excluded)
			}
		}
	}
	called := map[almondstep.ServiceName]almondstep.UpstreamID{}
	for _, c := range calls {
		called[c.Upstream.Service] = c.Upstream.ID
	}
	if !reflect.DeepEqual(chosen, called) {
		w.t.Errorf("request %v: got explained upstreams %v, want those called, %v", id, chosen, called)
	}
	delegate := almondstep.DaemonID("")
	if len(gathers) > 0 {
		delegate = gathers[0].To.ID
	}
	refused := almondstep.RefusalCode("")
	if r := w.replies[id]; r != nil {
		refused = r.Code
		if got, want := x.RetryAfterMillis, float64(r.RetryAfter)/1e6; got != want {
			w.t.Errorf("request %v: got Retry-After %v ms, want %v", id, got, want)
		}
	}
	if x.Delegate != delegate || x.Code != refused {
		w.t.Errorf("request %v: got %+v, want delegate %q and code %q", id, x, delegate, refused)
	}
}

// Guards against an explanation that changes what later requests do, and against one that says
// something else than the request then does.
func TestExplanationChangesNothingAndHolds(t *testing.T) {
	decisions := map[almondstep.ExplainedDecision]int{}
	for seed := range int64(120) {
		rng := rand.New(rand.NewSource(seed))
		cfg := testConfig()
		w := newHarness(t, cfg, directory(t, 1+rng.Intn(6), nil))
		switch seed % 4 {
		case 1:
			w = newDelegatingHarness(t)
		case 2:
			var decide func(almondstep.RolloutDecision)
			w, decide = rolloutHarness(t)
			cfg.ExposeShare = 0.1
			decide(almondstep.RolloutDecision{State: almondstep.RolloutInProgress, Stage: 1, Share: 0.3})
		case 3:
			w = newHarness(t, testConfig(), withColdRate(t, w.view.Directory()))
		}
		twin := newHarness(t, cfg, w.view.Directory())
		twin.view = w.view
		both := []*harness{w, twin}
		for _, h := range both {
			h.reduce(&almondstep.ViewChanged{})
		}
		for id := range almondstep.QueryID(30) {
			path := []string{"/search/x", "/one/x", "/order/x", "/split/x", "/none"}[rng.Intn(5)]
			x := w.explain(almondstep.ExplainRequest{ID: id + 1, Call: 7, Path: path})
			if !reflect.DeepEqual(w.f, twin.f) {
				t.Fatalf("seed %d: the explanation of request %v changed the state", seed, id+1)
			}
			calls, gathers := len(w.calls), len(w.gathers)
			for _, h := range both {
				h.request(id+1, path)
			}
			w.checkExplained(id+1, x, w.calls[calls:], w.gathers[gathers:])
			decisions[x.Decision]++
			endRandomly(rng, both)
		}
	}
	if decisions[almondstep.ExplainedCall] == 0 || decisions[almondstep.ExplainedDelegate] == 0 || decisions[almondstep.ExplainedRefuse] == 0 {
		t.Errorf("got decisions %v, want each of call, delegate and refuse", decisions)
	}
}

// withColdRate returns a directory whose cold upstreams get few calls a second.
func withColdRate(t *testing.T, d *almondstep.Directory) *almondstep.Directory {
	t.Helper()
	spec := almondstep.RouteTableSpec{Version: 7}
	for _, r := range d.Routes().Routes() {
		spec.Routes = append(spec.Routes, *r)
	}
	for s := range d.AllUpstreams() {
		spec.Services = append(spec.Services, almondstep.RoutedService{Name: s, MaxConnections: 26, ColdPerSecond: 0.1})
	}
	table, err := almondstep.NewRouteTable(spec)
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewDirectory(almondstep.DirectorySpec{Routes: table, Upstreams: d.AllUpstreams(), Daemons: 1})
}

// endRandomly ends some calls with the same random results at all harnesses.
func endRandomly(rng *rand.Rand, all []*harness) {
	first := all[0]
	for i := range first.calls {
		if first.pending[first.calls[i].Call] == nil || rng.Intn(3) == 0 {
			continue
		}
		rate := 10 * rng.Float64()
		e := almondstep.CallEnded{
			ID: first.calls[i].ID, Call: first.calls[i].Call, Took: time.Duration(rng.Intn(80)) * time.Millisecond,
			Result:  []almondstep.CallResult{almondstep.CallDone, almondstep.CallDone, almondstep.CallRefused, almondstep.CallTimeout}[rng.Intn(4)],
			ColdFor: time.Duration(rng.Intn(2)*rng.Intn(900)) * time.Millisecond,
			Leaving: rng.Intn(60) == 0,
			Load:    &almondstep.UpstreamLoad{Running: 2, Waiting: rng.Intn(9), Slots: 2, Pace: 50 + rng.Intn(200)},
		}
		if e.Result == almondstep.CallDone {
			e.Response = &almondstep.ResponseMessage{Status: 200, Body: []byte(record('a')), Signature: "s"}
		}
		if rng.Intn(4) == 0 {
			e.Limit = &rate
		}
		for _, h := range all {
			delete(h.pending, e.Call)
			h.reduce(&e)
		}
	}
	if n := len(first.gathers); n > 0 && rng.Intn(2) == 0 {
		e := almondstep.GatherEnded{}
		if rng.Intn(3) > 0 {
			e.Reply = &almondstep.Reply{Outcome: almondstep.OutcomePartial, Trace: almondstep.RequestTrace{DelegateLoad: 1.2 * rng.Float64()}}
		}
		for _, h := range all {
			h.endGather(h.gathers[n-1], e)
		}
	}
	pause := time.Duration(rng.Intn(60)) * time.Millisecond
	for _, h := range all {
		h.advance(pause)
	}
}

// Guards against an explanation that takes capacity or a place in the queue, or that misses what an
// organisation may do.
func TestExplanationOfOrganisation(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  int
		name     almondstep.OrganisationName
		decision almondstep.ExplainedDecision
	}{
		"capacity":         {0, "mills", almondstep.ExplainedCall},
		"short queue":      {5, "mills", almondstep.ExplainedWait},
		"long queue":       {60, "mills", almondstep.ExplainedRefuse},
		"unknown":          {0, "ovens", almondstep.ExplainedRefuse},
		"no organisation":  {0, "", almondstep.ExplainedRefuse},
		"key as the name ": {0, "good", almondstep.ExplainedRefuse},
	} {
		t.Run(name, func(t *testing.T) {
			w, twin := newHarnessWithOrganisation(t), newHarnessWithOrganisation(t)
			twin.view = w.view
			for _, h := range []*harness{w, twin} {
				h.reduce(&almondstep.ViewChanged{})
				h.reportLoad(c.waiting)
			}
			x := w.explain(almondstep.ExplainRequest{ID: 100, Path: "/lots/1", Organisation: c.name})
			if x.Decision != c.decision {
				t.Errorf("got %+v, want %s", x, c.decision)
			}
			if !reflect.DeepEqual(w.f, twin.f) {
				t.Error("the explanation changed the state")
			}
			key := map[almondstep.OrganisationName]string{"mills": "good"}[c.name]
			calls := len(w.calls)
			w.arriveWithKey(100, key)
			w.checkExplained(100, x, w.calls[calls:], nil)
		})
	}
}

// Guards against an explanation that asks for quota or that doesn't show the limit.
func TestExplanationTakesNoQuota(t *testing.T) {
	w := newQuotaHarness(t)
	x := w.explain(almondstep.ExplainRequest{ID: 2, Path: "/lots/1", Organisation: "mills"})
	if x.Decision != almondstep.ExplainedCall || x.Rate != 2 || x.Burst != 1 || len(w.quotas) != 1 {
		t.Errorf("got %+v and %d asks for quota, want a call, the limit and the first ask only", x, len(w.quotas))
	}
}

// Guards against an explanation that gives another time for the hedge than the request has.
func TestExplainedHedgeIsSentThen(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	x := w.explain(almondstep.ExplainRequest{ID: 1, Path: "/one/x"})
	after := time.Duration(x.Shards[0].HedgeAfterMillis * float64(time.Millisecond))
	w.request(1, "/one/x")
	w.advance(after - time.Millisecond)
	before := len(w.calls)
	w.advance(time.Millisecond)
	if after <= 0 || before != 1 || len(w.calls) != 2 {
		t.Errorf("got a hedge after %v, %d calls before and %d then, want 1 and 2", after, before, len(w.calls))
	}
}

// Guards against an explanation that leaves out that a rollout excludes an upstream, or that counts
// towards the share of its version.
func TestExplanationOfRollout(t *testing.T) {
	w, decide := rolloutHarness(t)
	decide(almondstep.RolloutDecision{State: almondstep.RolloutRolledBack})
	for range 30 {
		x := w.explain(almondstep.ExplainRequest{ID: 1, Path: "/one/x"})
		if c := x.Shards[0].Candidates[1]; c.Version != "v2" || c.Excluded != "rollout" {
			t.Fatalf("got %+v, want v2 excluded by the rollout", c)
		}
	}
}
