package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
)

const (
	near = almondstep.RegionName("near")
	far  = almondstep.RegionName("far")
)

// harness simulates the upstreams and the clock around a forwarder.
type harness struct {
	t    *testing.T
	f    *forwarder.Forwarder
	view *almondstep.View
	now  almondstep.Instant
	// pending holds the pending calls.
	pending map[almondstep.CallID]*almondstep.SendCall
	// calls lists all calls to upstreams in the order in which they were sent, and
	// gathers those to delegates.
	calls   []*almondstep.SendCall
	gathers []*almondstep.SendGather
	// rttRequests counts the requested round-trip time measurements.
	rttRequests int
	// cancels holds, for each canceled call, the delay before it is canceled.
	cancels map[almondstep.CallID]time.Duration
	// timers holds the times at which each request's timers expire.
	timers  map[almondstep.QueryID][]almondstep.Instant
	replies map[almondstep.QueryID]*almondstep.Reply
	// repliedAt holds the time of each reply.
	repliedAt map[almondstep.QueryID]almondstep.Instant
	// crashed lists the reports of crashes, survived counts those that a request survived.
	crashed  []*almondstep.RequestCrashed
	survived int
	// claims lists the claims of rechecks, released counts those that were released.
	claims   []*almondstep.ClaimRecheck
	released int
	// reports lists the log lines.
	reports []*almondstep.Report
	// quotas lists the asks for quota, returned counts what was returned.
	quotas   []*almondstep.RequestQuota
	returned int
}

// testConfig returns the configuration of most tests.
func testConfig() forwarder.Config {
	return forwarder.Config{
		Zone: "a", Region: near, Seed: 1,
		RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second,
		ColdFactor: 1.5, ColdSlack: 5,
	}
}

func newHarness(t *testing.T, cfg forwarder.Config, d *almondstep.Directory) *harness {
	t.Helper()
	return &harness{
		t: t, f: forwarder.New(cfg), now: almondstep.Instant(time.Second),
		view:      almondstep.NewView(almondstep.ViewSpec{Directory: d}),
		pending:   map[almondstep.CallID]*almondstep.SendCall{},
		cancels:   map[almondstep.CallID]time.Duration{},
		timers:    map[almondstep.QueryID][]almondstep.Instant{},
		replies:   map[almondstep.QueryID]*almondstep.Reply{},
		repliedAt: map[almondstep.QueryID]almondstep.Instant{},
	}
}

// reduce passes an event to the forwarder and records the effects.
func (w *harness) reduce(e almondstep.Event) {
	w.t.Helper()
	for _, f := range w.f.Reduce(w.now, w.view, e, nil) {
		switch f := f.(type) {
		case *almondstep.SendCall:
			w.pending[f.Call] = f
			w.calls = append(w.calls, f)
		case *almondstep.SendGather:
			w.gathers = append(w.gathers, f)
		case *almondstep.MeasureRTT:
			w.rttRequests++
		case *almondstep.CancelCall:
			w.cancels[f.Call] = f.After
		case *almondstep.SetRequestTimer:
			w.timers[f.ID] = append(w.timers[f.ID], w.now.Add(f.After))
		case *almondstep.RequestCrashed:
			w.crashed = append(w.crashed, f)
		case *almondstep.RequestSurvived:
			w.survived++
		case *almondstep.ClaimRecheck:
			w.claims = append(w.claims, f)
		case *almondstep.Report:
			w.reports = append(w.reports, f)
		case *almondstep.RecheckReleased:
			w.released++
		case *almondstep.RequestQuota:
			w.quotas = append(w.quotas, f)
		case *almondstep.ReturnQuota:
			w.returned++
		case *almondstep.ReplyRequest:
			if w.replies[f.ID] != nil {
				w.t.Fatalf("request %v was answered twice", f.ID)
			}
			w.replies[f.ID] = f.Reply
			w.repliedAt[f.ID] = w.now
		}
	}
}

func (w *harness) request(id almondstep.QueryID, path string) {
	w.t.Helper()
	w.reduce(&almondstep.RequestArrived{ID: id, Remaining: time.Second, Request: &almondstep.RequestMessage{
		Key: fmt.Sprint(id), Method: "GET", Target: path, Path: path, Host: "lots.example",
	}})
}

// end ends a call that took 5 ms.
func (w *harness) end(c *almondstep.SendCall, result almondstep.CallResult, body string) {
	w.t.Helper()
	w.endAfter(c, result, body, 5*time.Millisecond)
}

