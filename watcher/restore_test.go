package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// restoredStore is a registry that one watcher reads, and that is restored from a copy.
type restoredStore struct {
	*harness
	era      uint64
	revision uint64
	entries  map[string]almondstep.RegistryEntry
}

func newRestoredStore(t *testing.T) *restoredStore {
	t.Helper()
	s := &restoredStore{harness: newHarness(t), entries: map[string]almondstep.RegistryEntry{}}
	s.revision = 10
	s.entries["base"] = almondstep.RegistryEntry{Key: "base", Revision: 10}
	s.readAll()
	return s
}

func (s *restoredStore) joined(revision uint64) uint64 {
	r, _ := almondstep.JoinRevision(s.era, revision)
	return r
}

// write writes an entry, or removes it if the value is "-", and returns the change.
func (s *restoredStore) write(key, value string) almondstep.RegistryEntry {
	s.revision++
	e := almondstep.RegistryEntry{Key: key, Revision: s.joined(s.revision), Value: value, Removed: value == "-"}
	s.entries[key] = e
	if e.Removed {
		e.Value = ""
		delete(s.entries, key)
	}
	return e
}

// change writes an entry, and the watcher learns of it.
func (s *restoredStore) change(key, value string) {
	s.t.Helper()
	e := s.write(key, value)
	s.changed(*s.decode(e.Revision, []almondstep.RegistryEntry{e}))
}

// decode is changesOf with upstreams whose values say that they leave, and of one run.
func (s *restoredStore) decode(revision uint64, entries []almondstep.RegistryEntry) *almondstep.RegistryChanges {
	s.t.Helper()
	c := changesOf(s.t, revision, entries, 0)
	c.Routes = nil
	values := map[string]string{}
	for _, e := range entries {
		values[e.Key] = e.Value
		if e.Key == "config" {
			c.Routes = table(s.t, almondstep.RouteVersion(len(e.Value)))
		}
		if e.Key == "order" {
			r := almondstep.RolloutChange{Subject: almondstep.RolloutOrdered, Service: "s", Revision: e.Revision}
			if !e.Removed {
				r.Order = &almondstep.RolloutOrder{Version: "v2", CompleteBy: time.Minute}
			}
			c.Rollouts = append(c.Rollouts, r)
		}
	}
	for _, u := range c.Upstreams {
		if u.Upstream != nil {
			u.Upstream.Started = time.Unix(1, 0)
			u.Upstream.Leaving = values[u.Key] == "leaving"
		}
	}
	return c
}

// readAll has the watcher read everything that the registry lists.
func (s *restoredStore) readAll() {
	s.t.Helper()
	var all []almondstep.RegistryEntry
	for _, e := range s.entries {
		e.Revision = s.joined(almondstep.RevisionInEra(e.Revision))
		all = append(all, e)
	}
	s.wait(almondstep.TickInterval)
	s.reduce(&almondstep.RegistryRead{Full: true, Changes: s.decode(s.joined(s.revision), all)})
}

// restore undoes changes and writes others, and has the watcher read the result.
func (s *restoredStore) restore(undone func(), again func()) {
	s.t.Helper()
	copied, revision := map[string]almondstep.RegistryEntry{}, s.revision
	for k, e := range s.entries {
		copied[k] = e
	}
	undone()
	s.era, s.revision, s.entries = s.era+1, revision, copied
	again()
	s.readAll()
}

func (s *restoredStore) has(key string) bool {
	for _, u := range s.view.Directory().Upstreams("s") {
		if string(u.ID) == key {
			return true
		}
	}
	return false
}

// Guards against an order of a rollout that counts as withdrawn although the registry lists it as
// part of the copy, and against a withdrawn one that is in force again.
func TestRestoreKeepsOrders(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		s := newRestoredStore(t)
		s.change("order", "v2")
		s.restore(func() {
			if withdrawn {
				s.change("order", "-")
			}
		}, func() { s.write("x", "") })
		for range 2 {
			r := s.view.Directory().Rollouts()["s"]
			if got := r == nil || r.Order == nil; got != withdrawn {
				t.Errorf("got an order withdrawn: %v, want %v", got, withdrawn)
			}
			s.wait(11 * time.Second)
		}
	}
}

