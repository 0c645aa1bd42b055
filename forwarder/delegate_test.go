package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/budgeter"
	"almondstep/forwarder"
)

// handedShards is a number of shards that is handed over.
const handedShards = 20

// handing is a world whose daemon has two delegates, the first twice the size.
func handing(t *testing.T) *world {
	t.Helper()
	whole := directory(t, handedShards, nil)
	w := newWorld(t, bounds(), almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: whole.Routes(), Upstreams: whole.AllUpstreams(), Daemons: 9, Gatherers: 3,
		Delegates: []almondstep.Delegate{{ID: "big", Addr: "b:1", Cores: 0.8}, {ID: "small", Addr: "s:1", Cores: 0.4}},
	}))
	w.reduce(&almondstep.ViewChanged{})
	return w
}

// gathered ends a hand-over.
func (w *world) gathered(g *almondstep.SendGather, e almondstep.GatherEnded) {
	w.t.Helper()
	e.ID, e.Call = g.ID, g.Call
	w.reduce(&e)
}

// A request over many shards goes to a delegate with what is left of its time, and
// the delegate's answer to the caller.
func TestRequestIsHandedOver(t *testing.T) {
	w := handing(t)
	w.ask(1, "/search/x")
	if got, want := len(w.handed), 1; got != want {
		t.Fatalf("got %d requests handed over, want %d", got, want)
	}
	g := w.handed[0]
	if got, most := g.Request.Route.LatencyTarget(), 150*time.Millisecond; got >= most || got < most*9/10 {
		t.Errorf("got a latency target of %v, want a little less than %v", got, most)
	}
	if got, want := g.Request.Version, almondstep.RouteVersion(7); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	w.advance(100 * time.Millisecond)
	answer := &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Merged: &almondstep.MergedAnswer{Records: []byte(record('a'))}}
	w.gathered(g, almondstep.GatherEnded{Reply: answer})
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeComplete || r.Trace.Delegate != "big" || r.Trace.Took != 100*time.Millisecond {
		t.Errorf("got %+v, want the delegate's answer after 100ms", r)
	}
	if got, want := len(w.order)+w.f.Open(), 0; got != want {
		t.Errorf("got %d calls and requests left, want %d", got, want)
	}
}

// The larger delegate gets more requests, by its size.
func TestLargerDelegatesGetMore(t *testing.T) {
	w := handing(t)
	counts := map[almondstep.DaemonID]int{}
	for id := range almondstep.QueryID(30) {
		w.ask(id+1, "/search/x")
		g := w.handed[len(w.handed)-1]
		counts[g.To.ID]++
		w.gathered(g, almondstep.GatherEnded{Reply: &almondstep.Reply{Outcome: almondstep.OutcomePartial}})
	}
	if got, want := counts["big"], 20; got != want {
		t.Errorf("got %d of 30 requests at the larger one, want %d", got, want)
	}
}

// A request that a delegate certainly hasn't run goes to the other one, and then to
// the shards themselves. Delegates that refuse are left alone for a moment.
func TestRefusedHandOverIsAskedHere(t *testing.T) {
	refusals := map[string]almondstep.GatherEnded{
		"unreachable": {NotRun: true, Err: "connection refused"},
		"no replica":  {Reply: &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeNoReplica}},
	}
	for name, refusal := range refusals {
		w := handing(t)
		w.ask(1, "/search/x")
		w.gathered(w.handed[0], refusal)
		if got, want := len(w.handed), 2; got != want || w.handed[1].To.ID == w.handed[0].To.ID {
			t.Fatalf("%s: got %d hand-overs, want %d to two delegates", name, got, want)
		}
		w.gathered(w.handed[1], refusal)
		if got, want := len(w.order), handedShards; got != want {
			t.Fatalf("%s: got %d calls, want one for each of %d shards", name, got, want)
		}
		for _, c := range append([]*almondstep.SendCall(nil), w.order...) {
			w.end(c, almondstep.CallDone, record('a'))
		}
		if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
			t.Errorf("%s: got %+v, want a complete answer", name, r)
		}
	}
	w := handing(t)
	w.ask(1, "/search/x")
	w.gathered(w.handed[0], refusals["unreachable"])
	w.ask(2, "/search/x")
	if got := w.handed[2].To.ID; got == w.handed[0].To.ID {
		t.Errorf("the next request goes to %s again, which can't be reached", got)
	}
}

