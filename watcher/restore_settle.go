package watcher

import (
	"maps"
	"slices"
	"strconv"

	"almondstep"
)

// confirmListed gives the cached entries that the registry lists as part of the copy the
// revisions that they have in the new era. A revision of an earlier era then marks an
// entry that the registry doesn't list.
func (w *Watcher) confirmListed(c *almondstep.RegistryChanges) {
	removed := removedKeys(c)
	for _, u := range c.Upstreams {
		if held := w.listing.entries[u.Key]; held != nil && w.restored.fromCopy(u.Revision) && !removed[u.Key] {
			held.revision = max(held.revision, u.Revision)
		}
	}
	for _, z := range c.DrainedZones {
		if held, known := w.drainedZones[z.Zone]; known && z.Drained && w.restored.fromCopy(z.Revision) {
			held.revision = max(held.revision, z.Revision)
			w.drainedZones[z.Zone] = held
		}
	}
	w.rollouts.confirm(w.restored.fromCopy, c.Rollouts)
	w.rollouts.forgetRevisions(c)
	for _, r := range c.Crashes {
		if held, known := w.crashes.records[r.CrashRecord]; known && !r.Removed && w.restored.fromCopy(r.Revision) {
			held.revision = max(held.revision, r.Revision)
			w.crashes.records[r.CrashRecord] = held
		}
	}
}

// removedKeys returns the keys that another daemon's update names as removed.
func removedKeys(c *almondstep.RegistryChanges) map[string]bool {
	removed := make(map[string]bool)
	for _, e := range c.Entries {
		if e.Removed {
			removed[e.Key] = true
		}
	}
	return removed
}

// wasRemoved reports whether an entry that a read after the restore doesn't list has been
// removed since, rather than lost: the copy has its last change.
func (r restored) wasRemoved(revision uint64) bool {
	return almondstep.RevisionInEra(revision) <= almondstep.RevisionInEra(r.copied)
}

// settleUnlisted decides on the upstreams that the registry doesn't list after a restore:
// one that was lost is kept until restoreGrace is over, one that was removed is dropped as
// in an outage. Drained zones stay drained in both cases until their removal is seen or
// the grace is over.
func (w *Watcher) settleUnlisted(now almondstep.Instant, c *almondstep.RegistryChanges, out []almondstep.Effect) []almondstep.Effect {
	keptBySource := make(map[string]bool)
	for _, u := range c.Upstreams {
		keptBySource[u.Key] = almondstep.EraOf(u.Revision) < almondstep.EraOf(c.Revision)
	}
	kept, removed := 0, 0
	for _, key := range slices.Sorted(maps.Keys(w.listing.entries)) {
		held := w.listing.entries[key]
		if almondstep.EraOf(held.revision) >= almondstep.EraOf(c.Revision) {
			continue
		}
		if w.restored.wasRemoved(held.revision) && !keptBySource[key] {
			removed++
			w.remove(now, key)
			continue
		}
		kept++
		w.listing.lapse(key, w.restored.graceEnds)
	}
	if kept+removed == 0 {
		return out
	}
	text := strconv.Itoa(kept) + " kept until they are written again, " + strconv.Itoa(removed) + " removed"
	return append(out, w.report("upstreams aren't listed after the restore", string(w.cfg.Self), text, c.Revision))
}

// endRestoreGrace drops what was lost in the restore and wasn't written again in time, and
// reports whether that changes the directory. Upstreams lapse by themselves.
func (w *Watcher) endRestoreGrace(now almondstep.Instant, out []almondstep.Effect) (bool, []almondstep.Effect) {
	if w.restored.graceEnds == 0 || now < w.restored.graceEnds {
		return false, out
	}
	w.restored.graceEnds = 0
	era := almondstep.EraOf(w.revision)
	begin, _ := almondstep.JoinRevision(era, 0)
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(w.drainedZones)) {
		if held := w.drainedZones[zone]; held.drained && held.revision < begin {
			changed = w.applyZone(almondstep.ZoneChange{Zone: zone, Revision: begin}) || changed
			out = append(out, w.report("zone drain state changed", string(zone), "lost in the restore of the registry", w.revision))
		}
	}
	changed = w.crashes.dropLost(now, begin) || changed
	changed = w.rollouts.dropLost(begin) || changed
	w.journal.dropLost(begin)
	return changed, out
}

// keepsLeaving returns a change with which an upstream that was leaving before a restore of
// the registry is still leaving: that is final for a run, and its entry may be written
// again in an earlier state.
func (w *Watcher) keepsLeaving(c almondstep.UpstreamChange) almondstep.UpstreamChange {
	held := w.listing.entries[c.Key]
	if held == nil || c.Upstream == nil || c.Upstream.Leaving || !held.upstream.Leaving {
		return c
	}
	sameRun := !c.Upstream.Started.IsZero() && held.upstream.Run() == c.Upstream.Run()
	if !sameRun || almondstep.EraOf(c.Revision) <= held.leavingSince {
		return c
	}
	leaving := *c.Upstream
	leaving.Leaving = true
	c.Upstream = &leaving
	return c
}

// rewrite queues the records that this daemon has written and that the registry doesn't
// list, from an instant on. Another daemon may still keep them, at an earlier era.
func (l *crashLog) rewrite(at almondstep.Instant, listed *almondstep.RegistryChanges) {
	isListed := make(map[almondstep.CrashRecord]bool, len(listed.Crashes))
	for _, c := range listed.Crashes {
		isListed[c.CrashRecord] = almondstep.EraOf(c.Revision) == almondstep.EraOf(listed.Revision)
	}
	for _, r := range l.own {
		isQueued := slices.ContainsFunc(l.toAdd, func(c almondstep.CrashChange) bool { return c.CrashRecord == r })
		if !isListed[r] && !isQueued {
			l.toAdd = append(l.toAdd, almondstep.CrashChange{CrashRecord: r, CrashEvidence: l.evidence[r]})
		}
	}
	l.nextAt = max(l.nextAt, at)
}

// dropLost drops the records of earlier eras than that of begin that this daemon hasn't
// written, and reports whether there were any.
func (l *crashLog) dropLost(now almondstep.Instant, begin uint64) bool {
	changed := false
	for r, held := range l.records {
		if held.revision >= begin || l.isOwn(r) {
			continue
		}
		changed = true
		delete(l.records, r)
		l.forget(r)
		l.quarantine.Remove(now, r.Fingerprint, r.Upstream)
	}
	return changed
}
