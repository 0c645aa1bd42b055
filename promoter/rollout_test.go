package promoter_test

import (
	"testing"
	"time"

	"almondstep"
)

const limit = 100 * time.Second

// good answers as the old version does.
func good(f *fleet, _ *almondstep.SendCall) (bool, time.Duration) { return false, f.millis(8, 25) }

// failing fails a share of the calls, in percent.
func failing(percent uint64) outcome {
	return func(f *fleet, _ *almondstep.SendCall) (bool, time.Duration) {
		return f.random.Next()%100 < percent, f.millis(8, 25)
	}
}

// from answers as bad does from a time on, and well before.
func from(at time.Duration, bad outcome) outcome {
	return func(f *fleet, c *almondstep.SendCall) (bool, time.Duration) {
		if f.now >= almondstep.Instant(at) {
			return bad(f, c)
		}
		return good(f, c)
	}
}

// slow takes five times as long in a share of the calls, in percent.
func slow(percent uint64) outcome {
	return func(f *fleet, _ *almondstep.SendCall) (bool, time.Duration) {
		if f.random.Next()%100 < percent {
			return false, f.millis(60, 130)
		}
		return false, f.millis(8, 25)
	}
}

// onRouteTwo fails only there.
func onRouteTwo(f *fleet, c *almondstep.SendCall) (bool, time.Duration) {
	return c.Request.Path == "/two/x" && f.random.Next()%100 < 50, f.millis(8, 25)
}

// underLoad fails while more than five calls a second come.
func underLoad(f *fleet, c *almondstep.SendCall) (bool, time.Duration) {
	const many = 5
	if n := len(f.newAt); n > many && f.now.Sub(f.newAt[n-1-many]) < time.Second {
		return failing(40)(f, c)
	}
	return good(f, c)
}

// play orders v2 and plays the time limit and a little more.
func play(t *testing.T, daemons int, seed uint64, rate int, fresh outcome) *fleet {
	t.Helper()
	f := newFleet(t, daemons, seed, 50, fresh)
	f.load(rate)
	f.run(4 * time.Second)
	f.calls, f.newAt = 0, nil
	f.order("v2", limit)
	f.run(limit)
	return f
}

// checkBad checks what holds for every bad version.
func checkBad(t *testing.T, f *fleet, seed uint64) {
	t.Helper()
	if got, want := f.last().State, almondstep.RolloutRolledBack; got != want {
		t.Errorf("seed %d: got state %v at stage %v, want %v", seed, got, f.last().Stage, want)
	}
	if got, want := float64(len(f.newAt)), 0.1*float64(f.calls)+f.slack; got > want {
		t.Errorf("seed %d: got %v of %d calls to the bad version, want at most %v", seed, got, f.calls, want)
	}
	const badAnswers = 50
	if len(f.badAt) < badAnswers {
		return
	}
	if got, want := f.newAt[len(f.newAt)-1].Sub(f.badAt[badAnswers-1]), 5*time.Second; got > want {
		t.Errorf("seed %d: got a call %v after the 50th bad answer, want at most %v", seed, got, want)
	}
}

// Guards against a good version that isn't completed in time, and against old upstreams that get
// requests when they may stop.
func TestGoodVersionIsCompleted(t *testing.T) {
	for seed := range uint64(8) {
		for _, daemons := range []int{1, 6, 34} {
			f := play(t, daemons, seed, 20, failing(1))
			if got, want := f.last().State, almondstep.RolloutCompleted; got != want {
				t.Errorf("seed %d, %d daemons: got state %v at stage %v, want %v", seed, daemons, got, f.last().Stage, want)
			}
			if got, most := f.now.Sub(f.lastOld), 6*time.Second; got < most {
				t.Errorf("seed %d, %d daemons: got a call to an old upstream %v before the end, want none in %v", seed, daemons, got, most)
			}
		}
	}
}

