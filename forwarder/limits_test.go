package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// limitedTook is how long calls to limited upstreams take.
const limitedTook = 40 * time.Millisecond

// answerLimited ends a call with a successful answer in which the upstream states a limit.
func (w *harness) answerLimited(c *almondstep.SendCall, rate float64) {
	w.t.Helper()
	delete(w.pending, c.Call)
	w.reduce(&almondstep.CallEnded{
		ID: c.ID, Call: c.Call, Result: almondstep.CallDone, Took: limitedTook, Limit: &rate,
		Response: &almondstep.ResponseMessage{Status: 200, Body: []byte(record('r')), Signature: "s"},
	})
}

// limitAll makes all upstreams of a service state a limit of one request in 20 seconds, of
// which nothing is left.
func (w *harness) limitAll(path string, service almondstep.ServiceName) {
	w.t.Helper()
	const rate = 0.05
	for id := almondstep.QueryID(1000); id < 1040; id++ {
		w.request(id, path)
		for _, c := range w.calls {
			if _, open := w.pending[c.Call]; open && c.Upstream.Service == service {
				w.answerLimited(c, rate)
			} else if open {
				w.end(c, almondstep.CallDone, record('r'))
			}
		}
		w.advance(20 * time.Millisecond)
	}
	w.calls = nil
}

// A request whose upstreams have all reached the limits that they state is refused at
// once, with the time until one of them takes a request.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 1, nil))
	w.limitAll("/one/x", shardName(0))
	w.request(1, "/one/x")
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeLimited {
		t.Fatalf("got reply %+v, want a refusal because of the limits", r)
	}
	if r.RetryAfter < time.Second || r.RetryAfter > time.Minute {
		t.Errorf("got Retry-After %v, want the time until a request is allowed", r.RetryAfter)
	}
	if got := len(w.calls); got != 0 {
		t.Errorf("got %d calls, want none", got)
	}
	w.advance(r.RetryAfter)
	w.request(2, "/one/x")
	if got, want := len(w.calls), 1; got != want {
		t.Errorf("got %d calls after that time, want %d", got, want)
	}
}

// A shard whose upstreams have reached their limits is left out, as long as the others are
// enough, and the trace says so.
func TestShardBeyondItsLimitsIsLeftOut(t *testing.T) {
	const shards = 8
	w := newHarness(t, testConfig(), directory(t, shards, nil))
	w.limitAll("/search/x", shardName(0))
	w.request(1, "/search/x")
	for _, c := range append([]*almondstep.SendCall(nil), w.calls...) {
		w.end(c, almondstep.CallDone, record('r'))
	}
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomePartial || r.Merged.Missing != 1 {
		t.Fatalf("got reply %+v, want a partial answer without one shard", r)
	}
	if got, want := r.Trace.Limited, 1; got != want {
		t.Errorf("got %d limited shards in the trace, want %d", got, want)
	}
	if got, want := r.Trace.Missing[0].Result, "limited"; got != want {
		t.Errorf("got %q for the missing shard, want %q", got, want)
	}
}

// An upstream that states a limit gets no hedges; a failed call is retried at it.
func TestLimitedUpstreamGetsNoHedges(t *testing.T) {
	const rate = 1000
	for name, c := range map[string]struct {
		limited bool
		want    int
	}{"limited": {true, 1}, "free": {false, 2}} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, testConfig(), directory(t, 1, nil))
			w.request(100, "/one/x")
			w.end(w.calls[0], almondstep.CallRejected, "")
			if c.limited {
				w.answerLimited(w.calls[1], rate)
			} else {
				w.endAfter(w.calls[1], almondstep.CallDone, record('r'), limitedTook)
			}
			w.advance(10 * time.Second)
			w.calls = nil
			w.request(1, "/one/x")
			w.advance(120 * time.Millisecond)
			if got, want := len(w.calls), c.want; got != want {
				t.Fatalf("got %d calls while the first is late, want %d", got, want)
			}
			for _, call := range append([]*almondstep.SendCall(nil), w.calls...) {
				w.end(call, almondstep.CallRejected, "")
			}
			if got, want := len(w.calls), 2; got != want {
				t.Errorf("got %d calls after all have failed, want %d", got, want)
			}
		})
	}
}

// If a delegate refuses a request because of limits, no other delegate gets it: the caller
// is told at once.
func TestDelegatesRefusalBecauseOfLimitIsPassedOn(t *testing.T) {
	w := newDelegatingHarness(t)
	w.request(1, "/search/x")
	refusal := &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeLimited, RetryAfter: time.Second}
	w.endGather(w.gathers[0], almondstep.GatherEnded{Reply: refusal})
	if r := w.replies[1]; r == nil || r.Code != almondstep.CodeLimited || r.RetryAfter != time.Second {
		t.Errorf("got reply %+v, want the delegate's refusal", r)
	}
	if got := len(w.gathers) - 1 + len(w.calls); got != 0 {
		t.Errorf("got %d further calls, want none", got)
	}
}
