package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/budgeter"
	"almondstep/forwarder"
)

// delegatedShards is a number of shards for which a request is delegated.
const delegatedShards = 20

// newDelegatingHarness returns a harness whose daemon has two delegates, the first
// with twice the cores of the second.
func newDelegatingHarness(t *testing.T) *harness {
	t.Helper()
	full := directory(t, delegatedShards, nil)
	w := newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: full.Routes(), Upstreams: full.AllUpstreams(), Daemons: 9, Gatherers: 3,
		Delegates: []almondstep.Delegate{{ID: "big", Addr: "b:1", Cores: 0.8}, {ID: "small", Addr: "s:1", Cores: 0.4}},
	}))
	w.reduce(&almondstep.ViewChanged{})
	return w
}

// endGather ends a call to a delegate.
func (w *harness) endGather(g *almondstep.SendGather, e almondstep.GatherEnded) {
	w.t.Helper()
	e.ID, e.Call = g.ID, g.Call
	w.reduce(&e)
}

// A request over many shards goes to a delegate with the time that is left, and the
// caller gets the delegate's answer.
func TestRequestIsDelegated(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	if got, want := len(w.gathers), 1; got != want {
		t.Fatalf("got %d requests delegated, want %d", got, want)
	}
	g := w.gathers[0]
	if got, most := g.Request.Route.LatencyTarget(), 150*time.Millisecond; got >= most || got < most*9/10 {
		t.Errorf("got a latency target of %v, want a little less than %v", got, most)
	}
	if got, want := g.Request.Version, almondstep.RouteVersion(7); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	w.advance(100 * time.Millisecond)
	answer := &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Merged: &almondstep.MergedAnswer{Records: []byte(record('a'))}}
	w.endGather(g, almondstep.GatherEnded{Reply: answer})
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeComplete || r.Trace.Delegate != "big" || r.Trace.Took != 100*time.Millisecond {
		t.Errorf("got %+v, want the delegate's answer after 100ms", r)
	}
	if got, want := len(w.calls)+w.f.Open(), 0; got != want {
		t.Errorf("got %d calls and requests left, want %d", got, want)
	}
}

// Delegates get requests in proportion to their cores.
func TestLargerDelegatesGetMore(t *testing.T) {
	w := newDelegatingHarness(t)
	counts := map[almondstep.DaemonID]int{}
	for id := range almondstep.QueryID(30) {
		w.request(id+1, "/search/x")
		g := w.gathers[len(w.gathers)-1]
		counts[g.To.ID]++
		w.endGather(g, almondstep.GatherEnded{Reply: &almondstep.Reply{Outcome: almondstep.OutcomePartial}})
	}
	if got, want := counts["big"], 20; got != want {
		t.Errorf("got %d of 30 requests at the larger one, want %d", got, want)
	}
}

// A request that a delegate certainly hasn't run goes to the other delegate, and then
// to the shards themselves. Delegates that refuse enter backoff.
func TestRefusedDelegationFallsBackToShards(t *testing.T) {
	refusals := map[string]almondstep.GatherEnded{
		"unreachable": {NotRun: true, Err: "connection refused"},
		"no replica":  {Reply: &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeNoReplica}},
	}
	for name, refusal := range refusals {
		w := newDelegatingHarness(t)
		w.request(1, "/search/x")
		w.endGather(w.gathers[0], refusal)
		if got, want := len(w.gathers), 2; got != want || w.gathers[1].To.ID == w.gathers[0].To.ID {
			t.Fatalf("%s: got %d calls to delegates, want %d to two delegates", name, got, want)
		}
		w.endGather(w.gathers[1], refusal)
		if got, want := len(w.calls), delegatedShards; got != want {
			t.Fatalf("%s: got %d calls, want one for each of %d shards", name, got, want)
		}
		for _, c := range append([]*almondstep.SendCall(nil), w.calls...) {
			w.end(c, almondstep.CallDone, record('a'))
		}
		if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
			t.Errorf("%s: got %+v, want a complete answer", name, r)
		}
	}
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	w.endGather(w.gathers[0], refusals["unreachable"])
	w.request(2, "/search/x")
	if got := w.gathers[2].To.ID; got == w.gathers[0].To.ID {
		t.Errorf("the next request goes to %s, which is in backoff", got)
	}
}

