package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// removed and replaced are how runs of upstreams end.
var (
	removed  = almondstep.RunEnd{}
	replaced = almondstep.RunEnd{Replaced: true}
)

// newSilenceHarness returns a harness that counts crashes, and whose upstreams state when
// they started.
func newSilenceHarness(t *testing.T, shards int) *harness {
	t.Helper()
	w := newHarness(t, crashConfig(), directory(t, shards, nil))
	w.publishStarted(leavingBorn)
	return w
}

// endRuns publishes that the runs of upstreams have ended. Replaced ones have new runs.
func (w *harness) endRuns(end almondstep.RunEnd, ended ...*almondstep.Upstream) {
	w.t.Helper()
	old := w.view.Directory()
	spec := almondstep.DirectorySpec{
		Routes: old.Routes(), Daemons: old.Daemons(),
		Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{},
		Ended:     map[almondstep.UpstreamRun]almondstep.RunEnd{},
	}
	end.At = w.now
	for _, u := range ended {
		spec.Ended[u.Run()] = end
	}
	for s, all := range old.AllUpstreams() {
		for _, u := range all {
			switch _, gone := spec.Ended[u.Run()]; {
			case !gone:
				spec.Upstreams[s] = append(spec.Upstreams[s], u)
			case end.Replaced:
				next := *u
				next.Started = u.Started.Add(time.Second)
				spec.Upstreams[s] = append(spec.Upstreams[s], &next)
			}
		}
	}
	w.view = almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(spec)})
	w.reduce(&almondstep.ViewChanged{})
}

// endSilent ends all pending calls of a request as those to silent upstreams end.
func (w *harness) endSilent(id almondstep.QueryID) []*almondstep.Upstream {
	w.t.Helper()
	var silent []*almondstep.Upstream
	for i := 0; i < len(w.calls); i++ {
		c := w.calls[i]
		if _, open := w.pending[c.Call]; !open || c.ID != id {
			continue
		}
		silent = append(silent, c.Upstream)
		result := almondstep.CallTimeout
		if _, canceled := w.cancels[c.Call]; canceled {
			result = almondstep.CallCanceled
		}
		w.endAfter(c, result, "", time.Second)
	}
	return silent
}

// silentCrashes returns the runs that were reported as crashed under requests.
func (w *harness) silentCrashes() []almondstep.UpstreamRun {
	var runs []almondstep.UpstreamRun
	for _, e := range w.crashed {
		if !e.Silent() {
			w.t.Errorf("got %+v, want a silent crash", e)
		}
		runs = append(runs, e.Upstreams...)
	}
	return runs
}

// Guards against BUDGET: a call ends by its timeout, after a hedge, or because its caller
// left, before the registry shows that the upstream's run has ended; no crash is counted.
func TestUpstreamThatEndsAfterItFellSilentCounts(t *testing.T) {
	ends := map[string]func(w *harness) []*almondstep.Upstream{
		"timeout": func(w *harness) []*almondstep.Upstream {
			w.advance(time.Second)
			return w.endSilent(1)
		},
		"caller leaves": func(w *harness) []*almondstep.Upstream {
			w.advance(50 * time.Millisecond)
			w.reduce(&almondstep.RequesterGone{ID: 1})
			return w.endSilent(1)
		},
		"hedge fails": func(w *harness) []*almondstep.Upstream {
			w.advance(140 * time.Millisecond)
			if got, want := len(w.calls), 2; got != want {
				w.t.Fatalf("got %d calls, want %d with the hedge", got, want)
			}
			w.end(w.calls[1], almondstep.CallRejected, "")
			w.advance(time.Second)
			return w.endSilent(1)
		},
	}
	for name, endCalls := range ends {
		for _, end := range []almondstep.RunEnd{removed, replaced} {
			t.Run(name, func(t *testing.T) {
				w := newSilenceHarness(t, 1)
				w.request(1, "/one/x")
				silent := endCalls(w)
				w.advance(3 * time.Second)
				if got := len(w.silentCrashes()); got != 0 {
					t.Fatalf("got %d crashes before a run has ended, want none", got)
				}
				w.endRuns(end, silent[0])
				w.endRuns(end, silent[0])
				got := w.silentCrashes()
				if len(got) != 1 || got[0] != silent[0].Run() {
					t.Errorf("got crashes %v, want one of %s", got, silent[0].Run())
				}
			})
		}
	}
}

// Guards against BUDGET where the registry shows the end of a run before the call to it ends.
func TestRunThatEndedBeforeTheCallCounts(t *testing.T) {
	w := newSilenceHarness(t, 1)
	w.request(1, "/one/x")
	silent := w.calls[0].Upstream
	w.advance(400 * time.Millisecond)
	w.endRuns(removed, silent)
	w.advance(time.Second)
	w.endSilent(1)
	if got, want := len(w.silentCrashes()), 1; got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}
}

