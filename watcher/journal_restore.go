package watcher

import "almondstep"

// recordRestored adds the entries of the first full read after a restore of the registry.
// Entries that come from the copy are kept in their last state, at their revisions in the
// new era, so that daemons that are behind receive it. Entries that were lost keep their
// revisions of an earlier era.
func (j *journal) recordRestored(entries []almondstep.RegistryEntry, r restored, revision uint64) {
	j.removeUnlistedFromCopy(entries, r, revision)
	for _, e := range entries {
		j.recordListed(e, r)
	}
	j.dropOldRemovals()
}

// recordListed adds an entry that a full read lists.
func (j *journal) recordListed(e almondstep.RegistryEntry, r restored) {
	held, known := j.entries[e.Key]
	if !r.fromCopy(e.Revision) || !known || e.Removed {
		j.put(e)
		return
	}
	if held.Revision >= e.Revision {
		return
	}
	if held.Value != e.Value || held.Removed {
		j.superseded.add(e)
	}
	held.Revision = e.Revision
	j.put(held)
}

// removeUnlistedFromCopy records as removed what the copy had and a full read after the
// restore doesn't list.
func (j *journal) removeUnlistedFromCopy(entries []almondstep.RegistryEntry, r restored, revision uint64) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, e := range j.entries {
		isLost := almondstep.EraOf(e.Revision) < almondstep.EraOf(revision) && !r.wasRemoved(e.Revision)
		if !listed[key] && !e.Removed && !isLost {
			j.put(almondstep.RegistryEntry{Key: key, Revision: max(revision, e.Revision), Removed: true})
		}
	}
}

// dropLost records as removed the entries of earlier eras than that of begin.
func (j *journal) dropLost(begin uint64) {
	for key, e := range j.entries {
		if e.Revision < begin && !e.Removed {
			j.put(almondstep.RegistryEntry{Key: key, Revision: begin, Removed: true})
		}
	}
	j.dropOldRemovals()
}
