package promoter_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
	"almondstep/promoter"
	"almondstep/scheduler"
	"almondstep/watcher"
)

const (
	service = almondstep.ServiceName("lots")
	update  = 3 * time.Second
)

// outcome is how an upstream answers a call to the new version.
type outcome func(f *fleet, c *almondstep.SendCall) (bad bool, took time.Duration)

// fleet simulates daemons, upstreams of two versions and the store, in virtual time.
type fleet struct {
	t        *testing.T
	now      almondstep.Instant
	random   almondstep.Random
	queue    scheduler.Queue[almondstep.Instant]
	daemons  []*daemon
	revision uint64
	era      uint64
	entries  map[string]almondstep.RolloutChange
	away     bool
	// slack is the setting's; fresh is how the new version answers.
	slack float64
	fresh outcome
	// refuse is set if the new version refuses connections.
	refuse bool
	// old is how the old version answers; nil means as good does.
	old outcome
	// states lists the states that were written.
	states []almondstep.RolloutDecision
	// sent counts the calls to either version, newAt and badAt have the times of the calls to the
	// new version and of its bad answers.
	calls        int
	newAt, badAt []almondstep.Instant
	lastOld      almondstep.Instant
	// writes has the daemon of each accepted claim.
	claims  []int
	queryID almondstep.QueryID
}

// daemon is one daemon: its control and traffic partitions and its view.
type daemon struct {
	index    int
	watcher  *watcher.Watcher
	promoter *promoter.Promoter
	traffic  *forwarder.Forwarder
	view     *almondstep.View
	open     map[almondstep.CallID]bool
	dead     bool
	// apart is set while the daemon and the others can't reach each other.
	apart bool
}

func newFleet(t *testing.T, daemons int, seed uint64, slack float64, fresh outcome) *fleet {
	t.Helper()
	f := &fleet{
		t: t, now: almondstep.Instant(time.Second), random: almondstep.NewRandom(seed), slack: slack, fresh: fresh,
		entries: map[string]almondstep.RolloutChange{}, revision: 10,
	}
	for i := range daemons {
		d := &daemon{
			index: i, open: map[almondstep.CallID]bool{}, view: almondstep.NewView(almondstep.ViewSpec{}),
			watcher:  watcher.New(watcher.Config{Self: name(i), Zone: "a"}),
			promoter: promoter.New(promoter.Config{Self: name(i), Update: update, Slack: slack}),
			traffic: forwarder.New(forwarder.Config{
				Zone: "a", Region: "r", Seed: seed + uint64(i), RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second,
				ExposeShare: 0.1, ExposeSlack: slack,
			}),
		}
		f.daemons = append(f.daemons, d)
		f.control(d, &almondstep.RegistryRead{Full: true, Changes: f.registry(daemons)})
		f.every(almondstep.TickInterval, func() { f.partition(d, &almondstep.ControlTick{}) })
	}
	return f
}

func name(i int) almondstep.DaemonID { return almondstep.DaemonID(fmt.Sprintf("d%d", i)) }

// registry returns the initial registry: two routes, three upstreams of each version, the daemons.
func (f *fleet) registry(daemons int) *almondstep.RegistryChanges {
	spec := almondstep.RouteTableSpec{Version: 1, Services: []almondstep.RoutedService{{Name: service, MaxConnections: 64}}}
	for _, n := range []string{"one", "two"} {
		r, err := almondstep.NewRoute(almondstep.RouteSpec{
			Name: almondstep.RouteName(n), Host: "h", Prefix: "/" + n + "/", Idempotent: true, Timeout: time.Second,
			Attempts: 2, Targets: []almondstep.RouteTarget{{Service: service, Weight: 1}},
		})
		if err != nil {
			f.t.Fatal(err)
		}
		spec.Routes = append(spec.Routes, r)
	}
	routes, err := almondstep.NewRouteTable(spec)
	if err != nil {
		f.t.Fatal(err)
	}
	c := &almondstep.RegistryChanges{Revision: f.revision, Routes: routes, Entries: []almondstep.RegistryEntry{{Key: "base", Revision: 10}}}
	c.Upstreams = upstreams("v1", 5)
	for i := range daemons {
		c.Daemons = append(c.Daemons, almondstep.DaemonChange{Daemon: name(i), Alive: true, Zone: "a", Revision: 5})
	}
	return c
}

// upstreams returns the entries of three upstreams of a version.
func upstreams(version almondstep.UpstreamVersion, revision uint64) []almondstep.UpstreamChange {
	var all []almondstep.UpstreamChange
	for i := range 3 {
		id := almondstep.UpstreamID(fmt.Sprintf("%s-%d", version, i))
		u := &almondstep.Upstream{ID: id, Service: service, Zone: "a", Region: "r", Slots: 2, Version: version}
		all = append(all, almondstep.UpstreamChange{Key: string(id), Revision: revision, Upstream: u})
	}
	return all
}

func (f *fleet) after(d time.Duration, do func()) {
	f.queue.Add(f.now.Add(d), do)
}

func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() { do(); f.every(d, do) })
}

// run processes the events of the given time.
func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for at, do, ok := f.queue.Next(until); ok; at, do, ok = f.queue.Next(until) {
		f.now = at
		do()
	}
	f.now = until
}

