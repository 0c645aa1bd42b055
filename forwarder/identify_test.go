package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// organisation returns an organisation with one key.
func organisation(t *testing.T, spec almondstep.OrganisationSpec) *almondstep.Organisation {
	t.Helper()
	o, err := almondstep.NewOrganisation(spec)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// identifiedDirectory returns a directory whose route needs a key of one of the organisations,
// with an upstream in each region.
func identifiedDirectory(t *testing.T, route almondstep.RouteSpec, organisations ...*almondstep.Organisation) *almondstep.Directory {
	t.Helper()
	route.Host, route.Prefix, route.Timeout, route.Idempotent = "lots.example", "/lots/", time.Second, true
	route.Targets = []almondstep.RouteTarget{{Service: "s", Weight: 1}}
	r, err := almondstep.NewRoute(route)
	if err != nil {
		t.Fatal(err)
	}
	table, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Version: 1, Routes: []almondstep.Route{r}, Organisations: organisations})
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewDirectory(almondstep.DirectorySpec{Routes: table, Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{
		"s": {{ID: "here", Service: "s", Region: near, Slots: 2}, {ID: "there", Service: "s", Region: far, Slots: 2}},
	}})
}

// arriveWithKey passes a request with a key, and the header fields it came in, to the forwarder.
func (w *harness) arriveWithKey(id almondstep.QueryID, key string) {
	w.t.Helper()
	w.reduce(&almondstep.RequestArrived{ID: id, Remaining: time.Second, Request: &almondstep.RequestMessage{
		Key: "r", Method: "GET", Target: "/lots/1", Path: "/lots/1", Host: "lots.example", APIKey: key,
		Header:   almondstep.Header{{Name: "Lot", Value: "walnut"}},
		Identity: almondstep.Header{{Name: "Secret", Value: key}},
	}})
}

// A request runs only with a key that the routes hold, as the organisation that has it, and
// without what the caller sent to identify itself. Without this check anyone could use the
// routes, and upstreams would see the keys.
func TestRequestRunsAsOrganisationOfItsKey(t *testing.T) {
	o := organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good", "second"}})
	for _, c := range []struct {
		key    string
		public bool
		code   almondstep.RefusalCode
		name   almondstep.OrganisationName
	}{
		{key: "good", name: "mills"},
		{key: "second", name: "mills"},
		{key: "goo", code: almondstep.CodeUnauthorized},
		{key: "", code: almondstep.CodeUnauthorized},
		{key: "good", public: true},
		{key: "", public: true},
	} {
		w := newHarness(t, testConfig(), identifiedDirectory(t, almondstep.RouteSpec{Public: c.public}, o))
		w.arriveWithKey(1, c.key)
		if c.code != "" {
			if got := w.replies[1]; got == nil || got.Code != c.code || got.Outcome != almondstep.OutcomeNotRun {
				t.Errorf("key %q: got reply %+v, want notRun %s", c.key, got, c.code)
			}
			continue
		}
		if len(w.calls) != 1 {
			t.Fatalf("key %q, public %v: got %d calls, want 1", c.key, c.public, len(w.calls))
		}
		m := w.calls[0].Request
		if m.Organisation != c.name || m.APIKey != "" || len(m.Identity) > 0 || m.Header.Has("Secret") {
			t.Errorf("key %q, public %v: got call with organisation %q, key %q, header %v; want %q and no key", c.key, c.public, m.Organisation, m.APIKey, m.Header, c.name)
		}
	}
}

// Without organisations in the routes everything is forwarded as the caller sent it.
func TestIdentityIsForwardedWithoutOrganisations(t *testing.T) {
	w := newHarness(t, testConfig(), identifiedDirectory(t, almondstep.RouteSpec{}))
	w.arriveWithKey(1, "any")
	if got := w.calls[0].Request.Header.Get("Secret"); got != "any" {
		t.Errorf("got %q, want the caller's field", got)
	}
}

// A daemon whose routes may be out of date refuses an unknown key as not run, since a newer
// version may hold it; one that must not trust an old key refuses that too.
func TestKeyIsNotRejectedFromStaleRoutes(t *testing.T) {
	o := organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good"}})
	for _, c := range []struct {
		key                    string
		freshUntil, validUntil almondstep.Instant
		want                   almondstep.RefusalCode
	}{
		{key: "new", freshUntil: 1, want: almondstep.CodeNoConfiguration},
		{key: "good", freshUntil: 1},
		{key: "good", freshUntil: 1, validUntil: 1, want: almondstep.CodeNoConfiguration},
		// Guards against a 401 for a key that a newer version may hold.
		{key: "new", validUntil: 1, want: almondstep.CodeNoConfiguration},
	} {
		w := newHarness(t, testConfig(), nil)
		w.view = almondstep.NewView(almondstep.ViewSpec{
			Directory:           identifiedDirectory(t, almondstep.RouteSpec{}, o),
			DirectoryFreshUntil: c.freshUntil, KeysValidUntil: c.validUntil,
		})
		w.arriveWithKey(1, c.key)
		code := almondstep.RefusalCode("")
		if reply := w.replies[1]; reply != nil {
			code = reply.Code
		}
		if code != c.want {
			t.Errorf("key %q, valid until %v: got %q, want %q", c.key, c.validUntil, code, c.want)
		}
	}
}

// The regions of the route and of the organisation both bind: a request never leaves the
// regions that both allow, and isn't served where they have none in common.
func TestRegionsOfOrganisationBind(t *testing.T) {
	for _, c := range []struct {
		route, organisation []almondstep.RegionName
		want                almondstep.UpstreamID
	}{
		{organisation: []almondstep.RegionName{far}, want: "there"},
		{route: []almondstep.RegionName{far}, want: "there"},
		{route: []almondstep.RegionName{near, far}, organisation: []almondstep.RegionName{far}, want: "there"},
		{route: []almondstep.RegionName{near}, organisation: []almondstep.RegionName{far}},
	} {
		o := organisation(t, almondstep.OrganisationSpec{Name: "mills", Keys: []string{"good"}, Regions: c.organisation})
		w := newHarness(t, testConfig(), identifiedDirectory(t, almondstep.RouteSpec{Regions: c.route}, o))
		w.arriveWithKey(1, "good")
		got := almondstep.UpstreamID("")
		if len(w.calls) > 0 {
			got = w.calls[0].Upstream.ID
		}
		if got != c.want {
			t.Errorf("route %v, organisation %v: got call to %q, want %q", c.route, c.organisation, got, c.want)
		}
	}
}
