package forwarder_test

import (
	"math/rand"
	"testing"
	"time"

	"almondstep"
)

// In random histories each request is answered exactly once and by its deadline, no
// shard is called more often than the route's attempts allow, a request that isn't
// idempotent is never sent again after it may have run, the outcome is notRun only if
// nothing can have run, and no state is kept.
func TestRandomHistories(t *testing.T) {
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		w := newHarness(t, testConfig(), directory(t, 1+rng.Intn(6), nil))
		playRandomHistory(t, w, rng, seed)
	}
}

func playRandomHistory(t *testing.T, w *harness, rng *rand.Rand, seed int64) {
	t.Helper()
	paths := []string{"/search/x", "/one/x", "/order/x", "/split/x"}
	const requests = 12
	path := map[almondstep.QueryID]string{}
	arrived := map[almondstep.QueryID]almondstep.Instant{}
	mayHaveRun := map[almondstep.QueryID]bool{}
	for id := almondstep.QueryID(1); id <= requests; {
		if rng.Intn(3) == 0 {
			path[id], arrived[id] = paths[rng.Intn(len(paths))], w.now
			w.request(id, path[id])
			id++
		}
		endRandomCall(w, rng, mayHaveRun, path)
		w.advance(time.Duration(rng.Intn(40)) * time.Millisecond)
	}
	w.advance(2 * time.Second)
	for len(w.pending) > 0 {
		endRandomCall(w, rng, mayHaveRun, path)
	}
	for id := almondstep.QueryID(1); id <= requests; id++ {
		r := w.replies[id]
		if r == nil {
			t.Fatalf("seed %d: request %v (%s) was not answered", seed, id, path[id])
		}
		if took := w.repliedAt[id].Sub(arrived[id]); took > time.Second {
			t.Errorf("seed %d: request %v took %v", seed, id, took)
		}
		if r.Outcome == almondstep.OutcomeNotRun && mayHaveRun[id] {
			t.Errorf("seed %d: request %v was reported as not run", seed, id)
		}
	}
	checkSends(t, w, seed, path)
	if got := w.f.Open(); got != 0 {
		t.Errorf("seed %d: got %d requests kept, want 0", seed, got)
	}
}

// endRandomCall ends one pending call with a random result, or none. It records requests
// that may have run, and marks those that aren't idempotent by the path /order/ran.
func endRandomCall(w *harness, rng *rand.Rand, mayHaveRun map[almondstep.QueryID]bool, path map[almondstep.QueryID]string) {
	results := []almondstep.CallResult{
		almondstep.CallDone, almondstep.CallDone, almondstep.CallDone, almondstep.CallShed, almondstep.CallRefused,
		almondstep.CallBroken, almondstep.CallMisdirected, almondstep.CallRejected, almondstep.CallInvalidResponse,
	}
	for _, c := range w.calls {
		if w.pending[c.Call] == nil || rng.Intn(2) == 0 {
			continue
		}
		result := results[rng.Intn(len(results))]
		if !result.NotRun() && w.replies[c.ID] == nil {
			mayHaveRun[c.ID] = true
			if path[c.ID] == "/order/x" {
				path[c.ID] = "/order/ran"
			}
		}
		before := len(w.calls)
		w.end(c, result, record('a'))
		if path[c.ID] == "/order/ran" && len(w.calls) != before {
			w.t.Errorf("request %v was sent again after it may have run", c.ID)
		}
		break
	}
}

// checkSends checks that no upstream got a request twice. With two upstreams for each
// service, each shard is then within its two attempts.
func checkSends(t *testing.T, w *harness, seed int64, path map[almondstep.QueryID]string) {
	t.Helper()
	type target struct {
		id       almondstep.QueryID
		upstream almondstep.UpstreamID
	}
	seen := map[target]bool{}
	for _, c := range w.calls {
		k := target{id: c.ID, upstream: c.Upstream.ID}
		if seen[k] {
			t.Errorf("seed %d: request %v (%s) was sent twice to %s", seed, c.ID, path[c.ID], c.Upstream.ID)
		}
		seen[k] = true
	}
}
