package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// newStaleHarness returns a harness whose directory is out of date, or not, and whose cold upstreams get
// few calls a second.
func newStaleHarness(t *testing.T, isStale bool) *harness {
	t.Helper()
	w := newHarness(t, crashConfig(), directory(t, 1, nil))
	spec := almondstep.RouteTableSpec{Version: 8}
	for _, r := range w.view.Directory().Routes().Routes() {
		spec.Routes = append(spec.Routes, *r)
	}
	spec.Services = []almondstep.RoutedService{{Name: shardName(0), MaxConnections: 26, ColdPerSecond: 1, HealthPath: "/health"}}
	table, err := almondstep.NewRouteTable(spec)
	if err != nil {
		t.Fatal(err)
	}
	near := w.view.Directory().Upstreams(shardName(0))[:1]
	view := almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: table, Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{shardName(0): near},
	})}
	if isStale {
		view.DirectoryFreshUntil = 1
	}
	w.view = almondstep.NewView(view)
	return w
}

// checks returns the status checks that were sent.
func (w *harness) checks() []*almondstep.SendCall {
	var checks []*almondstep.SendCall
	for _, c := range w.calls {
		if c.StatusCheck {
			checks = append(checks, c)
		}
	}
	return checks
}

// Guards against FAILBACK: while the registry doesn't answer, an upstream becomes cold again, which
// only its answer to a status check says, and it gets its full rate.
func TestUpstreamIsColdAgainInRegistryOutage(t *testing.T) {
	const requests = 20
	w := newStaleHarness(t, true)
	for id := almondstep.QueryID(1); id <= requests; id++ {
		w.request(id, "/order/x")
		w.advance(10 * time.Millisecond)
	}
	checks := w.checks()
	if got, want := len(checks), 1; got != want {
		t.Fatalf("got %d checks in less than a second, want %d", got, want)
	}
	if c := checks[0]; c.Request.Target != "/health" || c.Request.Method != "GET" || c.Upstream == nil {
		t.Errorf("got check %+v", c.Request)
	}
	w.reduce(&almondstep.CallEnded{Call: checks[0].Call, Result: almondstep.CallDone, ColdFor: 3 * time.Second, Response: &almondstep.ResponseMessage{Status: 200}})
	before := len(w.calls)
	for id := almondstep.QueryID(requests + 1); id <= 2*requests; id++ {
		w.request(id, "/order/x")
		if r := w.replies[id]; r == nil || r.Outcome != almondstep.OutcomeNotRun {
			t.Fatalf("got reply %+v, want a refusal at once", r)
		}
	}
	if got := len(w.calls) - before; got != 0 {
		t.Errorf("got %d calls in the second in which it is known to be cold, want none after %d before", got, before)
	}
	w.advance(3 * time.Second)
	w.request(2*requests+1, "/order/x")
	if got, want := len(w.checks()), 2; got != want {
		t.Errorf("got %d checks, want %d", got, want)
	}
}

// While the registry answers, no upstream is checked.
func TestNoStatusChecksWhileRegistryAnswers(t *testing.T) {
	w := newStaleHarness(t, false)
	w.request(1, "/order/x")
	if got := len(w.checks()); got != 0 {
		t.Errorf("got %d checks, want none", got)
	}
}
