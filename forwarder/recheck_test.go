package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

const recheckShards = 4

// newRecheckHarness returns a harness with a quarantined request over shards whose recheck is due, and
// which one caller has sent.
func newRecheckHarness(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, crashConfig(), directory(t, recheckShards, nil))
	f := (&almondstep.RequestMessage{Method: "GET", Target: "/search/x", Host: "lots.example"}).Fingerprint()
	w.view = almondstep.NewView(almondstep.ViewSpec{
		Directory:   w.view.Directory(),
		Crashes:     map[almondstep.Fingerprint]int{f: 3},
		Quarantined: map[almondstep.Fingerprint]struct{}{f: {}},
		Rechecks:    map[almondstep.Fingerprint]almondstep.Recheck{f: {Number: 1, At: w.now}},
	})
	w.request(1, "/search/x")
	return w
}

// decide tells the forwarder the outcome of the claim.
func (w *harness) decide(claim *almondstep.ClaimRecheck, err string) {
	w.t.Helper()
	w.reduce(&almondstep.RecheckClaimed{ID: claim.ID, Record: claim.Record, Err: err})
}

// Guards against BUDGET: a recheck over shards is sent to one upstream of each, and crashes them all.
func TestRecheckOverShardsGoesToOneUpstreamUntilItIsAnswered(t *testing.T) {
	w := newRecheckHarness(t)
	if len(w.claims) != 1 || len(w.calls) != 0 {
		t.Fatalf("got %d claims and %d calls, want one claim", len(w.claims), len(w.calls))
	}
	w.request(2, "/search/x")
	if r := w.replies[2]; r == nil || r.Code != almondstep.CodeQuarantined || r.RetryAfter != time.Second {
		t.Errorf("got reply %+v to another caller, want a refusal for as long as a recheck takes", r)
	}
	w.decide(w.claims[0], "")
	w.advance(100 * time.Millisecond)
	if got, want := len(w.calls), 1; got != want {
		t.Fatalf("got %d calls before an answer, want %d", got, want)
	}
	w.end(w.calls[0], almondstep.CallDone, record('a'))
	if got, want := len(w.calls), recheckShards; got != want {
		t.Fatalf("got %d calls after it, want %d", got, want)
	}
	for _, c := range w.calls[1:] {
		w.end(c, almondstep.CallDone, record('b'))
	}
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
		t.Errorf("got reply %+v, want a complete answer", r)
	}
	if w.survived != 1 || w.released != 0 {
		t.Errorf("got %d reports that it survived and %d of a release, want 1 and 0", w.survived, w.released)
	}
}

// A recheck that ends its upstream's connection is repeated nowhere, and stays used.
func TestRecheckThatCrashesItsUpstreamEnds(t *testing.T) {
	w := newRecheckHarness(t)
	w.decide(w.claims[0], "")
	w.disconnect(w.calls[0])
	if got, want := len(w.calls), 1; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeUnknown {
		t.Errorf("got reply %+v, want one at once", r)
	}
	if len(w.crashed) != 1 || w.released != 0 {
		t.Errorf("got %d reports of crashes and %d of a release, want 1 and 0", len(w.crashed), w.released)
	}
}

// A recheck that reaches no upstream is released, and one that another daemon has is refused.
func TestRecheckWithoutCallIsReleased(t *testing.T) {
	cases := map[string]struct {
		happens  func(w *harness)
		released int
	}{
		"unreachable": {func(w *harness) {
			w.decide(w.claims[0], "")
			w.end(w.calls[0], almondstep.CallRefused, "")
		}, 1},
		"too few shards reachable": {func(w *harness) {
			w.publish(func(u *almondstep.Upstream) bool { return u.Service == shardName(0) })
			w.view = almondstep.NewView(almondstep.ViewSpec{Directory: w.view.Directory()})
			w.decide(w.claims[0], "")
		}, 1},
		"the caller left": {func(w *harness) {
			w.reduce(&almondstep.RequesterGone{ID: 1})
			w.decide(w.claims[0], "")
		}, 1},
		"too late": {func(w *harness) {
			w.advance(2 * time.Second)
			w.decide(w.claims[0], "")
		}, 1},
		"another daemon has it": {func(w *harness) {
			w.decide(w.claims[0], "another write came first")
			if r := w.replies[1]; r == nil || r.Code != almondstep.CodeQuarantined {
				w.t.Errorf("got reply %+v, want a refusal as quarantined", r)
			}
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newRecheckHarness(t)
			c.happens(w)
			if got := w.released; got != c.released {
				t.Errorf("got %d releases, want %d", got, c.released)
			}
			if got := w.f.Open(); got != 0 {
				t.Errorf("got %d open requests, want none", got)
			}
		})
	}
}
