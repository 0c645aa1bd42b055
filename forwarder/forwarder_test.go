package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// An answer over shards has the greatest records of all parts and the signature of
// each part.
func TestAllPartsAreMerged(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 4, nil))
	w.request(1, "/search/x")
	for i, c := range w.calls {
		if got, want := c.Upstream.Region, near; got != want {
			t.Errorf("call %d went to region %s, want %s", i, got, want)
		}
		w.end(c, almondstep.CallDone, record(byte('a'+i)))
	}
	r := w.replies[1]
	if r == nil || r.Merged == nil {
		t.Fatalf("got reply %+v, want a merged one", r)
	}
	if got, want := string(r.Merged.Records), record('d')+record('c')+record('b'); got != want {
		t.Errorf("got records %q, want %q", got, want)
	}
	if got, want := len(r.Merged.Signatures), 4; got != want {
		t.Errorf("got %d signatures, want %d", got, want)
	}
	if got, want := r.Outcome, almondstep.OutcomeComplete; got != want {
		t.Errorf("got outcome %s, want %s", got, want)
	}
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// A shard whose upstream pauses is hedged at the other upstream in time, and the
// first answer is used.
func TestPausedShardIsHedged(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 4, nil))
	w.request(1, "/search/x")
	first := append([]*almondstep.SendCall(nil), w.calls...)
	for _, c := range first[1:] {
		w.end(c, almondstep.CallDone, record('a'))
	}
	w.advance(80 * time.Millisecond)
	calls := w.callsTo(shardName(0))
	if got, want := len(calls), 2; got != want {
		t.Fatalf("got %d calls to the paused shard, want %d", got, want)
	}
	if got, want := calls[1].Upstream.Region, far; got != want {
		t.Errorf("the hedge went to %s, want %s", got, want)
	}
	w.end(calls[1], almondstep.CallDone, record('z'))
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete {
		t.Fatalf("got reply %+v, want a complete one", r)
	}
	if _, ok := w.cancels[calls[0].Call]; !ok {
		t.Error("the late call was not canceled")
	}
	w.end(calls[0], almondstep.CallDone, record('y'))
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// With enough parts received, the answer is sent just before the latency target, with
// these parts and the number of those missing.
func TestPartialAnswerIsInTime(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 4, nil))
	arrived := w.now
	w.request(1, "/search/x")
	for _, c := range append([]*almondstep.SendCall(nil), w.calls[1:]...) {
		w.end(c, almondstep.CallDone, record('a'))
	}
	w.advance(time.Second)
	r := w.replies[1]
	if r == nil || r.Merged == nil {
		t.Fatalf("got reply %+v, want a merged one", r)
	}
	if got, want := r.Merged.Missing, 1; got != want {
		t.Errorf("got %d missing, want %d", got, want)
	}
	if got, want := len(r.Merged.Signatures), 3; got != want {
		t.Errorf("got %d signatures, want %d", got, want)
	}
	if took := w.repliedAt[1].Sub(arrived); took >= 150*time.Millisecond || took < 100*time.Millisecond {
		t.Errorf("answered after %v, want just before 150ms", took)
	}
}

// With too few parts the request waits past the latency target, and is answered as
// soon as there are enough.
func TestTooFewPartsWaitForMore(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 4, nil))
	w.request(1, "/search/x")
	first := append([]*almondstep.SendCall(nil), w.calls...)
	w.end(first[0], almondstep.CallDone, record('a'))
	w.end(first[1], almondstep.CallDone, record('a'))
	w.advance(300 * time.Millisecond)
	if r := w.replies[1]; r != nil {
		t.Fatalf("got reply %+v with half of the shards, want none yet", r)
	}
	w.end(first[2], almondstep.CallDone, record('a'))
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomePartial {
		t.Errorf("got reply %+v, want a partial one at once", r)
	}
}

// When so many shards have failed that the required coverage can't be reached, the
// request fails at once, with an outcome other than notRun.
func TestRequestEndsOnceCoverageIsOutOfReach(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 4, func(p *almondstep.RouteSpec) { p.Attempts = 1 }))
	w.request(1, "/search/x")
	first := append([]*almondstep.SendCall(nil), w.calls...)
	w.end(first[0], almondstep.CallBroken, "")
	if r := w.replies[1]; r != nil {
		t.Fatalf("got reply %+v with three shards pending, want none", r)
	}
	w.end(first[1], almondstep.CallBroken, "")
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeUnknown || r.Code != almondstep.CodeMissingShards {
		t.Errorf("got reply %+v, want an unknown outcome for missing shards", r)
	}
	for _, c := range first[2:] {
		if _, ok := w.cancels[c.Call]; !ok {
			t.Errorf("call %d was not canceled", c.Call)
		}
	}
}

