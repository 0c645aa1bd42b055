package promoter_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"almondstep"
)

// rejoin returns a revision in the fleet's present era.
func (f *fleet) rejoin(revision uint64) uint64 {
	r, _ := almondstep.JoinRevision(f.era, almondstep.RevisionInEra(revision))
	return r
}

// restore replaces the store's content by a copy without leases, and has every daemon read it.
func (f *fleet) restore(copied map[string]almondstep.RolloutChange, revision uint64) {
	f.era++
	f.revision, f.entries = f.rejoin(revision), map[string]almondstep.RolloutChange{}
	c := f.registry(len(f.daemons))
	c.Entries = []almondstep.RegistryEntry{{Key: "base", Revision: f.rejoin(10)}}
	c.Upstreams = append(c.Upstreams, upstreams("v2", 5)...)
	for i := range c.Upstreams {
		c.Upstreams[i].Revision = f.rejoin(c.Upstreams[i].Revision)
	}
	for i := range c.Daemons {
		c.Daemons[i].Revision = f.rejoin(c.Daemons[i].Revision)
	}
	for key, r := range copied {
		if r.Leader != nil || r.Order == nil && r.Decision == nil {
			continue
		}
		value := fmt.Sprint(r.Revision)
		r.Revision = f.rejoin(r.Revision)
		f.entries[key] = r
		c.Rollouts = append(c.Rollouts, r)
		c.Entries = append(c.Entries, almondstep.RegistryEntry{Key: key, Revision: r.Revision, Value: value})
	}
	for _, d := range f.daemons {
		f.after(f.millis(20, 300), func() { f.control(d, &almondstep.RegistryRead{Full: true, Changes: c}) })
	}
}

// A final decision stays in force when the store is restored, and the store gets it again: with the
// decision in the copy, with an earlier one, and without one. Guards against a version that was
// rolled back and gets requests again since its order has another revision in the new era, and
// against a decision that is never written again.
func TestFinalDecisionSurvivesRestore(t *testing.T) {
	for kind, want := range map[string]almondstep.RolloutState{"good": almondstep.RolloutCompleted, "bad": almondstep.RolloutRolledBack} {
		for _, lost := range []string{"nothing", "last decision", "all decisions"} {
			t.Run(kind+", "+lost+" lost", func(t *testing.T) {
				fresh := outcome(good)
				if kind == "bad" {
					fresh = failing(60)
				}
				f := newFleet(t, 6, 3, 50, fresh)
				f.load(20)
				f.run(4 * time.Second)
				f.order("v2", limit)
				f.run(10 * time.Millisecond)
				copied, revision := maps.Clone(f.entries), f.revision
				for f.last().State != want && f.now < almondstep.Instant(2*limit) {
					if lost == "last decision" {
						copied, revision = maps.Clone(f.entries), f.revision
					}
					f.run(10 * time.Millisecond)
				}
				f.run(4 * time.Second)
				if lost == "nothing" {
					copied, revision = maps.Clone(f.entries), f.revision
				}
				before, oldBefore := len(f.newAt), f.lastOld
				f.restore(copied, revision)
				f.run(30 * time.Second)
				if got := len(f.newAt) - before; want == almondstep.RolloutRolledBack && got != 0 {
					t.Errorf("got %d calls to the version that was rolled back, want 0", got)
				}
				if got := f.lastOld; want == almondstep.RolloutCompleted && got != oldBefore {
					t.Errorf("got a call to the old version at %v, want none after %v", got, oldBefore)
				}
				if d := f.entries["decision"].Decision; d == nil || d.State != want {
					t.Errorf("got decision %v in the store, want %v", d, want)
				}
			})
		}
	}
}