// millis returns a random time.
func (f *fleet) millis(low, high int) time.Duration {
	return time.Duration(low+int(f.random.Next()%uint64(high-low))) * time.Millisecond
}

// load sends requests at random daemons at a rate per second, on the routes in turn.
func (f *fleet) load(rate int) {
	f.every(time.Second/time.Duration(rate), func() {
		f.queryID++
		path := []string{"/one/x", "/two/x"}[f.queryID%2]
		d := f.daemons[f.random.Next()%uint64(len(f.daemons))]
		f.partition(d, &almondstep.RequestArrived{ID: f.queryID, Remaining: time.Second, Request: &almondstep.RequestMessage{
			Key: fmt.Sprint(f.queryID), Host: "h", Target: path, Path: path,
		}})
	})
}

// control passes an event to a daemon's watcher and publishes the views that follow.
func (f *fleet) control(d *daemon, e almondstep.Event) {
	if d.dead {
		return
	}
	for _, effect := range d.watcher.Reduce(f.now, e, nil) {
		if p, ok := effect.(*almondstep.PublishView); ok {
			d.view = p.View
			f.partition(d, &almondstep.ViewChanged{})
		}
	}
}

// partition passes an event to a daemon's forwarder or promoter and performs the effects.
func (f *fleet) partition(d *daemon, e almondstep.Event) {
	if d.dead {
		return
	}
	var out []almondstep.Effect
	_, isTick := e.(*almondstep.ControlTick)
	_, isRollout := e.(almondstep.RolloutEvent)
	if !isTick && !isRollout {
		out = d.traffic.Reduce(f.now, d.view, e, out)
	}
	if _, isQuery := e.(almondstep.QueryEvent); !isQuery {
		out = d.promoter.Reduce(f.now, d.view, e, out)
	}
	for _, effect := range out {
		f.perform(d, effect)
	}
}

func (f *fleet) perform(d *daemon, effect almondstep.Effect) {
	switch e := effect.(type) {
	case *almondstep.SendCall:
		f.call(d, e)
	case *almondstep.CancelCall:
		f.after(e.After, func() {
			f.end(d, &almondstep.CallEnded{ID: e.ID, Call: e.Call, Result: almondstep.CallCanceled, Took: e.After})
		})
	case *almondstep.SetRequestTimer:
		f.after(e.After, func() { f.partition(d, &almondstep.RequestTimer{ID: e.ID}) })
	case *almondstep.RolloutObserved:
		f.partition(d, e)
	case *almondstep.RolloutDecided:
		f.control(d, e)
	case *almondstep.WriteRollout:
		f.after(f.millis(2, 40), func() {
			written := f.write(d, e)
			f.after(f.millis(2, 40), func() { f.partition(d, written) })
		})
	case *almondstep.SendRolloutReport:
		f.report(d, e)
	case *almondstep.ReplyRolloutReport:
		from := f.daemons[e.Call]
		f.after(f.millis(1, 20), func() {
			f.partition(from, &almondstep.RolloutReportEnded{To: almondstep.RolloutLeader{Revision: f.leaderOf(from)}, Reply: &e.Reply})
		})
	}
}

func (f *fleet) leaderOf(d *daemon) uint64 { return d.view.Directory().RolloutLeader().Revision }

func (f *fleet) report(d *daemon, e *almondstep.SendRolloutReport) {
	for _, to := range f.daemons {
		if name(to.index) == e.To.Daemon && !to.dead && !to.apart && !d.apart {
			f.after(f.millis(1, 20), func() {
				f.partition(to, &almondstep.RolloutReportArrived{Call: almondstep.CallID(d.index), Report: e.Report})
			})
			return
		}
	}
	f.after(time.Second, func() { f.partition(d, &almondstep.RolloutReportEnded{To: e.To}) })
}

// call sends a call to an upstream and has its end occur.
func (f *fleet) call(d *daemon, c *almondstep.SendCall) {
	f.calls++
	d.open[c.Call] = true
	bad, took := false, f.millis(8, 25)
	if c.Upstream.Version == "v2" {
		f.newAt = append(f.newAt, f.now)
		bad, took = f.fresh(f, c)
	} else {
		f.lastOld = f.now
		if f.old != nil {
			bad, took = f.old(f, c)
		}
	}
	e := &almondstep.CallEnded{ID: c.ID, Call: c.Call, Took: took, Response: &almondstep.ResponseMessage{Status: 200, Signature: "s"}}
	if f.refuse && c.Upstream.Version == "v2" {
		e.Result, e.Response = almondstep.CallRefused, nil
	} else if bad {
		e.Result, e.Response.Status = almondstep.CallRejected, 500
	}
	f.after(took, func() {
		if d.open[c.Call] && c.Upstream.Version == "v2" && (bad || took > 45*time.Millisecond) {
			f.badAt = append(f.badAt, f.now)
		}
		f.end(d, e)
	})
}

func (f *fleet) end(d *daemon, e *almondstep.CallEnded) {
	if d.open[e.Call] {
		delete(d.open, e.Call)
		f.partition(d, e)
	}
}
