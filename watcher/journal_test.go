package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// told asks a watcher for news without waiting.
func told(t *testing.T, w *watcher.Watcher, after uint64) almondstep.RegistryNews {
	t.Helper()
	for _, f := range w.Reduce(almondstep.Instant(time.Second), &almondstep.NewsAsked{Call: 1, After: after}, nil) {
		if r, ok := f.(*almondstep.ReplyNews); ok {
			return r.News
		}
	}
	t.Fatal("no answer")
	return almondstep.RegistryNews{}
}

// A daemon that asks is told what has changed since the revision it knows. Where
// removals since then are forgotten it is told everything, so that it doesn't keep
// what is gone.
func TestNewsSinceAnyRevision(t *testing.T) {
	const removals = 5000
	w := watcher.New(watcher.Config{Self: "d1", Zone: "z"})
	read := func(whole bool, revision uint64, entries ...almondstep.RegistryEntry) {
		changes := changesOf(t, revision, entries, 0)
		w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Whole: whole, Changes: changes}, nil)
	}
	read(true, 10, almondstep.RegistryEntry{Key: "u1", Revision: 5}, almondstep.RegistryEntry{Key: "u2", Revision: 9})
	read(false, 12, almondstep.RegistryEntry{Key: "u1", Revision: 12, Removed: true})
	if got := told(t, w, 10); got.Whole || len(got.Entries) != 1 || !got.Entries[0].Removed {
		t.Errorf("after 10: got %+v, want the removal alone", got)
	}
	if got := told(t, w, 0); !got.Whole || len(got.Entries) != 1 || got.Entries[0].Key != "u2" {
		t.Errorf("from the start: got %+v, want u2 alone", got)
	}
	for i := range uint64(removals) {
		read(false, 13+i, almondstep.RegistryEntry{Key: fmt.Sprintf("v%d", i), Revision: 13 + i, Removed: true})
	}
	if got := told(t, w, 12); !got.Whole || len(got.Entries) != 1 {
		t.Errorf("long ago: got whole %v and %d entries, want everything: u2", got.Whole, len(got.Entries))
	}
	if got, want := len(told(t, w, 12+removals-3).Entries), 3; got != want {
		t.Errorf("lately: got %d entries, want %d", got, want)
	}
	read(true, 6000, almondstep.RegistryEntry{Key: "u3", Revision: 20})
	got := told(t, w, 12+removals)
	if len(got.Entries) != 1 || got.Entries[0].Key != "u2" || !got.Entries[0].Removed {
		t.Errorf("after a whole reading: got %+v, want the removal of u2", got.Entries)
	}
}
