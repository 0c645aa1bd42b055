package watcher

import (
	"cmp"
	"maps"
	"slices"

	"almondstep"
	"almondstep/patcher"
)

// maxRemovals is the maximum number of removals that are kept for daemons that request
// the changes since an earlier revision.
const maxRemovals = 4096

// journal has the last state of each entry of the registry, including removed ones, to
// provide other daemons with the changes since the revision of their registry cache.
type journal struct {
	entries map[string]almondstep.RegistryEntry
	// removals counts the removed entries among them.
	removals int
	// from is the revision after which every removal is kept.
	from uint64
	// longKeys has the keys of the long entries: those whose values have at least
	// patcher.MinPatchedEntryBytes bytes.
	longKeys map[string]struct{}
	// previous has the previous versions of the long entries, oldest first.
	previous map[string][]almondstep.RegistryEntry
	// superseded has the versions of entries that were replaced lately.
	superseded versions
	// era is that of the latest update. Daemons of an earlier era get all entries.
	era uint64
}

// maxPreviousVersions is the number of previous versions of a long entry that are
// kept, to make patches for daemons that have one of them.
const maxPreviousVersions = 4

func newJournal() journal {
	return journal{
		entries: make(map[string]almondstep.RegistryEntry),

		longKeys: make(map[string]struct{}),
		previous: make(map[string][]almondstep.RegistryEntry),
	}
}

// record adds changes up to a revision. If full is set, they are all entries at that
// revision, and those that aren't among them are recorded as removed.
// If the registry was restored, r says which of them come from the copy.
func (j *journal) record(entries []almondstep.RegistryEntry, full bool, revision uint64, r restored) {
	j.era = max(j.era, almondstep.EraOf(revision))
	if full && len(j.entries) == 0 {
		j.from = revision // What was removed before isn't known.
	}
	if full && j.era > 0 {
		j.recordRestored(entries, r, revision)
		return
	}
	if full {
		j.removeUnlisted(entries, revision)
	}
	for _, e := range entries {
		j.put(e)
	}
	j.dropOldRemovals()
}

func (j *journal) put(e almondstep.RegistryEntry) {
	held, known := j.entries[e.Key]
	if known && held.Revision > e.Revision {
		return
	}
	if known && held.Revision < e.Revision {
		j.superseded.add(held)
	}
	if known && held.Removed {
		j.removals--
	}
	if e.Removed {
		j.removals++
	}
	j.entries[e.Key] = e
	delete(j.longKeys, e.Key)
	if len(e.Value) >= patcher.MinPatchedEntryBytes {
		j.longKeys[e.Key] = struct{}{}
	}
	if known && len(held.Value) >= patcher.MinPatchedEntryBytes && held.Revision < e.Revision {
		versions := append(j.previous[e.Key], held)
		j.previous[e.Key] = versions[max(0, len(versions)-maxPreviousVersions):]
	}
}

// longEntries lists the long entries, in the order of their keys.
func (j *journal) longEntries() []almondstep.RegistryEntry {
	var list []almondstep.RegistryEntry
	for _, key := range slices.Sorted(maps.Keys(j.longKeys)) {
		list = append(list, j.entries[key])
	}
	return list
}

// patch replaces entries by patches where one of the requester's bases is a previous
// version that is kept here.
func (j *journal) patch(entries, bases []almondstep.RegistryEntry) {
	for i, e := range entries {
		for _, base := range bases {
			if base.Key != e.Key || e.Removed {
				continue
			}
			for _, previous := range j.previous[e.Key] {
				if previous.Revision == base.Revision {
					entries[i] = patcher.MakeEntryPatch(previous, e)
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

// dropOldRemovals drops the older half of the removals if there are more than
// maxRemovals.
func (j *journal) dropOldRemovals() {
	if j.removals <= maxRemovals {
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
		delete(j.previous, e.Key)
		j.removals--
		j.from = max(j.from, e.Revision)
	}
}

// since lists the changes after a revision, oldest first. If the revision is 0 or not
// all removals since then are kept, or it is of an earlier era, it lists all entries and
// full is true. To an earlier era it adds the removals since, which would otherwise be taken
// for entries that were lost.
func (j *journal) since(after uint64) (entries []almondstep.RegistryEntry, full bool) {
	isBehind := after != 0 && almondstep.EraOf(after) < j.era
	full = after == 0 || after < j.from || isBehind
	for _, e := range j.entries {
		isRemovedSince := e.Removed && isBehind && almondstep.EraOf(e.Revision) == j.era
		if e.Revision > after && !full || full && !e.Removed || isRemovedSince {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, byRevision)
	return entries, full
}

func byRevision(a, b almondstep.RegistryEntry) int {
	if c := cmp.Compare(a.Revision, b.Revision); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}
