package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// leavingBorn is when the upstreams of these tests started.
var leavingBorn = time.UnixMilli(1_700_000_000_000)

// newLeavingHarness returns a harness whose upstreams state when they started.
func newLeavingHarness(t *testing.T, d *almondstep.Directory) *harness {
	t.Helper()
	w := newHarness(t, testConfig(), d)
	w.publishStarted(leavingBorn)
	return w
}

// endLeaving ends a call with a response in which the upstream says that it leaves.
func (w *harness) endLeaving(c *almondstep.SendCall, result almondstep.CallResult, status int) {
	w.t.Helper()
	delete(w.pending, c.Call)
	w.reduce(&almondstep.CallEnded{
		ID: c.ID, Call: c.Call, Result: result, Took: 5 * time.Millisecond, Leaving: true,
		Response: &almondstep.ResponseMessage{Status: status, Body: []byte(record('r')), Signature: "s"},
	})
}

// publish replaces the directory by one in which change has altered a copy of each upstream;
// one for which it returns false isn't listed.
func (w *harness) publish(change func(*almondstep.Upstream) bool) {
	w.t.Helper()
	old := w.view.Directory()
	upstreams := map[almondstep.ServiceName][]*almondstep.Upstream{}
	for s, all := range old.AllUpstreams() {
		for _, u := range all {
			c := *u
			if change(&c) {
				upstreams[s] = append(upstreams[s], &c)
			}
		}
	}
	d := almondstep.NewDirectory(almondstep.DirectorySpec{Routes: old.Routes(), Upstreams: upstreams, Daemons: old.Daemons()})
	w.view = almondstep.NewView(almondstep.ViewSpec{Directory: d})
	w.reduce(&almondstep.ViewChanged{})
}

// callsOf sends a number of requests whose first calls fail, and returns how many calls an
// upstream got, as the first one or a retry.
func (w *harness) callsOf(id almondstep.UpstreamID, path string) int {
	w.t.Helper()
	const requests = 5
	n, from := 0, len(w.calls)
	for i := range requests {
		w.request(almondstep.QueryID(10_000+len(w.replies)+i), path)
	}
	for i := from; i < len(w.calls); i++ {
		if w.calls[i].Upstream.ID == id {
			n++
		}
		w.end(w.calls[i], almondstep.CallShed, "")
	}
	return n
}

// Guards against DRAIN: an upstream says in its answers, whatever their status, that it
// leaves, the registry doesn't, and it gets first calls, retries and hedges until it exits.
func TestUpstreamThatSaysItLeavesGetsNoCalls(t *testing.T) {
	for name, c := range map[string]struct {
		result almondstep.CallResult
		status int
	}{"success": {almondstep.CallDone, 200}, "failure": {almondstep.CallRejected, 500}, "not run": {almondstep.CallShed, 503}} {
		t.Run(name, func(t *testing.T) {
			w := newLeavingHarness(t, directory(t, 1, nil))
			w.request(1, "/one/x")
			leaver := w.calls[0].Upstream.ID
			w.endLeaving(w.calls[0], c.result, c.status)
			if got, want := w.callsOf(leaver, "/one/x"), 0; got != want {
				t.Errorf("got %d calls to the upstream that leaves, want %d", got, want)
			}
			w.request(2, "/one/x")
			w.advance(140 * time.Millisecond)
			if last := w.calls[len(w.calls)-1]; last.Upstream.ID == leaver {
				t.Error("got a hedge at the upstream that leaves")
			}
		})
	}
}

// Guards against DRAIN after a peer's outdated registry update, or an outage of the registry:
// the run that leaves is listed again, and gets requests.
func TestLeavingRunThatIsListedAgainGetsNoCalls(t *testing.T) {
	w := newLeavingHarness(t, directory(t, 1, nil))
	w.request(1, "/one/x")
	leaver := w.calls[0].Upstream.ID
	w.endLeaving(w.calls[0], almondstep.CallDone, 200)
	listed := w.view
	w.publish(func(u *almondstep.Upstream) bool { return u.ID != leaver })
	w.advance(time.Minute)
	w.view = listed
	w.reduce(&almondstep.ViewChanged{})
	if got, want := w.callsOf(leaver, "/one/x"), 0; got != want {
		t.Errorf("got %d calls to the upstream that leaves, want %d", got, want)
	}
}

