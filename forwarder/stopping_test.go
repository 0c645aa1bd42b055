package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// stopping replaces the view by one of a daemon that shuts down within d.
func (w *harness) stopping(d time.Duration) {
	w.t.Helper()
	w.view = almondstep.NewView(almondstep.ViewSpec{Directory: w.view.Directory(), Stopping: true, AnswerBy: w.now.Add(d)})
	w.reduce(&almondstep.ViewChanged{})
}

// Requests that are open when a shutdown begins are answered before it ends.
func TestOpenRequestsAreAnsweredBeforeShutdownEnds(t *testing.T) {
	const within = 400 * time.Millisecond
	for _, path := range []string{"/one/x", "/order/x", "/search/x"} {
		t.Run(path, func(t *testing.T) {
			w := newHarness(t, testConfig(), directory(t, 4, nil))
			w.request(1, path)
			w.advance(100 * time.Millisecond)
			stoppedAt := w.now
			w.stopping(within)
			w.advance(within)
			if w.replies[1] == nil {
				t.Fatal("got no answer")
			}
			if got := w.repliedAt[1].Sub(stoppedAt); got > within {
				t.Errorf("got an answer after %v, want one within %v", got, within)
			}
		})
	}
}

// While a daemon shuts down, a request that it can be expected to answer in time is served,
// and any other is refused at once, as not run.
func TestRequestThatShutdownWouldCutIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		within time.Duration
		served bool
	}{
		"idempotent, time for the latency target": {"/one/x", 200 * time.Millisecond, true},
		"idempotent, too late":                    {"/one/x", 100 * time.Millisecond, false},
		"not idempotent, time for all":            {"/order/x", 1100 * time.Millisecond, true},
		"not idempotent, time for most":           {"/order/x", 900 * time.Millisecond, false},
		"over shards, time for the target":        {"/search/x", 200 * time.Millisecond, true},
		"after the end":                           {"/one/x", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, testConfig(), directory(t, 4, nil))
			w.stopping(c.within)
			w.request(1, c.path)
			if got := len(w.calls) > 0; got != c.served {
				t.Errorf("got served %v, want %v", got, c.served)
			}
			if r := w.replies[1]; !c.served && (r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeStopping) {
				t.Errorf("got reply %+v, want a refusal as not run", r)
			}
		})
	}
}