// Where a handed-over request may have run, its caller is told so at once. All
// shards would else be called twice, beyond any retry budget.
func TestBrokenHandOverIsNotRepeated(t *testing.T) {
	w := handing(t)
	w.ask(1, "/search/x")
	w.gathered(w.handed[0], almondstep.GatherEnded{Err: "connection reset"})
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeUnknown {
		t.Errorf("got %+v, want an unknown outcome", r)
	}
	if got, want := len(w.order)+len(w.handed), 1; got != want {
		t.Errorf("got %d calls and hand-overs, want %d", got, want)
	}
}

// A delegate that stands still holds up only what was handed to it before that
// showed; at the deadline the caller is answered and the call given up.
func TestSilentDelegate(t *testing.T) {
	w := handing(t)
	w.ask(1, "/search/x")
	silent := w.handed[0]
	w.advance(500 * time.Millisecond)
	for id := almondstep.QueryID(2); id < 12; id++ {
		w.ask(id, "/search/x")
		if got := w.handed[len(w.handed)-1].To.ID; got == silent.To.ID {
			t.Fatalf("request %d goes to the silent delegate", id)
		}
		w.gathered(w.handed[len(w.handed)-1], almondstep.GatherEnded{Reply: &almondstep.Reply{Outcome: almondstep.OutcomePartial}})
	}
	w.advance(600 * time.Millisecond)
	if r := w.replies[1]; r == nil || r.Code != almondstep.CodeDeadline || r.Trace.Delegate != silent.To.ID {
		t.Errorf("got %+v, want the deadline", r)
	}
	if _, ok := w.cancels[silent.Call]; !ok {
		t.Error("the call to the silent delegate isn't given up")
	}
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// When the caller leaves, so does the hand-over, and the delegate isn't blamed.
func TestHandOverEndsWithItsCaller(t *testing.T) {
	w := handing(t)
	w.ask(1, "/search/x")
	w.reduce(&almondstep.RequesterGone{ID: 1})
	if _, ok := w.cancels[w.handed[0].Call]; !ok {
		t.Error("the call isn't given up")
	}
	w.ask(2, "/search/x")
	w.ask(3, "/search/x")
	first := w.handed[0].To.ID
	if w.handed[1].To.ID != first && w.handed[2].To.ID != first {
		t.Errorf("%s gets no requests any more", first)
	}
}

// What another daemon has handed over is never handed on, and what is over few
// shards isn't handed over at all.
func TestWhatIsAskedHere(t *testing.T) {
	w := handing(t)
	route, ok := w.view.Directory().Routes().Match("lots.example", "/search/x")
	if !ok {
		t.Fatal("no route")
	}
	message := &almondstep.RequestMessage{Key: "k", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "lots.example"}
	w.reduce(&almondstep.RequestArrived{ID: 1, Request: message, Remaining: time.Second, Route: route, Version: 6})
	if got, want := len(w.order), handedShards; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	w.ask(2, "/one/x")
	if got, want := len(w.handed), 0; got != want {
		t.Errorf("got %d hand-overs, want %d", got, want)
	}
}

// Over all daemons together, those that ask shards and those that do only without
// a delegate, the further calls to one shard stay within the stated bound.
func TestSharesOfAllDaemonsTogether(t *testing.T) {
	for _, fleet := range []struct{ daemons, gatherers int }{{78, 30}, {9, 3}, {9, 9}, {6, 5}, {730, 12}} {
		extra := 0
		for i := range fleet.daemons {
			extra += repeatsOf(t, fleet.daemons, fleet.gatherers, i >= fleet.gatherers)
		}
		if got, most := float64(extra), bounds().RetrySlack; got > most {
			t.Errorf("%d daemons, %d of them gatherers: got %v further calls without a request, want at most %v",
				fleet.daemons, fleet.gatherers, got, most)
		}
	}
}

// repeatsOf is the number of retries that one daemon allows to a shard without
// counting its requests: what comes from the slack alone.
func repeatsOf(t *testing.T, daemons, gatherers int, others bool) int {
	t.Helper()
	b := budgeter.Budget{Ratio: 0, Slack: bounds().RetrySlack, Window: bounds().RetryWindow}
	p := almondstep.DirectorySpec{Routes: directory(t, 4, nil).Routes(), Daemons: daemons, Gatherers: gatherers}
	if others {
		p.Delegates = []almondstep.Delegate{{ID: "big", Cores: 1}}
	}
	n := 0
	for b.Take(almondstep.Instant(time.Second), shardName(0), forwarder.Sharing(almondstep.NewDirectory(p), shardName(0)), budgeter.Retry) {
		n++
	}
	return n
}
