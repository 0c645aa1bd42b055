package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"almondstep"
)

// restore restores the registry to an earlier revision of the same era. Leases are gone.
func (f *fleet) restore(revision uint64) {
	next := func(r uint64) uint64 {
		joined, _ := almondstep.JoinRevision(almondstep.EraOf(f.revision)+1, almondstep.RevisionInEra(r))
		return joined
	}
	kept := slices.DeleteFunc(f.log, func(e almondstep.RegistryEntry) bool { return e.Revision > revision })
	clear(f.entries)
	for i, e := range kept {
		kept[i].Revision = next(e.Revision)
		f.entries[e.Key] = kept[i]
		if e.Removed || strings.HasPrefix(e.Key, "daemon/") {
			delete(f.entries, e.Key)
		}
	}
	f.log, f.revision = kept, next(revision)
	for id, end := range f.watches {
		delete(f.watches, id)
		end()
	}
}

// Guards against daemons that stay in an earlier era, and against all of them calling the
// registry at once: after a restore, the readers read it and the others follow them.
func TestRestoreReachesFleetWithFewCalls(t *testing.T) {
	const daemons = 68
	f := newFleet(t, daemons)
	f.write("kept", false)
	f.crash(5, crasher, "i1")
	f.run(5 * time.Second)
	copied := f.revision
	f.write("lost", false)
	f.write("kept", true)
	f.crash(6, crasher, "i2")
	f.run(5 * time.Second)
	f.calls, f.fullReads = 0, 0
	f.restore(copied)
	f.run(3 * time.Second)
	t.Logf("calls in 3 s after the restore: %d, of them full reads: %d", f.calls, f.fullReads)
	if f.fullReads > 3 || f.calls > 20 {
		t.Errorf("got %d calls with %d full reads in 3 s, want at most 20 with 3", f.calls, f.fullReads)
	}
	for _, id := range f.ids {
		v := f.nodes[id].view
		var got []string
		for _, u := range v.Directory().Upstreams("s") {
			got = append(got, string(u.ID))
		}
		if got, want := fmt.Sprint(v.RegistryEra(), got), "1 [lost u0]"; got != want {
			t.Errorf("%s: got era and upstreams %s, want %s", id, got, want)
		}
		if _, written := f.entries["daemon/"+string(id)]; !written {
			t.Errorf("%s: got no entry of the daemon 3 s after the restore, want it written again", id)
		}
	}
	if got, want := f.crashKeys(), 2; got != want {
		t.Errorf("got %d records of crashes, want %d: the lost one written again", got, want)
	}
	f.run(10 * time.Second)
	if got := f.nodes["d3"].view.Directory().Upstreams("s"); len(got) != 1 || f.fullReads > 3 {
		t.Errorf("after the grace: got %d upstreams and %d full reads, want u0 alone and 3", len(got), f.fullReads)
	}
}

// Guards against daemons that stay in an earlier era, go back to it, or keep what was lost, when
// the registry is restored amid outages, network partitions and restarts.
func TestRestoreOverRandomTreeHistories(t *testing.T) {
	for seed := range histories(t, 50) {
		f := playHistory(t, seed, func(f *fleet, rng *rand.Rand) {
			if rng.IntN(4) == 0 {
				lost := min(rng.Uint64N(30), almondstep.RevisionInEra(f.revision)-1)
				f.restore(f.revision - lost)
			}
		})
		f.run(12 * time.Second)
		for _, id := range f.ids {
			for _, key := range f.upstreams(id) {
				if _, listed := f.entries[key]; !listed {
					t.Errorf("seed %d: %s: got %s after the grace, which the registry doesn't list", seed, id, key)
				}
			}
		}
		if t.Failed() {
			return
		}
	}
}