// Guards against a step back: what daemons had applied before the registry was restored
// from an older copy is undone, though nobody has written the earlier state again.
func TestRestoreUndoesNothingThatWasApplied(t *testing.T) {
	nothing := func(*restoredStore) {}
	tests := map[string]struct {
		before, lost, again func(s *restoredStore)
		// want is whether upstream u gets requests: at once, and after the grace.
		want, later bool
	}{
		"unchanged":              {func(s *restoredStore) { s.change("u", "") }, nothing, nothing, true, true},
		"new one lost":           {nothing, func(s *restoredStore) { s.change("u", "") }, nothing, true, false},
		"new one written again":  {nothing, func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.write("x", ""); s.write("u", "") }, true, true},
		"removal lost":           {func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.change("u", "-") }, nothing, false, false},
		"added again":            {func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.change("u", "-") }, func(s *restoredStore) { s.write("u", "") }, true, true},
		"leaving lost":           {func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.change("u", "leaving") }, nothing, false, false},
		"ready again in its run": {func(s *restoredStore) { s.change("u", "leaving") }, nothing, func(s *restoredStore) { s.write("u", "") }, false, false},
		"removed since":          {func(s *restoredStore) { s.change("u", ""); s.change("v", "") }, nothing, func(s *restoredStore) { s.write("u", "-") }, true, false},
		"zone drained, lost":     {func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.change("out/z", "") }, nothing, false, true},
		"zone's return lost":     {func(s *restoredStore) { s.change("u", ""); s.change("out/z", "") }, func(s *restoredStore) { s.change("out/z", "-") }, nothing, true, true},
		"zone drained again":     {func(s *restoredStore) { s.change("u", "") }, func(s *restoredStore) { s.change("out/z", "") }, func(s *restoredStore) { s.write("out/z", "") }, false, false},
		"equal at a reused revision": {
			func(s *restoredStore) { s.change("u", "") },
			func(s *restoredStore) { s.change("u", "leaving"); s.change("v", "") },
			func(s *restoredStore) { s.write("w", ""); s.write("v", "") }, false, false,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRestoredStore(t)
			c.before(s)
			s.restore(func() { c.lost(s) }, func() { c.again(s) })
			if got := s.has("u"); got != c.want {
				t.Errorf("after the restore: got requests for the upstream %v, want %v", got, c.want)
			}
			// A second full read, as after a compaction, must not undo it either.
			s.readAll()
			s.wait(watcher.LapseGrace + 8*time.Second)
			if got := s.has("u"); got != c.later {
				t.Errorf("after the grace: got requests for the upstream %v, want %v", got, c.later)
			}
		})
	}
}

// Guards against routes of a lower version in a later era, and against an update of an
// earlier era that pulls a daemon back.
func TestRestoreAppliesNoLowerVersionOrEarlierEra(t *testing.T) {
	s := newRestoredStore(t)
	s.change("config", "222")
	old := s.decode(s.revision+100, []almondstep.RegistryEntry{{Key: "u", Revision: s.revision + 100}})
	s.restore(func() { s.change("config", "4444") }, func() { s.write("x", ""); s.write("config", "22") })
	if got, want := s.view.Revision(), almondstep.Revision(4); got != want {
		t.Errorf("got version %d of the routes, want %d", got, want)
	}
	for _, from := range []almondstep.DaemonID{"", "d2"} {
		e := &almondstep.RegistryRead{From: from, Full: true, Changes: old}
		if from != "" {
			e.SourceUpdate = &almondstep.RegistryUpdate{Revision: old.Revision}
		}
		s.reduce(e)
		if s.has("u") || s.view.RegistryEra() != 1 {
			t.Errorf("got an update of an earlier era from %q applied, in era %d, want it rejected", from, s.view.RegistryEra())
		}
	}
}