// Guards against an upstream that stays unused after it has left and started anew: under its
// ID, under its ID without a stated start, or under another ID at its address.
func TestNewRunOfUpstreamThatLeftGetsCalls(t *testing.T) {
	for name, c := range map[string]struct {
		born, reborn time.Time
		id           almondstep.UpstreamID
	}{
		"same ID":                {leavingBorn, leavingBorn.Add(time.Millisecond), "shard0-near"},
		"same ID, unknown start": {time.Time{}, time.Time{}, "shard0-near"},
		"same address":           {leavingBorn, leavingBorn, "another"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLeavingHarness(t, directory(t, 1, nil))
			w.publish(func(u *almondstep.Upstream) bool {
				u.Started = c.born
				return true
			})
			w.request(1, "/one/x")
			leaver := w.calls[0].Upstream
			if got, want := leaver.ID, almondstep.UpstreamID("shard0-near"); got != want {
				t.Fatalf("got the first call at %s, want %s", got, want)
			}
			w.endLeaving(w.calls[0], almondstep.CallDone, 200)
			// A registry update without a change of this upstream comes first.
			w.publish(func(*almondstep.Upstream) bool { return true })
			listed := w.view
			w.publish(func(u *almondstep.Upstream) bool { return u.ID != leaver.ID })
			w.view = listed
			w.publish(func(u *almondstep.Upstream) bool {
				if u.ID == leaver.ID {
					u.ID, u.Started = c.id, c.reborn
				}
				return true
			})
			if got := w.callsOf(c.id, "/one/x"); got == 0 {
				t.Error("got no call to the new run")
			}
		})
	}
}

// A request whose upstreams all leave is refused at once, and a shard whose upstreams all
// leave is left out.
func TestOnlyLeavingUpstreamsLeft(t *testing.T) {
	const shards = 4
	w := newLeavingHarness(t, directory(t, shards, nil))
	for id := almondstep.QueryID(1); id <= 2; id++ {
		w.request(id, "/one/x")
		w.endLeaving(w.calls[id-1], almondstep.CallDone, 200)
	}
	w.request(3, "/one/x")
	if r := w.replies[3]; r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeNoReplica || r.RetryAfter <= 0 {
		t.Errorf("got reply %+v, want a refusal at once", r)
	}
	w.request(4, "/search/x")
	for _, c := range append([]*almondstep.SendCall(nil), w.calls[2:]...) {
		w.end(c, almondstep.CallDone, record('r'))
	}
	if r := w.replies[4]; r == nil || r.Outcome != almondstep.OutcomePartial || r.Merged.Missing != 1 {
		t.Errorf("got reply %+v, want a partial answer without one shard", r)
	}
}

// Guards against DRAIN where a delegate or a regional delegate received the answer: the
// daemon that passed it on doesn't know, and calls the upstream itself later.
func TestDelegateTellsWhichUpstreamsLeave(t *testing.T) {
	run := almondstep.UpstreamRun(fmt.Sprintf("shard0-near@%d", leavingBorn.UnixMilli()))
	reply := &almondstep.Reply{Outcome: almondstep.OutcomePartial, Trace: almondstep.RequestTrace{Leaving: []almondstep.UpstreamRun{run}}}

	w := newDelegatingHarness(t)
	w.publishStarted(leavingBorn)
	w.request(1, "/search/x")
	w.endGather(w.gathers[0], almondstep.GatherEnded{Reply: reply})
	if got, want := w.callsOf("shard0-near", "/one/x"), 0; got != want {
		t.Errorf("delegate: got %d calls to the upstream that leaves, want %d", got, want)
	}

	w = newRegionalHarness(t, 150*time.Millisecond, nil)
	w.publishStarted(leavingBorn)
	g := w.requestRegional(1)
	part := regionalReply(remoteShards)
	part.Trace.Leaving = []almondstep.UpstreamRun{run}
	w.endGather(g, almondstep.GatherEnded{Reply: part})
	if got, want := w.callsOf("shard0-near", "/one/x"), 0; got != want {
		t.Errorf("regional delegate: got %d calls to the upstream that leaves, want %d", got, want)
	}
	if got, want := fmt.Sprint(w.replies[1].Trace.Leaving), fmt.Sprint([]almondstep.UpstreamRun{run}); got != want {
		t.Errorf("got %s in the trace of the request, want %s", got, want)
	}
}

// publishStarted sets when all upstreams of the directory started.
func (w *harness) publishStarted(at time.Time) {
	for _, all := range w.view.Directory().AllUpstreams() {
		for _, u := range all {
			u.Started = at
		}
	}
	w.reduce(&almondstep.ViewChanged{})
}
