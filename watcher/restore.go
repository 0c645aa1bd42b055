package watcher

import (
	"strconv"
	"time"

	"almondstep"
)

const (
	// restoreGrace is how long entries that were lost in a restore of the registry are kept
	// for whoever wrote them to write them again.
	restoreGrace = 10 * time.Second
	// rewriteSpread is the time over which the daemons spread the writes of their own
	// entries after a restore, so that the registry isn't called by all of them at once.
	rewriteSpread = time.Second
)

// restored is what is known of the last restore of the registry from a copy; zero if there
// was none.
type restored struct {
	// copied is a lower bound of the copy's revision, in the era after the restore. What
	// the registry lists up to it comes from the copy.
	copied uint64
	// readAt is the revision of the full read after the restore, from which the registry is
	// watched if it doesn't have the history since copied; 0 if that isn't needed.
	readAt uint64
	// graceEnds is when the entries that were lost are dropped; 0 if that is done.
	graceEnds almondstep.Instant
	// announceAt is when this daemon's entry is to be written again; 0 if that has begun.
	announceAt almondstep.Instant
}

// fromCopy reports whether an entry that the registry lists comes from the copy, so that
// the registry cache has it in the same or in a later state.
func (r restored) fromCopy(revision uint64) bool {
	return almondstep.EraOf(revision) == almondstep.EraOf(r.copied) && revision <= r.copied
}

// isEarlierEra reports whether an update was read before the registry was restored.
func (w *Watcher) isEarlierEra(c *almondstep.RegistryChanges) bool {
	return almondstep.EraOf(c.Revision) < almondstep.EraOf(w.revision)
}

// isRestored reports whether an update is the first one after a restore of the registry.
func (w *Watcher) isRestored(e *almondstep.RegistryRead) bool {
	return w.revision != 0 && e.Full && almondstep.EraOf(e.Changes.Revision) > almondstep.EraOf(w.revision)
}

// beginRestored prepares the registry cache for the first full read after a restore, from
// the registry or from another daemon, and has this daemon's own entries written again.
func (w *Watcher) beginRestored(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	c := e.Changes
	era := almondstep.EraOf(c.Revision)
	copied, _ := almondstep.JoinRevision(era, w.journal.copyRevision(era, c.Entries))
	w.restored = restored{copied: copied, graceEnds: now.Add(restoreGrace)}
	// The leases are lost too, so removals may only be due to them.
	w.failedAt = now
	w.rewriteOwn(now, c)
	cause := "era " + strconv.FormatUint(era, 10) + "; the copy has at least revision " + strconv.FormatUint(almondstep.RevisionInEra(copied), 10)
	r := w.report("registry was restored from a copy", string(w.cfg.Self), cause+"; read from "+sourceName(e.From), w.revision)
	r.Level = almondstep.ReportWarn
	return append(out, r)
}

// beginFirst reports whether an update is the first one of this daemon, and another daemon may
// keep entries in it that were lost in a restore: they are kept here for restoreGrace too.
func (w *Watcher) beginFirst(now almondstep.Instant, e *almondstep.RegistryRead) bool {
	if w.revision != 0 || !e.Full || almondstep.EraOf(e.Changes.Revision) == 0 {
		return false
	}
	w.restored.graceEnds = now.Add(restoreGrace)
	return true
}

// positionAfter returns the revision of the registry cache after an update. After a
// restore, the registry is watched from the copy's revision, so that removals since then
// are seen.
func (w *Watcher) positionAfter(e *almondstep.RegistryRead, isRestored bool) uint64 {
	if !isRestored || e.From != "" || almondstep.RevisionInEra(w.restored.copied) == 0 {
		return max(w.revision, e.Changes.Revision)
	}
	w.restored.readAt = e.Changes.Revision
	return w.restored.copied
}

// skipHistory continues from the revision of the full read if the registry doesn't have the
// history since the copy's revision, and reports whether it does.
func (w *Watcher) skipHistory() bool {
	if w.restored.readAt == 0 {
		return false
	}
	w.revision = max(w.revision, w.restored.readAt)
	w.restored.readAt = 0
	return true
}

// rewriteOwn has this daemon's entry, and the records of crashes that it has written and
// that aren't listed any more, written again within rewriteSpread.
func (w *Watcher) rewriteOwn(now almondstep.Instant, c *almondstep.RegistryChanges) {
	at := now.Add(time.Duration(w.random.Next() % uint64(rewriteSpread)))
	w.restored.announceAt = at
	w.announceAt = at
	w.announceRetry = minAnnounceRetry
	w.crashes.rewrite(at, c)
}

// newContent returns the changes that an update has beyond what comes from the copy.
func (w *Watcher) newContent(e *almondstep.RegistryRead) *almondstep.RegistryChanges {
	c := e.Changes
	if !e.Full || w.restored.copied == 0 || almondstep.EraOf(c.Revision) != almondstep.EraOf(w.restored.copied) {
		return c
	}
	// Removals aren't of the copy: another daemon has seen them.
	fresh := *c
	removed := removedKeys(c)
	fresh.Upstreams = without(c.Upstreams, func(u almondstep.UpstreamChange) bool { return w.restored.fromCopy(u.Revision) && !removed[u.Key] })
	fresh.DrainedZones = without(c.DrainedZones, func(z almondstep.ZoneChange) bool { return w.restored.fromCopy(z.Revision) && z.Drained })
	fresh.Daemons = without(c.Daemons, func(d almondstep.DaemonChange) bool { return w.restored.fromCopy(d.Revision) && d.Alive })
	fresh.Crashes = without(c.Crashes, func(r almondstep.CrashChange) bool { return w.restored.fromCopy(r.Revision) && !r.Removed })
	fresh.Rollouts = without(c.Rollouts, func(r almondstep.RolloutChange) bool {
		return w.restored.fromCopy(r.Revision) && r.Order != nil && w.rollouts.services[r.Service].OrderRevision != 0
	})
	return &fresh
}

// ofCurrentEra returns changes without the entries of earlier eras, which another daemon keeps
// for a while. This daemon has decided on them with its first update of the era.
func ofCurrentEra(c *almondstep.RegistryChanges) *almondstep.RegistryChanges {
	isEarlier := func(revision uint64) bool { return almondstep.EraOf(revision) < almondstep.EraOf(c.Revision) }
	current := *c
	current.Entries = without(c.Entries, func(e almondstep.RegistryEntry) bool { return isEarlier(e.Revision) })
	current.Upstreams = without(c.Upstreams, func(u almondstep.UpstreamChange) bool { return isEarlier(u.Revision) })
	current.DrainedZones = without(c.DrainedZones, func(z almondstep.ZoneChange) bool { return isEarlier(z.Revision) })
	current.Daemons = without(c.Daemons, func(d almondstep.DaemonChange) bool { return isEarlier(d.Revision) })
	current.Crashes = without(c.Crashes, func(r almondstep.CrashChange) bool { return isEarlier(r.Revision) })
	current.Rollouts = without(c.Rollouts, func(r almondstep.RolloutChange) bool { return isEarlier(r.Revision) })
	return &current
}

// without returns a new list without the elements for which drop holds.
func without[T any](list []T, drop func(T) bool) []T {
	var kept []T
	for _, x := range list {
		if !drop(x) {
			kept = append(kept, x)
		}
	}
	return kept
}