// A request that isn't idempotent is sent again only after a call that certainly
// hasn't run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, c := range []struct {
		result almondstep.CallResult
		calls  int
	}{
		{almondstep.CallShed, 2},
		{almondstep.CallRefused, 2},
		{almondstep.CallMisdirected, 2},
		{almondstep.CallBroken, 1},
		{almondstep.CallTimeout, 1},
		{almondstep.CallInvalidResponse, 1},
		{almondstep.CallRejected, 1},
	} {
		t.Run(c.result.String(), func(t *testing.T) {
			w := newHarness(t, testConfig(), directory(t, 2, nil))
			w.request(1, "/order/x")
			w.end(w.calls[0], c.result, "")
			w.advance(time.Millisecond)
			if got, want := len(w.calls), c.calls; got != want {
				t.Errorf("got %d calls, want %d", got, want)
			}
			if c.calls == 1 && w.replies[1].Outcome == almondstep.OutcomeNotRun {
				t.Error("got notRun for a request that may have run")
			}
		})
	}
}

// A call that isn't idempotent is never hedged, however late it is.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	w.request(1, "/order/x")
	w.advance(2 * time.Second)
	if got, want := len(w.calls), 1; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r := w.replies[1]; r == nil || r.Code != almondstep.CodeDeadline || r.Outcome != almondstep.OutcomeUnknown {
		t.Errorf("got reply %+v, want an unknown outcome at the deadline", r)
	}
}

// If all upstreams refuse the request before running anything, the outcome is notRun.
func TestRefusedByAllUpstreamsIsNotRun(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	w.request(1, "/order/x")
	w.end(w.calls[0], almondstep.CallShed, "")
	w.end(w.calls[1], almondstep.CallRefused, "")
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeNotRun || r.RetryAfter <= 0 {
		t.Errorf("got reply %+v, want notRun and a retry time", r)
	}
}

// An upstream's error response is passed on unchanged if no other upstream answers.
func TestUpstreamErrorIsPassedOn(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	w.request(1, "/one/x")
	w.end(w.calls[0], almondstep.CallRejected, "")
	w.end(w.calls[1], almondstep.CallRejected, "")
	r := w.replies[1]
	if r == nil || r.Response == nil || r.Response.Status != 500 {
		t.Errorf("got reply %+v, want the upstream's 500", r)
	}
}

// A shard is sent to no more upstreams than the route allows attempts.
func TestAttemptsBoundEachShard(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 3, func(p *almondstep.RouteSpec) { p.Attempts = 1 }))
	w.request(1, "/search/x")
	w.advance(2 * time.Second)
	if got, want := len(w.calls), 3; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// The number of hedges stays within the retry budget.
func TestRetryBudgetBoundsFurtherCalls(t *testing.T) {
	cfg := testConfig()
	cfg.RetryRatio, cfg.RetrySlack = 0.1, 0
	w := newHarness(t, cfg, directory(t, 1, nil))
	const requests = 200
	for i := range requests {
		w.request(almondstep.QueryID(i+1), "/one/x")
		w.advance(5 * time.Millisecond)
	}
	w.advance(2 * time.Second)
	if got, most := len(w.calls)-requests, requests/10; got > most || got == 0 {
		t.Errorf("got %d extra calls for %d requests, want some and at most %d", got, requests, most)
	}
}

// Requests are never sent to upstreams outside the route's regions.
func TestOtherRegionsGetNoCalls(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 3, func(p *almondstep.RouteSpec) {
		p.Regions = []almondstep.RegionName{far}
	}))
	w.request(1, "/search/x")
	w.advance(2 * time.Second)
	for _, c := range w.calls {
		if got, want := c.Upstream.Region, far; got != want {
			t.Errorf("a call went to %s, want %s", got, want)
		}
	}
	if got, want := len(w.calls), 3; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// When the caller disconnects, the calls of its request are canceled at once.
