package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// wantRecheck checks the next recheck at each daemon; number 0 is none.
func (f *fleet) wantRecheck(what string, number int) {
	f.t.Helper()
	for _, id := range f.ids {
		if got, _ := f.nodes[id].view.Recheck(crasher); got.Number != number {
			f.t.Errorf("%s: %s: got recheck %d, want %d", what, id, got.Number, number)
		}
	}
}

// Guards against BUDGET: each daemon counts rechecks by itself, or forgets them when it restarts, and a
// request that crashes upstreams is sent to more than the three that the rule allows.
func TestRechecksAreCountedByAllDaemons(t *testing.T) {
	const rechecks = 3
	f := newFleet(t, 5)
	for i := range 3 {
		f.crash(i, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	for number := 1; number <= rechecks; number++ {
		f.wantRecheck("before it", number)
		record := almondstep.RecheckRecord(crasher, number)
		f.write(crashKey(record), false)
		f.deliver(f.nodes[f.ids[number]], &almondstep.RecheckBegan{Record: record})
		f.run(quarantineWithin)
	}
	f.wantRecheck("after all", 0)
	for _, id := range f.ids {
		f.restart(id)
	}
	f.run(quarantineWithin)
	f.wantRecheck("all restarted", 0)
	f.wantQuarantined("all restarted", crasher, true)
}

// A recheck that reached no upstream doesn't count, and an answer clears the request and its records.
func TestReleasedRecheckDoesNotCount(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.crash(i, crasher, fmt.Sprint("i", i))
	}
	f.run(quarantineWithin)
	record := almondstep.RecheckRecord(crasher, 1)
	f.write(crashKey(record), false)
	f.deliver(f.nodes[f.ids[1]], &almondstep.RecheckBegan{Record: record})
	f.run(quarantineWithin)
	f.wantRecheck("begun", 2)
	f.deliver(f.nodes[f.ids[1]], &almondstep.RecheckReleased{Record: record})
	f.run(quarantineWithin)
	f.wantRecheck("released", 1)
	f.wantQuarantined("released", crasher, true)
	f.write(crashKey(record), false)
	f.deliver(f.nodes[f.ids[2]], &almondstep.RecheckBegan{Record: record})
	f.deliver(f.nodes[f.ids[2]], &almondstep.RequestSurvived{Fingerprint: crasher})
	f.run(quarantineWithin)
	f.wantQuarantined("answered", crasher, false)
	if got := f.crashKeys(); got != 0 {
		t.Errorf("got %d records left, want none", got)
	}
}

// A request is rechecked soon if its service has lost all upstreams that it had, and much later if one
// runs on, which would have answered a sound request.
func TestRecheckComesSoonAfterOutageOnly(t *testing.T) {
	for name, c := range map[string]struct {
		runsOn bool
		want   time.Duration
	}{"all lost": {false, 8 * time.Second}, "one runs on": {true, time.Minute}} {
		t.Run(name, func(t *testing.T) {
			w := watcher.New(watcher.Config{Self: "a", Zone: "z"})
			var view *almondstep.View
			revision := uint64(0)
			now := almondstep.Instant(10 * time.Second)
			reduce := func(e almondstep.Event) {
				for _, effect := range w.Reduce(now, e, nil) {
					if p, ok := effect.(*almondstep.PublishView); ok {
						view = p.View
					}
				}
			}
			list := func(started int64, full bool) {
				changes := &almondstep.RegistryChanges{}
				for i := range 4 {
					revision++
					u := &almondstep.Upstream{ID: almondstep.UpstreamID(fmt.Sprint("i", i)), Service: "s", Zone: "z", Started: time.UnixMilli(started)}
					if i == 3 && c.runsOn {
						u.Started = time.UnixMilli(1)
					}
					changes.Upstreams = append(changes.Upstreams, almondstep.UpstreamChange{Key: string(u.ID), Revision: revision, Upstream: u})
				}
				changes.Revision = revision
				reduce(&almondstep.RegistryRead{Full: full, Changes: changes})
			}
			list(1, true)
			now = now.Add(10 * time.Second)
			crashedAt := now
			for i := range 3 {
				reduce(&almondstep.RequestCrashed{Fingerprint: crasher, Upstreams: []almondstep.UpstreamRun{almondstep.UpstreamRun(fmt.Sprintf("i%d@1", i))}})
			}
			now = now.Add(3 * time.Second)
			list(2, false)
			got, ok := view.Recheck(crasher)
			if !ok || got.At.Sub(crashedAt) != c.want {
				t.Errorf("got recheck %+v, %v, want one %v after the crashes", got, ok, c.want)
			}
		})
	}
}
