package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// Guards against DRAIN and EVAC: a request that arrived before an upstream announced that it leaves, or
// before its zone was drained, is hedged or retried there long after. The registry lists neither for new
// requests.
func TestLateCallReachesUpstreamThatDrainsSince(t *testing.T) {
	ends := map[string]func(w *harness){
		"hedge": func(w *harness) { w.advance(time.Second) },
		"retry": func(w *harness) { w.end(w.calls[0], almondstep.CallRejected, "") },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, crashConfig(), directory(t, 1, nil))
			w.request(1, "/one/x")
			first := w.calls[0].Upstream.ID
			w.publish(func(u *almondstep.Upstream) bool { return u.ID == first })
			end(w)
			if got, want := len(w.calls), 1; got != want {
				t.Errorf("got %d calls, the last to %s, want %d", got, w.calls[len(w.calls)-1].Upstream.ID, want)
			}
		})
	}
}

// A late call may go to an upstream that is listed only since the request arrived.
func TestLateCallReachesNewUpstream(t *testing.T) {
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	all := w.view
	w.publish(func(u *almondstep.Upstream) bool { return u.Region == near })
	w.request(1, "/one/x")
	w.view = all
	w.reduce(&almondstep.ViewChanged{})
	w.end(w.calls[0], almondstep.CallRejected, "")
	if got, want := len(w.calls), 2; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
}
