package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// rolloutHarness returns a harness in which the far upstreams have the new version v2.
func rolloutHarness(t *testing.T) (w *harness, decide func(almondstep.RolloutDecision)) {
	t.Helper()
	cfg := testConfig()
	cfg.ExposeShare = 0.1
	d := directory(t, 2, nil)
	for _, all := range d.AllUpstreams() {
		all[0].Version, all[1].Version = "v1", "v2"
	}
	w = newHarness(t, cfg, d)
	return w, func(decision almondstep.RolloutDecision) {
		decision.Version, decision.OrderRevision = "v2", 1
		r := &almondstep.Rollout{
			Service: shardName(0), Order: &almondstep.RolloutOrder{Version: "v2", CompleteBy: time.Minute},
			OrderRevision: 1, Decision: &decision,
		}
		w.view = almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{
			Routes: d.Routes(), Upstreams: d.AllUpstreams(), Daemons: 1,
			Rollouts: map[almondstep.ServiceName]*almondstep.Rollout{shardName(0): r},
		})})
		w.reduce(&almondstep.ViewChanged{})
	}
}

// Guards against a version that gets more than its share, and against callers that get the
// failures of a new version although the old one could answer.
func TestCallsOfRolloutAreSplitByVersion(t *testing.T) {
	w, decide := rolloutHarness(t)
	id, answered := almondstep.QueryID(0), 0
	serve := func(requests int, fresh almondstep.CallResult) (calls map[almondstep.UpstreamVersion]int) {
		calls = map[almondstep.UpstreamVersion]int{}
		for range requests {
			id++
			w.request(id, "/one/x")
			for len(w.pending) > 0 {
				c := w.calls[len(w.calls)-1]
				calls[c.Upstream.Version]++
				result := almondstep.CallDone
				if c.Upstream.Version == "v2" {
					result = fresh
				}
				w.end(c, result, "x")
			}
			if w.replies[id].Outcome == almondstep.OutcomeComplete {
				answered++
			}
			w.advance(20 * time.Millisecond)
		}
		return calls
	}
	check := func(what string, got, least, most int) {
		t.Helper()
		if got < least || got > most {
			t.Errorf("%s: got %d, want %d to %d", what, got, least, most)
		}
	}
	decide(almondstep.RolloutDecision{Stage: almondstep.StageCanary, Share: 0.05})
	check("canary", serve(200, almondstep.CallDone)["v2"], 9, 11)
	check("canary that fails, until the daemon stops by itself", serve(200, almondstep.CallRejected)["v2"], 3, 5)
	check("requests answered by the old version", answered, 400, 400)
	decide(almondstep.RolloutDecision{Stage: almondstep.StageAll, Share: 1})
	check("old version when all requests go to the new one", serve(20, almondstep.CallDone)["v1"], 0, 0)
	decide(almondstep.RolloutDecision{Stage: almondstep.StageAll, State: almondstep.RolloutRolledBack})
	check("version that was rolled back", serve(20, almondstep.CallDone)["v2"], 0, 0)
}
