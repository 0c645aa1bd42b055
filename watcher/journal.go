package watcher

import (
	"cmp"
	"maps"
	"slices"

	"almondstep"
	"almondstep/patcher"
)

// removalsKept is how many removed entries are remembered, for daemons that ask
// for what has changed since a moment before.
const removalsKept = 4096

// journal has the last state of each entry of the registry, so that another
// daemon can be told what has changed since any revision that it knows.
type journal struct {
	entries map[string]almondstep.RegistryEntry
	// removals counts the removed entries among them.
	removals int
	// from is the revision from which on every removal is remembered.
	from uint64
	// longKeys has the keys of the long entries.
	longKeys map[string]struct{}
	// former has the last editions of the long entries, oldest first.
	former map[string][]almondstep.RegistryEntry
}

// formerKept is the number of former editions of a long entry that are kept, for
// daemons that have one of them.
const formerKept = 4

func newJournal() journal {
	return journal{
		entries: make(map[string]almondstep.RegistryEntry),

		longKeys: make(map[string]struct{}),
		former:   make(map[string][]almondstep.RegistryEntry),
	}
}

// take notes changes; a whole reading up to a revision also removes what it
// doesn't show.
func (j *journal) take(entries []almondstep.RegistryEntry, whole bool, revision uint64) {
	if whole {
		j.removeUnlisted(entries, revision)
	}
	for _, e := range entries {
		j.put(e)
	}
	j.forgetRemovals()
}

func (j *journal) put(e almondstep.RegistryEntry) {
	held, known := j.entries[e.Key]
	if known && held.Revision > e.Revision {
		return
	}
	if known && held.Removed {
		j.removals--
	}
	if e.Removed {
		j.removals++
	}
	j.entries[e.Key] = e
	delete(j.longKeys, e.Key)
	if len(e.Value) >= patcher.LongEntry {
		j.longKeys[e.Key] = struct{}{}
	}
	if known && len(held.Value) >= patcher.LongEntry && held.Revision < e.Revision {
		editions := append(j.former[e.Key], held)
		j.former[e.Key] = editions[max(0, len(editions)-formerKept):]
	}
}

// long lists the long entries, in the order of their keys.
func (j *journal) long() []almondstep.RegistryEntry {
	var list []almondstep.RegistryEntry
	for _, key := range slices.Sorted(maps.Keys(j.longKeys)) {
		list = append(list, j.entries[key])
	}
	return list
}

// patch puts patches in place of the long entries of which the asker holds a former
// edition that is known here.
func (j *journal) patch(entries, holds []almondstep.RegistryEntry) {
	for i, e := range entries {
		for _, h := range holds {
			if h.Key != e.Key || e.Removed {
				continue
			}
			for _, old := range j.former[e.Key] {
				if old.Revision == h.Revision {
					entries[i] = patcher.MakeEntry(old, e)
				}
			}
		}
	}
}

func (j *journal) removeUnlisted(entries []almondstep.RegistryEntry, revision uint64) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, e := range j.entries {
		if !listed[key] && !e.Removed {
			j.put(almondstep.RegistryEntry{Key: key, Revision: max(revision, e.Revision), Removed: true})
		}
	}
}

// forgetRemovals drops the older half of the removals when there are too many.
func (j *journal) forgetRemovals() {
	if j.removals <= removalsKept {
		return
	}
	var removed []almondstep.RegistryEntry
	for _, e := range j.entries {
		if e.Removed {
			removed = append(removed, e)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, e := range removed[:len(removed)/2] {
		delete(j.entries, e.Key)
		delete(j.former, e.Key)
		j.removals--
		j.from = max(j.from, e.Revision)
	}
}

// since gives what has changed after a revision, oldest first, or everything if
// that isn't remembered; whole says which.
func (j *journal) since(after uint64) (entries []almondstep.RegistryEntry, whole bool) {
	whole = after == 0 || after < j.from
	for _, e := range j.entries {
		if e.Revision > after && !whole || whole && !e.Removed {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, byRevision)
	return entries, whole
}

func byRevision(a, b almondstep.RegistryEntry) int {
	if c := cmp.Compare(a.Revision, b.Revision); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}
