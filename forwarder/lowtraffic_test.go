package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// notStarted is the start time of a call to a paused upstream: so late that the call
// isn't answered.
const notStarted = almondstep.Instant(1 << 62)

// playRequest simulates one request over many shards. Each call is answered after
// latency, except the first calls to the paused shards, which aren't answered. It
// returns the answer and the number of calls beyond the first of each shard.
func playRequest(t *testing.T, w *harness, id almondstep.QueryID, latency time.Duration, paused map[almondstep.ServiceName]bool) (*almondstep.Reply, int) {
	t.Helper()
	first := len(w.calls)
	w.request(id, "/search/x")
	needed := len(w.calls) - first
	sentAt := map[almondstep.CallID]almondstep.Instant{}
	skipped := map[almondstep.ServiceName]bool{}
	began := w.now
	for w.replies[id] == nil && w.now < began.Add(time.Second) {
		for _, c := range w.calls[first:] {
			at, known := sentAt[c.Call]
			if !known {
				at = w.now
				if paused[c.Upstream.Service] && !skipped[c.Upstream.Service] {
					skipped[c.Upstream.Service] = true
					at = notStarted
				}
				sentAt[c.Call] = at
			}
			if w.pending[c.Call] != nil && w.now >= at.Add(latency) {
				w.endAfter(c, almondstep.CallDone, record('a'), latency)
			}
		}
		w.advance(time.Millisecond)
	}
	return w.replies[id], len(w.calls) - first - needed
}

// Load: one of many daemons receives a request over 90 shards every few seconds. It
// has few latency samples of each upstream, at first none, and opens all connections
// at the same time. The resulting delays must not be taken for late upstreams: no
// shard that answers in time is hedged. The shards whose upstream pauses are hedged
// early enough for the other upstream to answer in time.
func TestLowTrafficDaemonHedgesOnlyLateShards(t *testing.T) {
	const shards, takes, pause = 90, 35 * time.Millisecond, 5 * time.Second
	d := directory(t, shards, func(p *almondstep.RouteSpec) { p.MinCoverage = 0.95 })
	w := newHarness(t, testConfig(), d)
	w.reduce(&almondstep.ViewChanged{})
	for i := range 4 {
		if _, got := playRequest(t, w, almondstep.QueryID(i+1), takes, nil); got != 0 {
			t.Errorf("request %d: got %d hedges with all upstreams healthy, want 0", i+1, got)
		}
		w.advance(pause)
	}
	paused := map[almondstep.ServiceName]bool{shardName(3): true, shardName(40): true, shardName(77): true, shardName(78): true}
	requestedAt := w.now
	reply, hedges := playRequest(t, w, 9, takes, paused)
	if got, want := hedges, len(paused); got != want {
		t.Errorf("got %d hedges, want %d: one for each paused upstream", got, want)
	}
	if reply == nil || reply.Outcome != almondstep.OutcomeComplete {
		t.Fatalf("got %+v, want a complete answer", reply)
	}
	if got, most := w.repliedAt[9].Sub(requestedAt), 150*time.Millisecond; got > most {
		t.Errorf("got an answer after %v, want it within %v", got, most)
	}
}
