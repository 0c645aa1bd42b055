package watcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/patcher"
	"almondstep/watcher"
)

// updateAfter requests an update from a watcher without waiting.
func updateAfter(t *testing.T, w *watcher.Watcher, after uint64) almondstep.RegistryUpdate {
	t.Helper()
	for _, f := range w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryUpdateRequested{Call: 1, Request: almondstep.RegistryUpdateRequest{After: after}}, nil) {
		if r, ok := f.(*almondstep.ReplyRegistryUpdate); ok {
			return r.Update
		}
	}
	t.Fatal("no answer")
	return almondstep.RegistryUpdate{}
}

// A requester gets the changes since the revision of its registry cache. If the removals
// since then aren't kept it gets all entries, so that it doesn't keep removed ones.
func TestUpdateSinceAnyRevision(t *testing.T) {
	const removals = 5000
	w := watcher.New(watcher.Config{Self: "d1", Zone: "z"})
	read := func(full bool, revision uint64, entries ...almondstep.RegistryEntry) {
		changes := changesOf(t, revision, entries, 0)
		w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Full: full, Changes: changes}, nil)
	}
	read(true, 10, almondstep.RegistryEntry{Key: "u1", Revision: 5}, almondstep.RegistryEntry{Key: "u2", Revision: 9})
	read(false, 12, almondstep.RegistryEntry{Key: "u1", Revision: 12, Removed: true})
	if got := updateAfter(t, w, 10); got.Full || len(got.Entries) != 1 || !got.Entries[0].Removed {
		t.Errorf("after 10: got %+v, want the removal alone", got)
	}
	if got := updateAfter(t, w, 0); !got.Full || len(got.Entries) != 1 || got.Entries[0].Key != "u2" {
		t.Errorf("from the start: got %+v, want u2 alone", got)
	}
	for i := range uint64(removals) {
		read(false, 13+i, almondstep.RegistryEntry{Key: fmt.Sprintf("v%d", i), Revision: 13 + i, Removed: true})
	}
	if got := updateAfter(t, w, 12); !got.Full || len(got.Entries) != 1 {
		t.Errorf("long ago: got full %v and %d entries, want everything: u2", got.Full, len(got.Entries))
	}
	if got, want := len(updateAfter(t, w, 12+removals-3).Entries), 3; got != want {
		t.Errorf("lately: got %d entries, want %d", got, want)
	}
	read(true, 6000, almondstep.RegistryEntry{Key: "u3", Revision: 20})
	got := updateAfter(t, w, 12+removals)
	if len(got.Entries) != 1 || got.Entries[0].Key != "u2" || !got.Entries[0].Removed {
		t.Errorf("after a full read: got %+v, want the removal of u2", got.Entries)
	}
}

// A change of a long entry is sent as a patch to a requester that has a previous
// version kept by the source, and in full to all others.
func TestLongEntryIsPatched(t *testing.T) {
	version := func(n int) string {
		var b strings.Builder
		fmt.Fprintf(&b, `{"version": %d, "routes": [`, n)
		for i := range 200 {
			fmt.Fprintf(&b, `{"name": "route%d", "service": "s%d", "timeout": %d},`, i, i, 100+n*(i%100/99))
		}
		return b.String() + `{"name": "last"}]}`
	}
	w := watcher.New(watcher.Config{Self: "d1", Zone: "a"})
	for n := 1; n <= 3; n++ {
		e := almondstep.RegistryEntry{Key: "routes", Revision: uint64(10 * n), Value: version(n)}
		w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Full: n == 1, Changes: &almondstep.RegistryChanges{
			Revision: e.Revision, Entries: []almondstep.RegistryEntry{e},
		}}, nil)
	}
	for _, c := range []struct {
		holds uint64
		full  bool
	}{{10, false}, {20, false}, {15, true}, {0, true}} {
		q := almondstep.RegistryUpdateRequest{After: 20, PatchBases: []almondstep.RegistryEntry{{Key: "routes", Revision: c.holds}}}
		out := w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryUpdateRequested{Call: 1, Request: q}, nil)
		entries := out[0].(*almondstep.ReplyRegistryUpdate).Update.Entries
		if got, want := len(entries), 1; got != want {
			t.Fatalf("got %d entries, want %d", got, want)
		}
		if got, want := entries[0].Base == 0, c.full; got != want {
			t.Errorf("holds %d: got full %v, want %v", c.holds, got, want)
		}
		if limit := len(version(3)) / 10; !c.full && len(entries[0].Value) > limit {
			t.Errorf("holds %d: got %d bytes, want at most %d", c.holds, len(entries[0].Value), limit)
		}
		if !c.full {
			q.PatchBases[0].Value = version(int(c.holds / 10))
			if err := patcher.ApplyEntries(q.PatchBases, entries); err != nil || entries[0].Value != version(3) {
				t.Errorf("holds %d: got another text and %v", c.holds, err)
			}
		}
	}
}

// Guards against removed entries that a daemon behind keeps forever: a daemon that has started
// since doesn't know what was removed before its first read, so it sends all entries.
func TestUpdateFromDaemonThatStartedLater(t *testing.T) {
	w := watcher.New(watcher.Config{Self: "d1", Zone: "z"})
	changes := changesOf(t, 10, []almondstep.RegistryEntry{{Key: "u1", Revision: 5}}, 0)
	w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Full: true, Changes: changes}, nil)
	for after, want := range map[uint64]bool{4: true, 9: true, 10: false} {
		if got := updateAfter(t, w, after).Full; got != want {
			t.Errorf("after %d: got all entries %v, want %v", after, got, want)
		}
	}
}