// Guards against a good version that is rolled back because upstreams of either version pause for
// 280 ms every 6.5 s: the answers to all requests of a pause are slow together.
func TestPausesAreNoFault(t *testing.T) {
	const every, pause = 6500 * time.Millisecond, 280 * time.Millisecond
	pauses := func(f *fleet, c *almondstep.SendCall) (bool, time.Duration) {
		last := c.Upstream.ID[len(c.Upstream.ID)-1] - '0'
		if in := (time.Duration(f.now) + time.Duration(last)*2*time.Second) % every; in < pause {
			return false, pause - in + f.millis(8, 25)
		}
		return good(f, c)
	}
	for seed := range uint64(8) {
		f := newFleet(t, 9, seed, 50, pauses)
		f.old = pauses
		f.load(20)
		f.order("v2", limit)
		f.run(limit)
		if got, want := f.last().State, almondstep.RolloutCompleted; got != want {
			t.Errorf("seed %d: got state %v at stage %v, want %v", seed, got, f.last().Stage, want)
		}
	}
}

// Guards against a bad version that is completed, or that gets more than the bound.
func TestBadVersionIsRolledBack(t *testing.T) {
	for kind, fresh := range map[string]outcome{
		"at once":      failing(100),
		"often":        failing(30),
		"later":        from(60*time.Second, failing(40)),
		"late":         from(90*time.Second, failing(100)),
		"on one route": onRouteTwo,
		"slow":         slow(60),
		"under load":   underLoad,
	} {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(6) {
				for _, daemons := range []int{3, 34} {
					checkBad(t, play(t, daemons, seed, 20, fresh), seed)
				}
			}
		})
	}
}

// Guards against a bound that small or large fleets break: each daemon has too few requests for a
// whole call of the canary's share, or half of the slack for itself.
func TestExposureBoundHoldsAtEveryMoment(t *testing.T) {
	for seed := range uint64(6) {
		for _, daemons := range []int{1, 9, 68} {
			f := newFleet(t, daemons, seed, 20, good)
			f.load(30)
			f.run(4 * time.Second)
			f.calls, f.newAt = 0, nil
			f.order("v2", limit)
			for f.last().Stage != almondstep.StageAll && f.now < almondstep.Instant(limit) {
				f.run(time.Second)
				if got, most := float64(len(f.newAt)), 0.1*float64(f.calls)+f.slack/2; got > most {
					t.Fatalf("seed %d, %d daemons: got %v of %d calls to the new version at %v, want at most %v", seed, daemons, got, f.calls, f.now, most)
				}
			}
		}
	}
}

// Guards against a rollout that ends with its leader, or with the store for a while.
func TestRolloutSurvivesFailures(t *testing.T) {
	for name, fail := range map[string]func(*fleet){
		"leader killed":  func(f *fleet) { f.daemons[f.claims[0]].dead = true },
		"leader cut off": func(f *fleet) { f.daemons[f.claims[0]].apart = true },
		"store away":     func(f *fleet) { f.away = true; f.after(20*time.Second, func() { f.away = false }) },
		"decision lost": func(f *fleet) {
			f.put("decision", almondstep.RolloutChange{Subject: almondstep.RolloutDecisionMade, Service: service})
		},
		"leader's key gone": func(f *fleet) { f.put("leader", almondstep.RolloutChange{Subject: almondstep.RolloutLeaderChanged}) },
	} {
		for kind, want := range map[string]almondstep.RolloutState{"good": almondstep.RolloutCompleted, "bad": almondstep.RolloutRolledBack} {
			t.Run(name+", "+kind, func(t *testing.T) {
				fresh := outcome(good)
				if want == almondstep.RolloutRolledBack {
					fresh = from(45*time.Second, failing(60))
				}
				f := newFleet(t, 6, 3, 50, fresh)
				f.load(20)
				f.run(4 * time.Second)
				f.calls, f.newAt = 0, nil
				f.order("v2", limit)
				f.run(36 * time.Second)
				if len(f.claims) != 1 {
					t.Fatalf("got claims %v, want one", f.claims)
				}
				fail(f)
				f.run(limit - 36*time.Second)
				if got := f.last().State; got != want {
					t.Errorf("got state %v at stage %v, want %v; claims %v", got, f.last().Stage, want, f.claims)
				}
				for i := 1; i < len(f.states); i++ {
					if f.states[i].Stage < f.states[i-1].Stage {
						t.Errorf("got stage %v after %v, want none before", f.states[i].Stage, f.states[i-1].Stage)
					}
				}
				if want == almondstep.RolloutRolledBack {
					checkBad(t, f, 3)
				}
			})
		}
	}
}

