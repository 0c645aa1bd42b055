package watcher_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// harness sends events to one watcher in place of the registry, and keeps its last view
// and its read requests.
type harness struct {
	t     *testing.T
	w     *watcher.Watcher
	now   almondstep.Instant
	view  *almondstep.View
	reads []*almondstep.ReadRegistry
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t: t, w: watcher.New(watcher.Config{Self: "d1", Zone: "a"}), now: almondstep.Instant(time.Second)}
}

func (c *harness) reduce(e almondstep.Event) {
	for _, f := range c.w.Reduce(c.now, e, nil) {
		switch f := f.(type) {
		case *almondstep.PublishView:
			c.view = f.View
		case *almondstep.ReadRegistry:
			c.reads = append(c.reads, f)
		}
	}
}

// wait advances the time with control ticks.
func (c *harness) wait(d time.Duration) {
	for until := c.now.Add(d); c.now < until; c.now = c.now.Add(almondstep.TickInterval) {
		c.reduce(&almondstep.ControlTick{})
	}
}

func (c *harness) changed(ch almondstep.RegistryChanges) {
	c.wait(almondstep.TickInterval)
	c.reduce(&almondstep.RegistryRead{Changes: &ch})
}

func (c *harness) failed() {
	c.wait(time.Second)
	c.reduce(&almondstep.RegistryRead{Err: "no answer"})
}

// listed is the number of upstreams that may get new requests.
func (c *harness) listed() int {
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

func readAll(t *testing.T, c *harness) {
	t.Helper()
	c.wait(almondstep.TickInterval)
	c.reduce(&almondstep.RegistryRead{Full: true, Changes: &almondstep.RegistryChanges{
		Revision:  10,
		Routes:    table(t, 3),
		Upstreams: []almondstep.UpstreamChange{entry("u1", 5, "a", false), entry("u2", 6, "b", false)},
	}})
}

// A daemon is ready once it has routes, but not while it stops.
func TestReadiness(t *testing.T) {
	c := newHarness(t)
	c.changed(almondstep.RegistryChanges{Revision: 4, Upstreams: []almondstep.UpstreamChange{entry("u1", 4, "a", false)}})
	if c.view.Ready() {
		t.Error("ready without routes")
	}
	readAll(t, c)
	if !c.view.Ready() {
		t.Errorf("not ready with routes: %s", c.view.Unready())
	}
	c.reduce(&almondstep.StopRequested{})
	if c.view.Ready() || !c.view.Stopping() {
		t.Error("ready while stopping")
	}
}

// The version of the routes never decreases.
func TestRouteVersionNeverDecreases(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
	c.changed(almondstep.RegistryChanges{Revision: 11, Routes: table(t, 2)})
	if got, want := c.view.Directory().Routes().Version(), almondstep.RouteVersion(3); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	c.changed(almondstep.RegistryChanges{Revision: 12, Routes: table(t, 9)})
	if got, want := c.view.Directory().Routes().Version(), almondstep.RouteVersion(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Upstreams that are leaving, have lost their entry or are in a drained zone immediately
// get no new requests; those of a zone that is no longer drained get requests again.
func TestUnusableUpstreamsGetNoRequests(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
	for _, step := range []struct {
		name   string
		change almondstep.RegistryChanges
		want   int
	}{
		{"leaving", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 11, "a", true)}}, 1},
		{"ready again", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 12, "a", false)}}, 2},
		{"zone drained", almondstep.RegistryChanges{DrainedZones: []almondstep.ZoneChange{{Zone: "b", Drained: true}}}, 1},
		{"zone back", almondstep.RegistryChanges{DrainedZones: []almondstep.ZoneChange{{Zone: "b"}}}, 2},
		{"gone", almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{{Key: "u2", Revision: 13}}}, 1},
	} {
		c.changed(step.change)
		if got := c.listed(); got != step.want {
			t.Errorf("%s: got %d upstreams, want %d", step.name, got, step.want)
		}
	}
}

// An older change of an entry that arrives after a newer one is dropped: the pages of a
// full read aren't from one revision, and a watch returns changes they already had.
func TestOlderChangeIsDropped(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 20, "a", true)}})
	c.changed(almondstep.RegistryChanges{Upstreams: []almondstep.UpstreamChange{entry("u1", 19, "a", false)}})
	if got, want := c.listed(), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
}

// Entries whose leases expired during an outage are used for LapseGrace, so that they
// can be renewed, and no longer.
func TestLapsedEntriesKeptForGrace(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
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

// When the history is compacted, everything is read again, and what is no longer
// listed is dropped.
func TestCompactedHistoryIsReread(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
	c.wait(time.Second)
	c.reduce(&almondstep.RegistryRead{Compacted: true, Err: "gone"})
	c.wait(time.Second)
	if got := c.reads[len(c.reads)-1]; got.After != 0 {
		t.Errorf("got a watch after %d, want a full read", got.After)
	}
	c.reduce(&almondstep.RegistryRead{Full: true, Changes: &almondstep.RegistryChanges{
		Revision: 40, Upstreams: []almondstep.UpstreamChange{entry("u2", 6, "b", false)},
	}})
	if got, want := c.listed(), 1; got != want {
		t.Errorf("got %d upstreams, want %d", got, want)
	}
}

// An outage doesn't change the registry cache, and the registry is asked again regularly.
func TestOutageKeepsState(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
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
	if got, minReads := len(c.reads)-before, 10; got < minReads {
		t.Errorf("got %d reads in ten seconds, want at least %d", got, minReads)
	}
}

// Limits are shared among all daemons, for a while including those whose lease has
// expired: they may still run behind a network partition.
func TestLimitsCountExpiredDaemons(t *testing.T) {
	c := newHarness(t)
	readAll(t, c)
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
