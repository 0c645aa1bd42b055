package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// A request whose delegates are all overloaded would otherwise be sent from here to upstreams that
// have no capacity either, before requests that wait, and more urgent ones, get any.
func TestRequestWithoutUsableDelegateIsAdmitted(t *testing.T) {
	w := newDelegatingHarness(t)
	full := directory(t, delegatedShards, func(r *almondstep.RouteSpec) { r.Public = true })
	search, _ := full.Routes().Match("lots.example", "/search/x")
	routes, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{
		Version: 8, Routes: []almondstep.Route{*search},
		Organisations: []*almondstep.Organisation{organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good"}})},
	})
	if err != nil {
		t.Fatal(err)
	}
	upstreams := map[almondstep.ServiceName][]*almondstep.Upstream{}
	for name, all := range full.AllUpstreams() {
		upstreams[name] = all[:1]
	}
	w.view = almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes: routes, Upstreams: upstreams, Daemons: 9, Gatherers: 3, Delegates: w.view.Directory().Delegates(),
	})})
	w.reduce(&almondstep.ViewChanged{})
	w.playDelegates(1, 2, map[almondstep.DaemonID]float64{"big": 1.2, "small": 1.2})
	w.request(3, "/search/x")
	if got, want := len(w.calls), delegatedShards; got != want {
		t.Fatalf("got %d calls to free upstreams, want %d", got, want)
	}
	for _, c := range append([]*almondstep.SendCall(nil), w.calls...) {
		w.endWithLoad(c, 30)
	}
	w.request(4, "/search/x")
	w.advance(20 * time.Millisecond)
	if got, want := len(w.calls), delegatedShards; got != want {
		t.Errorf("got %d calls beside full upstreams, want %d", got, want)
	}
}

// A request that waits while the upstreams are replaced would otherwise be sent to those that it
// found on arrival, which have ended.
func TestWaitingRequestGoesToListedUpstream(t *testing.T) {
	w := newHarnessWithOrganisation(t)
	w.reportLoad(5)
	w.arriveWithKey(100, "good")
	before := len(w.calls)
	w.view = almondstep.NewView(almondstep.ViewSpec{Directory: almondstep.NewDirectory(almondstep.DirectorySpec{
		Routes:    w.view.Directory().Routes(),
		Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{"s": {{ID: "new", Service: "s", Region: near, Slots: 2}}},
	})})
	w.reduce(&almondstep.ViewChanged{})
	if len(w.calls) != before+1 || w.calls[before].Upstream.ID != "new" {
		t.Errorf("got %d calls, want one to the only upstream that is listed", len(w.calls)-before)
	}
}