// Guards against a decision of a leader that was replaced: after the store has another leader, the
// older one's write must fail.
func TestOlderLeadersWriteFails(t *testing.T) {
	f := newFleet(t, 3, 1, 50, good)
	f.load(10)
	f.order("v2", limit)
	f.run(10 * time.Second)
	w := &almondstep.WriteRollout{
		LeaderRevision: f.entries["leader"].Revision, DecisionRevision: f.entries["decision"].Revision,
		Decision: &almondstep.RolloutDecision{Service: service, Version: "v2", OrderRevision: f.entries["order"].Revision, State: almondstep.RolloutCompleted},
	}
	f.put("leader", almondstep.RolloutChange{Subject: almondstep.RolloutLeaderChanged, Leader: &almondstep.RolloutLeader{Daemon: name((f.claims[0] + 1) % 3)}})
	if got := f.write(f.daemons[f.claims[0]], w); !got.Conflict {
		t.Error("got the older leader's decision accepted, want a conflict")
	}
	f.run(limit)
	if got, want := f.last().State, almondstep.RolloutCompleted; got != want {
		t.Errorf("got state %v, want %v by the other leader", got, want)
	}
}

// Guards against requests to the new version after its order was withdrawn, and to a version that
// was rolled back while another one is rolled out.
func TestWithdrawnAndChangedOrders(t *testing.T) {
	f := newFleet(t, 6, 1, 50, failing(100))
	f.load(20)
	f.order("v2", limit)
	f.run(3 * time.Second)
	f.order("", 0)
	f.run(4 * time.Second)
	before := len(f.newAt)
	f.run(30 * time.Second)
	if got := len(f.newAt) - before; got != 0 {
		t.Errorf("got %d calls to the withdrawn version, want 0", got)
	}
	if got := f.last().State; got != almondstep.RolloutInProgress {
		t.Errorf("got state %v for a withdrawn order, want none", got)
	}
	f.order("v3", limit)
	f.run(30 * time.Second)
	if got := len(f.newAt) - before; got != 0 {
		t.Errorf("got %d calls to the withdrawn version during another rollout, want 0", got)
	}
	if got, want := f.last().Version, almondstep.UpstreamVersion("v3"); got != want {
		t.Errorf("got a rollout of %q, want %q", got, want)
	}
	f.order("v2", limit)
	f.run(limit)
	if got, want := f.last().State, almondstep.RolloutRolledBack; got != want {
		t.Errorf("got state %v of the version that is ordered again, want %v", got, want)
	}
}

// Guards against an outage when the version that is ordered is the only one: nothing can be
// compared, and its requests would be refused until the time limit.
func TestOrderForOnlyVersionIsCompletedSoon(t *testing.T) {
	f := newFleet(t, 3, 1, 50, good)
	for _, d := range f.daemons {
		gone := upstreams("v1", 6)
		for i := range gone {
			gone[i].Upstream = nil
		}
		f.control(d, &almondstep.RegistryRead{Changes: &almondstep.RegistryChanges{Revision: 10, Upstreams: gone}})
	}
	f.load(20)
	f.order("v2", limit)
	f.run(10 * time.Second)
	if got, want := f.last().State, almondstep.RolloutCompleted; got != want {
		t.Errorf("got state %v, want %v", got, want)
	}
}

// Guards against a move of all requests to upstreams that refuse connections: no answer fails.
func TestUnreachableVersionGetsNoMore(t *testing.T) {
	f := newFleet(t, 3, 1, 50, good)
	f.refuse = true
	f.load(20)
	f.order("v2", limit)
	f.run(limit)
	if got, want := f.last().Stage, almondstep.StageCanary; got != want {
		t.Errorf("got stage %v, want %v", got, want)
	}
}