// A run that ends doesn't count against a request that it left unanswered, if something
// shows that the request isn't the cause.
func TestUnansweredRequestIsNotTheCause(t *testing.T) {
	cases := map[string]func(w *harness, silent []*almondstep.Upstream) almondstep.RunEnd{
		"another attempt was answered": func(w *harness, _ []*almondstep.Upstream) almondstep.RunEnd {
			w.request(2, "/one/x")
			w.end(w.calls[len(w.calls)-1], almondstep.CallDone, record('r'))
			return replaced
		},
		"the upstream answered another request": func(w *harness, silent []*almondstep.Upstream) almondstep.RunEnd {
			w.answerFrom(silent[0])
			return removed
		},
		"the upstream answered long before its next run": func(w *harness, silent []*almondstep.Upstream) almondstep.RunEnd {
			w.answerFrom(silent[0])
			w.advance(5 * time.Second)
			return replaced
		},
		"the upstream said that it leaves": func(w *harness, silent []*almondstep.Upstream) almondstep.RunEnd {
			w.request(2, "/one/y")
			c := w.calls[len(w.calls)-1]
			if c.Upstream.ID != silent[0].ID {
				w.t.Fatalf("got the call at %s, want %s", c.Upstream.ID, silent[0].ID)
			}
			w.endLeaving(c, almondstep.CallShed, 503)
			return replaced
		},
		"the run ended much later": func(w *harness, _ []*almondstep.Upstream) almondstep.RunEnd {
			w.advance(time.Minute)
			return removed
		},
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSilenceHarness(t, 1)
			w.request(1, "/one/x")
			w.advance(10 * time.Millisecond)
			w.reduce(&almondstep.RequesterGone{ID: 1})
			silent := w.endSilent(1)
			w.advance(time.Second)
			w.endRuns(happens(w, silent), silent...)
			if got := w.silentCrashes(); len(got) != 0 {
				t.Errorf("got crashes %v, want none", got)
			}
		})
	}
}

// answerFrom lets an upstream answer another request.
func (w *harness) answerFrom(u *almondstep.Upstream) {
	w.t.Helper()
	for id := almondstep.QueryID(50); id < 60; id++ {
		w.request(id, "/one/other")
		c := w.calls[len(w.calls)-1]
		w.end(c, almondstep.CallDone, record('r'))
		if c.Upstream.ID == u.ID {
			return
		}
	}
	w.t.Fatalf("no call to %s", u.ID)
}

// A call to an upstream that had left its latest calls unanswered before isn't why it is
// silent.
func TestCallToUnresponsiveUpstreamDoesNotCount(t *testing.T) {
	w := newSilenceHarness(t, 1)
	w.publish(func(u *almondstep.Upstream) bool { return u.Region == near })
	for id := almondstep.QueryID(1); id <= 3; id++ {
		w.request(id, "/one/x")
		w.advance(time.Second)
		w.endSilent(id)
	}
	w.request(4, "/one/late")
	w.advance(time.Second)
	silent := w.endSilent(4)
	w.endRuns(removed, silent...)
	late := (&almondstep.RequestMessage{Method: "GET", Target: "/one/late", Host: "lots.example"}).Fingerprint()
	for _, e := range w.crashed {
		if e.Fingerprint == late {
			t.Error("got a crash under a request that was sent to an unresponsive upstream")
		}
	}
	if len(w.crashed) == 0 {
		t.Error("got no crash at all")
	}
}

// The upstreams that leave the part of a regional delegate unanswered count at the daemon
// that sent it, which has the other parts; the delegate names them in time, and counts none.
func TestRegionalPartReturnsItsSilentUpstreams(t *testing.T) {
	w := newRegionalHarness(t, 150*time.Millisecond, nil)
	w.f = newSilenceHarness(t, 1).f
	w.publishStarted(leavingBorn)
	w.reportRTT(almondstep.RTTMeasured{Took: regionalRTT})
	w.request(1, "/search/x")
	g := w.gathers[0]
	if got, most := g.Request.Remaining, time.Second-regionalRTT; got > most {
		t.Errorf("got %v for the regional delegate, want at most %v", got, most)
	}
	far := w.view.Directory().Upstreams(shardName(localShards))[0]
	reply := &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Trace: almondstep.RequestTrace{Unanswered: []almondstep.UpstreamRun{far.Run()}}}
	w.endGather(g, almondstep.GatherEnded{Reply: reply})
	w.advance(time.Second)
	w.endSilent(1)
	w.endRuns(removed, far)
	if got := w.silentCrashes(); len(got) != 1 || got[0] != far.Run() {
		t.Errorf("got crashes %v, want one of %s", got, far.Run())
	}

	w = newSilenceHarness(t, 3)
	spec := g.Request.Route.Spec()
	spec.Shards = spec.Shards[:0]
	for i := range 3 {
		spec.Shards = append(spec.Shards, shardName(i))
	}
	part, err := almondstep.NewRoute(spec)
	if err != nil {
		t.Fatal(err)
	}
	w.reduce(&almondstep.RequestArrived{ID: 1, Remaining: time.Second, Route: &part, Request: g.Request.Request})
	w.advance(time.Second)
	silent := w.endSilent(1)
	w.endRuns(removed, silent...)
	if got := w.silentCrashes(); len(got) != 0 {
		t.Errorf("delegate: got crashes %v, want none", got)
	}
	if got, want := len(w.replies[1].Trace.Unanswered), len(silent); got != want {
		t.Errorf("delegate: got %d unanswered upstreams in its reply, want %d", got, want)
	}
}