func TestCallsAreCanceledWhenCallerDisconnects(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 3, nil))
	w.request(1, "/search/x")
	w.reduce(&almondstep.RequesterGone{ID: 1})
	for _, c := range w.calls {
		if after, ok := w.cancels[c.Call]; !ok || after != 0 {
			t.Errorf("call %d: canceled %v after %v, want at once", c.Call, ok, after)
		}
		w.end(c, almondstep.CallCanceled, "")
	}
	if got, want := w.f.Open(), 0; got != want {
		t.Errorf("got %d requests kept, want %d", got, want)
	}
}

// Targets get requests in proportion to their weights.
func TestTargetsShareByWeight(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	for i := range 40 {
		w.request(almondstep.QueryID(i+1), "/split/x")
		w.end(w.calls[len(w.calls)-1], almondstep.CallDone, "")
	}
	if got, want := len(w.callsTo(shardName(0))), 30; got != want {
		t.Errorf("got %d calls to the target of weight 3 of 4, want %d", got, want)
	}
}

// Without routes a request is refused with noConfiguration; a path that matches no
// route is refused with unknownRoute.
func TestUnroutableRequests(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 2, nil))
	w.request(1, "/nothing/here")
	if got, want := w.replies[1].Code, almondstep.CodeUnknownRoute; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	w.view = almondstep.NewView(almondstep.ViewSpec{})
	w.request(2, "/search/x")
	if got, want := w.replies[2].Code, almondstep.CodeNoConfiguration; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := w.replies[2].RetryAfter; got <= 0 {
		t.Errorf("got retry after %v, want above 0", got)
	}
}

// With too few shards listed or reachable, the request is refused at once and nothing
// is sent.
func TestTooFewReachableShardsAreRefusedUnsent(t *testing.T) {
	full := directory(t, 4, nil)
	some := map[almondstep.ServiceName][]*almondstep.Upstream{}
	for i := range 2 {
		some[shardName(i)] = full.Upstreams(shardName(i))
	}
	w := newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{Routes: full.Routes(), Upstreams: some}))
	w.request(1, "/search/x")
	r := w.replies[1]
	if r == nil || r.Outcome != almondstep.OutcomeNotRun || r.RetryAfter <= 0 {
		t.Errorf("got reply %+v, want notRun and a retry time", r)
	}
	if got, want := len(w.calls), 0; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if r != nil && len(r.Trace.Missing) != 2 {
		t.Errorf("got missing %v, want the two shards without upstreams", r.Trace.Missing)
	}
}

// Load: an upstream in the same region takes 20 ms for each call, well within the
// latency target. No hedge is sent as long as a later one would still be answered in
// time.
func TestHedgeWaitsWhileThereIsTime(t *testing.T) {
	w := newHarness(t, testConfig(), directory(t, 1, nil))
	for id := almondstep.QueryID(1); id <= 40; id++ {
		w.request(id, "/one/x")
		w.advance(20 * time.Millisecond)
		w.end(w.calls[len(w.calls)-1], almondstep.CallDone, "")
	}
	if got, want := len(w.calls), 40; got != want {
		t.Errorf("got %d calls for %d requests, want no further ones", got, want)
	}
}

// The time for which a request was queued for its thread counts: calls to upstreams
// carry only the remaining time, and a request whose deadline has passed isn't sent at
// all.
func TestQueueingTimeCounts(t *testing.T) {
	const waited = 300 * time.Millisecond
	send := func(w *harness, id almondstep.QueryID, remaining time.Duration) {
		w.now = w.now.Add(time.Second)
		w.reduce(&almondstep.RequestArrived{
			ID: id, At: w.now.Add(-waited), Remaining: remaining,
			Request: &almondstep.RequestMessage{Key: "k", Method: "GET", Target: "/one/x", Path: "/one/x", Host: "lots.example"},
		})
	}
	w := newHarness(t, testConfig(), directory(t, 4, nil))
	send(w, 1, 800*time.Millisecond)
	if got, want := len(w.calls), 1; got != want {
		t.Fatalf("got %d calls, want %d", got, want)
	}
	if got, most := w.calls[0].UsefulFor, 500*time.Millisecond; got > most {
		t.Errorf("got %v wanted, want at most %v", got, most)
	}
	send(w, 2, 200*time.Millisecond)
	if got, want := len(w.calls), 1; got != want {
		t.Errorf("got %d calls, want %d: the deadline had passed", got, want)
	}
	if r := w.replies[2]; r == nil || r.Outcome != almondstep.OutcomeNotRun {
		t.Errorf("got reply %+v, want it not run", r)
	}
}
