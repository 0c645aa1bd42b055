package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// An upstream's own 503, 429, 408 or 421 that doesn't confirm that the request hasn't run
// isn't passed on to the caller of a request that isn't idempotent: the caller would send it
// again, and it would run twice.
func TestUnconfirmedRefusalIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		idempotent, claims, passed bool
	}{
		{idempotent: false, claims: true, passed: false},
		{idempotent: false, claims: false, passed: true},
		{idempotent: true, claims: true, passed: true},
	} {
		r, err := almondstep.NewRoute(almondstep.RouteSpec{
			Host: "lots.example", Prefix: "/lots/", Timeout: time.Second, Idempotent: c.idempotent,
			Targets: []almondstep.RouteTarget{{Service: "s", Weight: 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
		table, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Version: 1, Routes: []almondstep.Route{r}})
		if err != nil {
			t.Fatal(err)
		}
		w := newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{Routes: table, Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{
			"s": {{ID: "u", Service: "s", Region: near, Slots: 2}},
		}}))
		w.request(1, "/lots/1")
		w.reduce(&almondstep.CallEnded{
			ID: 1, Call: w.calls[0].Call, Result: almondstep.CallRejected, ClaimsNotRun: c.claims,
			Response: &almondstep.ResponseMessage{Status: 503, Signature: "s-u"},
		})
		got := w.replies[1]
		if got == nil || got.Outcome != almondstep.OutcomeUnknown || (got.Response != nil) != c.passed {
			t.Errorf("idempotent %v, claims not run %v: got reply %+v, want outcomeUnknown with the response %v", c.idempotent, c.claims, got, c.passed)
		}
	}
}