// If a delegated request may have run, the caller gets an unknown outcome at once.
// Delegating it again would call all shards twice, beyond any retry budget.
func TestBrokenDelegationIsNotRepeated(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	w.endGather(w.gathers[0], almondstep.GatherEnded{Err: "connection reset"})
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeUnknown {
		t.Errorf("got %+v, want an unknown outcome", r)
	}
	if got, want := len(w.calls)+len(w.gathers), 1; got != want {
		t.Errorf("got %d calls to upstreams and delegates, want %d", got, want)
	}
}

// A stalled delegate delays only the requests sent to it before the stall was
// detected; at the deadline the caller is answered and the call canceled.
func TestStalledDelegate(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	stalled := w.gathers[0]
	w.advance(500 * time.Millisecond)
	for id := almondstep.QueryID(2); id < 12; id++ {
		w.request(id, "/search/x")
		if got := w.gathers[len(w.gathers)-1].To.ID; got == stalled.To.ID {
			t.Fatalf("request %d goes to the stalled delegate", id)
		}
		w.endGather(w.gathers[len(w.gathers)-1], almondstep.GatherEnded{Reply: &almondstep.Reply{Outcome: almondstep.OutcomePartial}})
	}
	w.advance(600 * time.Millisecond)
	if r := w.replies[1]; r == nil || r.Code != almondstep.CodeDeadline || r.Trace.Delegate != stalled.To.ID {
		t.Errorf("got %+v, want the deadline", r)
	}
	if _, ok := w.cancels[stalled.Call]; !ok {
		t.Error("the call to the stalled delegate isn't canceled")
	}
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// When the caller disconnects, the call to the delegate is canceled, and the delegate
// doesn't enter backoff.
func TestDelegationIsCanceledWhenCallerDisconnects(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	w.reduce(&almondstep.RequesterGone{ID: 1})
	if _, ok := w.cancels[w.gathers[0].Call]; !ok {
		t.Error("the call isn't canceled")
	}
	w.request(2, "/search/x")
	w.request(3, "/search/x")
	first := w.gathers[0].To.ID
	if w.gathers[1].To.ID != first && w.gathers[2].To.ID != first {
		t.Errorf("%s gets no requests any more", first)
	}
}

// A request from another daemon is never delegated again, and a request over few
// shards isn't delegated at all.
func TestRequestsThatAreNotDelegated(t *testing.T) {
	w := newDelegatingHarness(t)
	route, ok := w.view.Directory().Routes().Match("lots.example", "/search/x")
	if !ok {
		t.Fatal("no route")
	}
	message := &almondstep.RequestMessage{Key: "k", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "lots.example"}
	w.reduce(&almondstep.RequestArrived{ID: 1, Request: message, Remaining: time.Second, Route: route, Version: 6})
	if got, want := len(w.calls), delegatedShards; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	w.request(2, "/one/x")
	if got, want := len(w.gathers), 0; got != want {
		t.Errorf("got %d calls to delegates, want %d", got, want)
	}
}

// The extra calls of all daemons to one shard stay within the configured limit,
// including those of daemons that query shards only while they have no delegate.
func TestRetryLimitOfAllDaemonsTogether(t *testing.T) {
	for _, fleet := range []struct{ daemons, gatherers int }{{78, 30}, {9, 3}, {9, 9}, {6, 5}, {730, 12}} {
		extra := 0
		for i := range fleet.daemons {
			extra += retriesOf(t, fleet.daemons, fleet.gatherers, i >= fleet.gatherers)
		}
		if got, most := float64(extra), testConfig().RetrySlack; got > most {
			t.Errorf("%d daemons, %d of them gatherers: got %v extra calls without a request, want at most %v",
				fleet.daemons, fleet.gatherers, got, most)
		}
	}
}

// retriesOf returns the number of retries that one daemon may send to a shard by the
// slack alone, without counted requests. others is set for a daemon that queries shards
// only while it has no delegate.
func retriesOf(t *testing.T, daemons, gatherers int, others bool) int {
	t.Helper()
	b := budgeter.Budget{Ratio: 0, Slack: testConfig().RetrySlack, Window: testConfig().RetryWindow}
	p := almondstep.DirectorySpec{Routes: directory(t, 4, nil).Routes(), Daemons: daemons, Gatherers: gatherers}
	if others {
		p.Delegates = []almondstep.Delegate{{ID: "big", Cores: 1}}
	}
	n := 0
	for b.Take(almondstep.Instant(time.Second), shardName(0), forwarder.BudgetDivisor(almondstep.NewDirectory(p), shardName(0)), budgeter.Retry) {
		n++
	}
	return n
}
