package watcher_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// control plays the registry around a watcher.
type control struct {
	t     *testing.T
	w     *watcher.Watcher
	now   almondstep.Instant
	view  *almondstep.View
	reads []*almondstep.ReadRegistry
}

func newControl(t *testing.T) *control {
	t.Helper()
	return &control{t: t, w: watcher.New(watcher.Config{Self: "d1", Zone: "a"}), now: almondstep.Instant(time.Second)}
}

func (c *control) reduce(e almondstep.Event) {
	for _, f := range c.w.Reduce(c.now, e, nil) {
		switch f := f.(type) {
		case *almondstep.PublishView:
			c.view = f.View
		case *almondstep.ReadRegistry:
			c.reads = append(c.reads, f)
		}
	}
}

// wait lets ticks come for a while.
func (c *control) wait(d time.Duration) {
	for until := c.now.Add(d); c.now < until; c.now = c.now.Add(almondstep.TickInterval) {
		c.reduce(&almondstep.ControlTick{})
	}
}

func (c *control) changed(ch almondstep.RegistryChanges) {
	c.wait(almondstep.TickInterval)
	c.reduce(&almondstep.RegistryRead{Changes: &ch})
}

func (c *control) failed() {
	c.wait(time.Second)
	c.reduce(&almondstep.RegistryRead{Err: "no answer"})
}

// listed is the number of upstreams that may get new requests.
func (c *control) listed() int {
	if c.view == nil {
		return 0
	}
	return len(c.view.Directory().Upstreams("s"))
}

func table(t *testing.T, v almondstep.RouteVersion) *almondstep.RouteTable {
	t.Helper()
	rt, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Version: v})
	if err != nil {
		t.Fatal(err)
	}
	return rt
}

func entry(key string, revision uint64, zone almondstep.ZoneName, leaving bool) almondstep.UpstreamChange {
	return almondstep.UpstreamChange{Key: key, Revision: revision, Upstream: &almondstep.Upstream{
		ID: almondstep.UpstreamID(key), Service: "s", Zone: zone, Leaving: leaving,
	}}
}

func whole(t *testing.T, c *control) {
	t.Helper()
	c.wait(almondstep.TickInterval)
	c.reduce(&almondstep.RegistryRead{Full: true, Changes: &almondstep.RegistryChanges{
		Revision:  10,
		Routes:    table(t, 3),
		Upstreams: []almondstep.UpstreamChange{entry("u1", 5, "a", false), entry("u2", 6, "b", false)},
	}})
}

// A daemon is ready once it knows routes, and not before or while it stops.
func TestReadiness(t *testing.T) {
	c := newControl(t)
	c.changed(almondstep.RegistryChanges{Revision: 4, Upstreams: []almondstep.UpstreamChange{entry("u1", 4, "a", false)}})
	if c.view.Ready() {
		t.Error("ready without routes")
	}
	whole(t, c)
	if !c.view.Ready() {
		t.Errorf("not ready with routes: %s", c.view.Unready())
	}
	c.reduce(&almondstep.StopRequested{})
	if c.view.Ready() || !c.view.Stopping() {
		t.Error("ready while stopping")
	}
}

// The version of the routes never goes back.
func TestRoutesOnlyRise(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	c.changed(almondstep.RegistryChanges{Revision: 11, Routes: table(t, 2)})
	if got, want := c.view.Directory().Routes().Version(), almondstep.RouteVersion(3); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	c.changed(almondstep.RegistryChanges{Revision: 12, Routes: table(t, 9)})
	if got, want := c.view.Directory().Routes().Version(), almondstep.RouteVersion(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Upstreams that leave, lose their entry or stand in a zone taken out get no new
// requests at once; a zone brought back does.
func TestWhoGetsNoNewRequests(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	for _, step := range []struct {
		name   string
		change almondstep.RegistryChanges
		want   int
	}{
		{"leaving", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 11, "a", true)}}, 1},
		{"ready again", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 12, "a", false)}}, 2},
		{"zone out", almondstep.RegistryChanges{DrainedZones: []almondstep.ZoneChange{{Zone: "b", Drained: true}}}, 1},
		{"zone back", almondstep.RegistryChanges{DrainedZones: []almondstep.ZoneChange{{Zone: "b"}}}, 2},
		{"gone", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{{Key: "u2", Revision: 13}}}, 1},
	} {
		c.changed(step.change)
		if got := c.listed(); got != step.want {
			t.Errorf("%s: got %d upstreams, want %d", step.name, got, step.want)
		}
	}
}

// An older change of an entry that comes after a newer one is dropped: the pages
// of a whole reading are no snapshot, and a watch repeats what they showed.
func TestOlderChangeIsDropped(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 20, "a", true)}})
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 19, "a", false)}})
	if got, want := c.listed(), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
}

// Entries that lapsed while the registry was away are used until they had time
// to come back, and no longer.
func TestLapsedEntriesGetAMoment(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	c.failed()
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{{Key: "u1", Revision: 30}, {Key: "u2", Revision: 31}}})
	if got, want := c.listed(), 2; got != want {
		t.Errorf("just after the outage: got %d upstreams, want %d", got, want)
	}
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 32, "a", false)}})
	c.wait(watcher.LapseGrace + time.Second)
	if got, want := c.listed(), 1; got != want {
		t.Errorf("after the grace: got %d upstreams, want %d", got, want)
	}
}

// With the history gone everything is read anew, and what is no longer listed is
// dropped.
func TestHistoryGone(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	c.wait(time.Second)
	c.reduce(&almondstep.RegistryRead{Compacted: true, Err: "gone"})
	c.wait(time.Second)
	if got := c.reads[len(c.reads)-1]; got.After != 0 {
		t.Errorf("got a watch after %d, want a whole reading", got.After)
	}
	c.reduce(&almondstep.RegistryRead{Full: true, Changes: &almondstep.RegistryChanges{
		Revision: 40, Upstreams: []almondstep.UpstreamChange{entry("u2", 6, "b", false)},
	}})
	if got, want := c.listed(), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
}

// An outage changes nothing that is known, and is asked about in every moment.
func TestOutage(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	before := len(c.reads)
	for range 10 {
		c.failed()
	}
	if got, want := c.listed(), 2; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
	if !c.view.Ready() {
		t.Error("not ready in an outage")
	}
	if got, least := len(c.reads)-before, 10; got < least {
		t.Errorf("got %d reads in ten seconds, want at least %d", got, least)
	}
}

// Bounds are shared among the daemons known, and for a while among those whose
// lease has ended: they may live on behind a cut.
func TestSharesCountLapsedDaemons(t *testing.T) {
	c := newControl(t)
	whole(t, c)
	c.changed(almondstep.RegistryChanges{Daemons: []almondstep.DaemonChange{{Daemon: "d1", Alive: true}, {Daemon: "d2", Alive: true}, {Daemon: "d3", Alive: true}}})
	c.changed(almondstep.RegistryChanges{Daemons: []almondstep.DaemonChange{{Daemon: "d2"}}})
	if got, want := c.view.Directory().Daemons(), 3; got != want {
		t.Errorf("got %d daemons, want %d", got, want)
	}
	c.wait(time.Minute)
	if got, want := c.view.Directory().Daemons(), 2; got != want {
		t.Errorf("a minute later: got %d daemons, want %d", got, want)
	}
}
