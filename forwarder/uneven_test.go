package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// reply ends a call to a delegate with a reply that reports a load.
func (w *harness) reply(g *almondstep.SendGather, load float64) {
	w.t.Helper()
	w.endGather(g, almondstep.GatherEnded{Reply: &almondstep.Reply{
		Outcome: almondstep.OutcomePartial, Trace: almondstep.RequestTrace{DelegateLoad: load},
	}})
}

// playDelegates makes requests, to which each delegate replies after 20 ms with its load. It
// returns the number of requests at each delegate.
func (w *harness) playDelegates(from almondstep.QueryID, requests int, loads map[almondstep.DaemonID]float64) map[almondstep.DaemonID]int {
	w.t.Helper()
	counts := map[almondstep.DaemonID]int{}
	for id := from; id < from+almondstep.QueryID(requests); id++ {
		before := len(w.gathers)
		w.request(id, "/search/x")
		w.advance(20 * time.Millisecond)
		if len(w.gathers) == before {
			continue
		}
		g := w.gathers[before]
		counts[g.To.ID]++
		w.reply(g, loads[g.To.ID])
	}
	return counts
}

// A busy delegate would otherwise get requests in proportion to its size until it fails. It
// gets less, and none while it reports that it is overloaded. If all are overloaded, the
// daemon queries the shards itself.
func TestOverloadedDelegateIsSkipped(t *testing.T) {
	for load, most := range map[float64]int{0.8: 8, 1.2: 1} {
		w := newDelegatingHarness(t)
		counts := w.playDelegates(1, 20, map[almondstep.DaemonID]float64{"big": load, "small": 0.1})
		if got := counts["big"]; got > most || got == 0 {
			t.Errorf("load %.1f: got %d requests within 400ms, want 1 to %d", load, got, most)
		}
	}
	w := newDelegatingHarness(t)
	w.playDelegates(1, 2, map[almondstep.DaemonID]float64{"big": 1.2, "small": 1})
	if got, want := len(w.gathers), 2; got != want {
		t.Fatalf("got %d delegated requests, want %d", got, want)
	}
	w.request(3, "/search/x")
	if got, want := len(w.calls), delegatedShards; got != want || len(w.gathers) != 2 {
		t.Errorf("got %d calls to shards and %d delegated requests, want %d and 2", got, len(w.gathers), want)
	}
	w.advance(600 * time.Millisecond)
	if w.request(4, "/search/x"); len(w.gathers) != 3 {
		t.Error("got no delegated request after the reports' maximum age, want one")
	}
}

// A delegate that is lost would otherwise get its part of all requests for 400 ms. One that
// holds a request much longer than usual is doubted if another is available, and is used
// again after a reply.
func TestLateDelegateIsDoubted(t *testing.T) {
	w := newDelegatingHarness(t)
	w.playDelegates(1, 30, nil)
	w.request(31, "/search/x")
	late := w.gathers[len(w.gathers)-1]
	w.advance(120 * time.Millisecond)
	for id := almondstep.QueryID(32); id < 36; id++ {
		w.request(id, "/search/x")
		g := w.gathers[len(w.gathers)-1]
		if g.To.ID == late.To.ID {
			t.Fatalf("request %d goes to the delegate that holds one for 120ms instead of 20ms", id)
		}
		w.reply(g, 0)
	}
	w.reply(late, 0)
	if counts := w.playDelegates(36, 9, nil); counts[late.To.ID] == 0 {
		t.Error("got no request at the delegate after its reply, want some")
	}
}

// A delegate that has failed would otherwise get many requests at once after its backoff, all
// of which are lost if it is still stalled.
func TestFailedDelegateGetsOneRequest(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	failed := w.gathers[0].To.ID
	w.endGather(w.gathers[0], almondstep.GatherEnded{Err: "connection reset"})
	w.advance(700 * time.Millisecond)
	got := 0
	for id := almondstep.QueryID(2); id < 12; id++ {
		w.request(id, "/search/x")
		if g := w.gathers[len(w.gathers)-1]; g.To.ID == failed {
			got++
		} else {
			w.reply(g, 0)
		}
	}
	if want := 1; got != want {
		t.Errorf("got %d requests at the failed delegate after its backoff, want %d", got, want)
	}
}

// A gatherer's reply must report its load, or the others can't prefer less loaded ones: here
// 20 calls within 1 s at 0.01 core.
func TestGathererReportsLoad(t *testing.T) {
	cfg := testConfig()
	cfg.Cores = 0.01
	w := newHarness(t, cfg, directory(t, delegatedShards, nil))
	route, _ := w.view.Directory().Routes().Match("lots.example", "/search/x")
	message := &almondstep.RequestMessage{Key: "k", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "lots.example"}
	w.reduce(&almondstep.RequestArrived{ID: 1, Request: message, Remaining: time.Second, Route: route, Version: 6})
	for _, c := range append([]*almondstep.SendCall(nil), w.calls...) {
		w.end(c, almondstep.CallDone, record('a'))
	}
	// 20 calls are 40 a second at the time constant of 0.5 s; each takes 78 µs.
	if got, least, most := w.replies[1].Trace.DelegateLoad, 0.30, 0.32; got < least || got > most {
		t.Errorf("got load %.3f, want %.2f to %.2f", got, least, most)
	}
}

// A hedge that the budget denies must be sent once the budget allows it, or the request waits
// for a paused upstream although budget is available.
func TestDeniedHedgeIsRetriedWhenBudgetReturns(t *testing.T) {
	cfg := testConfig()
	cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow = 0, 2, 400*time.Millisecond
	w := newHarness(t, cfg, directory(t, 1, nil))
	w.request(1, "/search/x")
	w.advance(130 * time.Millisecond)
	if got, want := len(w.calls), 2; got != want {
		t.Fatalf("got %d calls of the first request, want %d with its hedge", got, want)
	}
	w.request(2, "/search/x")
	w.advance(130 * time.Millisecond)
	if got, want := len(w.calls), 3; got != want {
		t.Fatalf("got %d calls while the budget is used up, want %d", got, want)
	}
	w.advance(400 * time.Millisecond)
	if got, want := len(w.calls), 4; got != want {
		t.Errorf("got %d calls after the budget's window, want %d with the hedge of the second request", got, want)
	}
}

// Budget that returns must go first to a request without its minimum coverage, or it gets no
// answer while another one only becomes more complete. Here 3 of 4 shards are enough, and the
// first request has them.
func TestHedgesForMinimumCoverageComeFirst(t *testing.T) {
	cfg := testConfig()
	cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow = 0, 2, 80*time.Millisecond
	w := newHarness(t, cfg, directory(t, 4, nil))
	w.request(9, "/one/x")
	for len(w.calls) < 2 {
		w.advance(time.Millisecond)
	}
	w.request(1, "/search/x")
	for _, c := range append([]*almondstep.SendCall(nil), w.calls[2:5]...) {
		if c.Upstream.Service != shardName(0) {
			w.end(c, almondstep.CallDone, record('a'))
		}
	}
	w.end(w.calls[5], almondstep.CallDone, record('a'))
	w.request(2, "/search/x")
	w.advance(120 * time.Millisecond)
	var hedged []almondstep.QueryID
	for _, c := range w.calls[10:] {
		if c.Upstream.Service == shardName(0) {
			hedged = append(hedged, c.ID)
		}
	}
	if len(hedged) == 0 || hedged[0] != 2 {
		t.Errorf("got hedges of shard 0 for requests %v, want request 2 first", hedged)
	}
}