// Guards against removals since the copy that are never seen, and against a full read for
// each answer that the history is gone.
func TestRestoreWatchesFromCopyThenFromRead(t *testing.T) {
	s := newRestoredStore(t)
	s.change("u", "")
	copied := s.revision
	s.reduce(&almondstep.RegistryRead{Compacted: true, Err: "restored"})
	s.reads = nil
	s.restore(func() { s.change("v", "") }, func() { s.write("w", ""); s.write("x", "") })
	s.wait(time.Second)
	last := func() uint64 { return s.reads[len(s.reads)-1].After }
	if got, want := last(), s.joined(copied); got != want {
		t.Errorf("got a watch from %x, want the copy's revision %x", got, want)
	}
	s.reduce(&almondstep.RegistryRead{Compacted: true, Err: "410"})
	s.wait(time.Second)
	if got, want := last(), s.joined(s.revision); got != want {
		t.Errorf("after 410: got a watch from %x, want the read's revision %x", got, want)
	}
}

// Guards against daemons behind that stay in their earlier state, or are pulled back, by
// the update of a daemon that has read the registry after the restore.
func TestRestoreReachesDaemonsBehind(t *testing.T) {
	reader, behind := newRestoredStore(t), newRestoredStore(t)
	for _, s := range []*restoredStore{reader, behind} {
		s.change("gone", "")
		s.change("u", "")
	}
	after := behind.revision
	reader.restore(func() { reader.change("u", "leaving"); reader.change("lost", "") }, func() { reader.write("gone", "-"); reader.write("new", "") })
	update := updateAfter(t, reader.w, after)
	if !update.Full {
		t.Fatal("got changes only for a daemon of an earlier era, want all entries")
	}
	behind.wait(almondstep.TickInterval)
	behind.reduce(&almondstep.RegistryRead{From: "d2", Full: true, SourceUpdate: &update, Changes: behind.decode(update.Revision, update.Entries)})
	if behind.has("u") {
		t.Error("got requests for an upstream that the reader knows to be leaving, want none")
	}
	// What was removed may only have lapsed, and is kept for LapseGrace.
	behind.wait(watcher.LapseGrace + almondstep.TickInterval)
	var got []string
	for _, u := range behind.view.Directory().Upstreams("s") {
		got = append(got, string(u.ID))
	}
	if got, want := strings.Join(got, " "), "base lost new"; got != want {
		t.Errorf("got upstreams %q, want %q", got, want)
	}
	behind.wait(8 * time.Second)
	if behind.has("lost") || !behind.has("new") {
		t.Error("after the grace: got the lost entry kept or the new one dropped, want only the new one")
	}
}

// Guards against steps back that only some histories show, such as revisions that are used
// again by the same entries: each entry is as last applied, or as written again since.
func TestRestoreOverRandomHistories(t *testing.T) {
	for seed := range histories(t, 1000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := newRestoredStore(t)
		applied := map[string]bool{}
		writes := 0
		// Values differ: an equal one at the same revision is taken for the copy's.
		draw := func() (key, value string, removes bool) {
			writes++
			key, value = fmt.Sprintf("u%d", rng.IntN(5)), fmt.Sprint(writes)
			if rng.IntN(3) == 0 {
				value = "-"
			}
			return key, value, value == "-"
		}
		change := func() {
			key, value, removes := draw()
			s.change(key, value)
			applied[key] = !removes
		}
		for range rng.IntN(8) {
			change()
		}
		for range 2 {
			removed := map[string]bool{}
			s.restore(func() {
				for range rng.IntN(8) {
					change()
				}
			}, func() {
				for range rng.IntN(8) {
					key, value, removes := draw()
					s.write(key, value)
					removed[key], applied[key] = removes, !removes
				}
			})
			for key, want := range applied {
				// A removal since may only be seen by the watch that follows.
				if got := s.has(key); got != want && !removed[key] {
					t.Fatalf("seed %d, era %d, %s: got requests %v, want %v", seed, s.era, key, got, want)
				}
			}
			s.wait(watcher.LapseGrace + 9*time.Second)
			for key := range applied {
				applied[key] = s.has(key)
				if _, listed := s.entries[key]; applied[key] && !listed {
					t.Fatalf("seed %d, era %d, %s: got requests for an unlisted upstream after the grace", seed, s.era, key)
				}
			}
		}
	}
}