// endAfter ends a call that took the given time.
func (w *harness) endAfter(c *almondstep.SendCall, result almondstep.CallResult, body string, took time.Duration) {
	w.t.Helper()
	e := &almondstep.CallEnded{ID: c.ID, Call: c.Call, Result: result, Took: took}
	switch result {
	case almondstep.CallDone:
		e.Response = &almondstep.ResponseMessage{Status: 200, Body: []byte(body), Signature: "s-" + string(c.Upstream.ID)}
	case almondstep.CallRejected:
		e.Response = &almondstep.ResponseMessage{Status: 500, Signature: "s-" + string(c.Upstream.ID)}
	}
	delete(w.pending, c.Call)
	w.reduce(e)
}

// advance moves the clock and fires the timers that expire meanwhile.
func (w *harness) advance(d time.Duration) {
	w.t.Helper()
	until := w.now.Add(d)
	for {
		id, next := w.due(until)
		if next == 0 {
			break
		}
		w.now = max(w.now, next)
		w.reduce(&almondstep.RequestTimer{ID: id})
	}
	w.now = until
}

// due removes and returns the earliest timer that expires by until; 0 if there is none.
func (w *harness) due(until almondstep.Instant) (almondstep.QueryID, almondstep.Instant) {
	var id almondstep.QueryID
	next, index := almondstep.Instant(0), 0
	for q, all := range w.timers {
		for i, at := range all {
			if next == 0 || at < next || at == next && q < id {
				id, next, index = q, at, i
			}
		}
	}
	if next > until {
		return 0, 0
	}
	if next != 0 {
		all := w.timers[id]
		w.timers[id] = append(all[:index:index], all[index+1:]...)
	}
	return id, next
}

// callsTo returns the calls to a service in the order in which they were sent.
func (w *harness) callsTo(s almondstep.ServiceName) []*almondstep.SendCall {
	var calls []*almondstep.SendCall
	for _, c := range w.calls {
		if c.Upstream.Service == s {
			calls = append(calls, c)
		}
	}
	return calls
}

func shardName(i int) almondstep.ServiceName {
	return almondstep.ServiceName(fmt.Sprintf("shard%d", i))
}

// record returns a record of 16 equal bytes.
func record(b byte) string {
	r := make([]byte, 16)
	for i := range r {
		r[i] = b
	}
	return string(r)
}

// directory returns a directory with a route over shards, two routes to one service
// and one whose requests are split over two services. Each service has one upstream in
// the near region and one in the far region. change, if set, adapts the route over
// shards, from which the others are derived.
func directory(t *testing.T, shards int, change func(*almondstep.RouteSpec)) *almondstep.Directory {
	t.Helper()
	search := almondstep.RouteSpec{
		Name: "search", Host: "lots.example", Prefix: "/search/", Idempotent: true, Timeout: time.Second,
		LatencyTarget: 150 * time.Millisecond, Attempts: 2, Records: 3, MinCoverage: 0.75,
	}
	for i := range shards {
		search.Shards = append(search.Shards, shardName(i))
	}
	if change != nil {
		change(&search)
	}
	single := search
	single.Name, single.Prefix, single.Shards = "one", "/one/", nil
	single.Targets = []almondstep.RouteTarget{{Service: shardName(0), Weight: 1}}
	order := single
	order.Name, order.Prefix, order.Idempotent = "order", "/order/", false
	split := single
	split.Name, split.Prefix = "split", "/split/"
	split.Targets = []almondstep.RouteTarget{{Service: shardName(0), Weight: 3}, {Service: shardName(1), Weight: 1}}
	var p almondstep.RouteTableSpec
	p.Version = 7
	for _, spec := range []almondstep.RouteSpec{search, single, order, split} {
		r, err := almondstep.NewRoute(spec)
		if err != nil {
			t.Fatal(err)
		}
		p.Routes = append(p.Routes, r)
	}
	upstreams := map[almondstep.ServiceName][]*almondstep.Upstream{}
	for i := range max(shards, 2) {
		s := shardName(i)
		p.Services = append(p.Services, almondstep.RoutedService{Name: s, MaxConnections: 26})
		for _, region := range []almondstep.RegionName{near, far} {
			zone := almondstep.ZoneName("a")
			if region == far {
				zone = "b"
			}
			upstreams[s] = append(upstreams[s], &almondstep.Upstream{
				ID: almondstep.UpstreamID(fmt.Sprintf("%s-%s", s, region)), Service: s, Addr: "127.0.0.1:1",
				Zone: zone, Region: region, Slots: 2,
			})
		}
	}
	table, err := almondstep.NewRouteTable(p)
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewDirectory(almondstep.DirectorySpec{Routes: table, Upstreams: upstreams, Daemons: 1})
}
