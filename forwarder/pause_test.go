package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// askForPause ends a call as an upstream does that turns it away and asks for a pause.
func (w *harness) askForPause(c *almondstep.SendCall, after time.Duration) {
	w.t.Helper()
	delete(w.pending, c.Call)
	w.reduce(&almondstep.CallEnded{
		ID: c.ID, Call: c.Call, Result: almondstep.CallShed, Took: time.Millisecond, RetryAfter: after,
		Response: &almondstep.ResponseMessage{Status: 503},
	})
}

// Guards against BUDGET: an upstream that has asked for a pause gets calls. If all upstreams of a
// service have, the request is refused at once for as long as the shortest pause lasts, and afterwards
// each gets one call until it is answered.
func TestUpstreamThatAsksForPauseGetsCalls(t *testing.T) {
	const pause = 2 * time.Second
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	w.request(1, "/one/x")
	w.askForPause(w.calls[0], 10*pause)
	w.askForPause(w.calls[1], pause)
	if got, want := len(w.calls), 2; got != want {
		t.Fatalf("got %d calls, want %d", got, want)
	}
	for id := almondstep.QueryID(1); id <= 2; id++ {
		if id == 2 {
			w.request(id, "/one/y")
		}
		r := w.replies[id]
		if r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeLimited {
			t.Fatalf("got reply %+v, want a refusal at once", r)
		}
		if got := r.RetryAfter; got < pause || got > pause*3/2+time.Second {
			t.Errorf("got Retry-After %v, want about %v", got, pause)
		}
	}
	w.advance(pause - 10*time.Millisecond)
	w.request(3, "/one/z")
	w.advance(pause)
	for id := almondstep.QueryID(4); id <= 6; id++ {
		w.request(id, "/one/z")
	}
	if got, want := len(w.calls), 3; got != want {
		t.Fatalf("got %d calls, want %d: one after the pause", got, want)
	}
	w.end(w.calls[2], almondstep.CallDone, record('a'))
	for id := almondstep.QueryID(7); id <= 9; id++ {
		w.request(id, "/one/z")
	}
	if got, want := len(w.calls), 5; got != want {
		t.Errorf("got %d calls, want %d: two more after the answer", got, want)
	}
}

// A new run of an upstream, under the same ID and address, starts afresh, unless the upstream may
// have asked for the pause in that run, just before the registry listed it.
func TestPauseBelongsToRun(t *testing.T) {
	for listedAfter, want := range map[time.Duration]int{500 * time.Millisecond: 1, 3 * time.Second: 2} {
		t.Run(listedAfter.String(), func(t *testing.T) {
			w := newSilenceHarness(t, 1)
			w.publish(func(u *almondstep.Upstream) bool { return u.Region == near })
			w.request(1, "/one/x")
			w.askForPause(w.calls[0], time.Minute)
			w.request(2, "/one/x")
			if got, want := len(w.calls), 1; got != want {
				t.Fatalf("got %d calls in the pause, want %d", got, want)
			}
			w.advance(listedAfter)
			w.endRuns(replaced, w.calls[0].Upstream)
			w.request(3, "/one/x")
			if got := len(w.calls); got != want {
				t.Errorf("got %d calls after a restart, want %d", got, want)
			}
		})
	}
}

// An odd value is logged once, and doesn't shut the upstream out.
func TestOddPauseShutsNobodyOut(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	w.publish(func(u *almondstep.Upstream) bool { return u.Region == near })
	const requests = 5
	for id := almondstep.QueryID(1); id <= requests; id++ {
		w.request(id, "/one/x")
		c := w.calls[len(w.calls)-1]
		delete(w.pending, c.Call)
		w.reduce(&almondstep.CallEnded{
			ID: id, Call: c.Call, Result: almondstep.CallShed, OddRetryAfter: "soon", Response: &almondstep.ResponseMessage{Status: 503},
		})
	}
	if got, want := len(w.calls), requests; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if got, want := len(w.reports), 1; got != want {
		t.Errorf("got %d log lines, want %d", got, want)
	}
}

// Guards against a service that is idle because all its upstreams pause: while one does, the calls that
// it would have got fill the others, which then ask for a pause too. They get no more than they can
// work on, and no hedges.
func TestUpstreamsBesidePausedOneAreNotFilled(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	w.request(1, "/one/x")
	w.askForPause(w.calls[0], 2*time.Second)
	other := w.calls[1]
	if other.Upstream.ID == w.calls[0].Upstream.ID {
		t.Fatal("got the retry at the upstream that pauses")
	}
	answer := func(c *almondstep.SendCall, waiting int) {
		delete(w.pending, c.Call)
		w.reduce(&almondstep.CallEnded{
			ID: c.ID, Call: c.Call, Result: almondstep.CallDone, Took: 5 * time.Millisecond,
			Response: &almondstep.ResponseMessage{Status: 200, Signature: "s"},
			Load:     &almondstep.UpstreamLoad{Running: 2, Waiting: waiting, Slots: 2},
		})
	}
	answer(other, 1)
	w.request(2, "/one/x")
	if got, want := len(w.calls), 3; got != want {
		t.Fatalf("got %d calls beside a short queue, want %d", got, want)
	}
	answer(w.calls[2], 4)
	w.request(3, "/one/x")
	r := w.replies[3]
	if len(w.calls) != 3 || r == nil || r.Outcome != almondstep.OutcomeNotRun || r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 100*time.Millisecond {
		t.Errorf("got %d calls and reply %+v beside a long queue, want a refusal for a short time", len(w.calls), r)
	}
	w.advance(time.Second)
	w.request(4, "/one/x")
	if got, want := len(w.calls), 4; got != want {
		t.Errorf("got %d calls later, want %d", got, want)
	}
}
