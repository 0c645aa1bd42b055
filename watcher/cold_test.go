package watcher_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// Guards against FAILBACK: a full read that repeats an old entry makes a server cold anew, or a later
// entry of the same run doesn't.
func TestColdTimeCountsFromNewestEntry(t *testing.T) {
	w := watcher.New(watcher.Config{Self: "a", Zone: "z"})
	var view *almondstep.View
	read := func(at time.Duration, revision uint64, full bool, coldFor time.Duration) {
		t.Helper()
		u := &almondstep.Upstream{ID: "i1", Service: "s", Zone: "z", Started: time.UnixMilli(1), ColdFor: coldFor}
		changes := &almondstep.RegistryChanges{Revision: revision, Upstreams: []almondstep.UpstreamChange{{Key: "i1", Revision: revision, Upstream: u}}}
		for _, e := range w.Reduce(almondstep.Instant(at), &almondstep.RegistryRead{Full: full, Changes: changes}, nil) {
			if p, ok := e.(*almondstep.PublishView); ok {
				view = p.View
			}
		}
	}
	want := func(until time.Duration) {
		t.Helper()
		if got := view.Directory().Upstreams("s")[0].ColdUntil(); got != almondstep.Instant(until) {
			t.Errorf("got cold until %v, want %v", time.Duration(got), until)
		}
	}
	read(time.Second, 5, true, 3*time.Second)
	want(4 * time.Second)
	read(3*time.Second, 5, true, 3*time.Second)
	want(4 * time.Second)
	read(4*time.Second, 6, false, 0)
	want(0)
	read(6*time.Second, 7, false, 2*time.Second)
	want(8 * time.Second)
	read(7*time.Second, 8, false, 9*time.Second)
	want(16 * time.Second)
}
