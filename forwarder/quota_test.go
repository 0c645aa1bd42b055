package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// newQuotaHarness returns a harness with an organisation whose rate is limited, and a request of it
// that waits for quota.
func newQuotaHarness(t *testing.T) *harness {
	t.Helper()
	limited := organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good"}, Rate: 2, Burst: 1})
	free := organisation(t, almondstep.OrganisationSpec{Name: "ovens", Keys: []string{"free"}})
	w := newHarness(t, testConfig(), identifiedDirectory(t, almondstep.RouteSpec{}, limited, free))
	w.arriveWithKey(1, "good")
	if len(w.quotas) != 1 || w.quotas[0].Organisation != "mills" || len(w.calls) > 0 {
		t.Fatalf("got asks %+v and %d calls, want one ask and no call", w.quotas, len(w.calls))
	}
	return w
}

// A request of a limited organisation is sent once its quota is granted, and others at once.
func TestRequestIsSentWithQuota(t *testing.T) {
	w := newQuotaHarness(t)
	w.arriveWithKey(2, "free")
	if got, want := len(w.calls), 1; got != want {
		t.Fatalf("got %d calls of an organisation without a limit, want %d", got, want)
	}
	w.reduce(&almondstep.QuotaDecided{ID: 1, Organisation: "mills", Granted: true, By: "l"})
	if got, want := len(w.calls), 2; got != want {
		t.Fatalf("got %d calls, want %d", got, want)
	}
	w.end(w.calls[1], almondstep.CallDone, "x")
	if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeComplete || r.Trace.QuotaBy != "l" || w.returned != 0 {
		t.Errorf("got %+v, %d returned, want a complete answer by the quota of l", r, w.returned)
	}
}

// A request without quota is refused as not run. A wrong code would make its client wait in vain or
// retry at once.
func TestRequestIsRefusedWithoutQuota(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		w := newQuotaHarness(t)
		w.reduce(&almondstep.QuotaDecided{ID: 1, Organisation: "mills", Unknown: unknown, RetryAfter: 3 * time.Second})
		want := almondstep.CodeRateLimited
		if unknown {
			want = almondstep.CodeNoQuota
		}
		if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != want || r.RetryAfter != 3*time.Second {
			t.Errorf("got %+v, want notRun %s after 3s", r, want)
		}
		if len(w.calls) > 0 || w.f.Open() > 0 {
			t.Errorf("got %d calls and %d open requests, want none", len(w.calls), w.f.Open())
		}
	}
}

// A request that ends while it waits for its quota is refused as not run, and what is granted later
// is returned. Otherwise its quota would be lost, or it would run after its refusal.
func TestQuotaOfEndedRequestIsReturned(t *testing.T) {
	for _, gone := range []bool{false, true} {
		w := newQuotaHarness(t)
		if gone {
			w.reduce(&almondstep.RequesterGone{ID: 1})
		} else {
			w.advance(2 * time.Second)
			if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeNotRun || r.Code != almondstep.CodeDeadline {
				t.Errorf("got %+v, want notRun at the deadline", r)
			}
		}
		w.reduce(&almondstep.QuotaDecided{ID: 1, Organisation: "mills", Granted: true})
		if len(w.calls) > 0 || w.returned != 1 || w.f.Open() > 0 {
			t.Errorf("got %d calls, %d returned, %d open, want 0, 1, 0", len(w.calls), w.returned, w.f.Open())
		}
	}
}

// Quota is returned once if the request is refused without a call: here or at a delegate.
func TestQuotaIsReturnedWithRefusal(t *testing.T) {
	w := newDelegatingHarness(t)
	o := organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good"}, Rate: 2, Burst: 1})
	d := w.view.Directory()
	var routes []almondstep.Route
	for _, r := range d.Routes().Routes() {
		routes = append(routes, *r)
	}
	table, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Version: 8, Routes: routes, Organisations: []*almondstep.Organisation{o}})
	if err != nil {
		t.Fatal(err)
	}
	for _, delegated := range []bool{true, false} {
		spec := almondstep.DirectorySpec{Routes: table, Daemons: 9}
		if delegated {
			spec.Gatherers, spec.Delegates = 3, d.Delegates()
		}
		w := newHarness(t, testConfig(), almondstep.NewDirectory(spec))
		w.reduce(&almondstep.ViewChanged{})
		w.reduce(&almondstep.RequestArrived{ID: 1, Remaining: time.Second, Request: &almondstep.RequestMessage{
			Key: "r", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "lots.example", APIKey: "good",
		}})
		w.reduce(&almondstep.QuotaDecided{ID: 1, Organisation: "mills", Granted: true})
		if delegated {
			refusal := almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeQuarantined}
			w.endGather(w.gathers[0], almondstep.GatherEnded{Reply: &refusal})
		}
		if r := w.replies[1]; r == nil || r.Outcome != almondstep.OutcomeNotRun || w.returned != 1 {
			t.Errorf("delegated %v: got %+v and %d returned, want notRun and 1", delegated, r, w.returned)
		}
	}
}
