package watcher

import "almondstep"

// rejects reports whether an update is older than the registry cache or unusable. It backs
// off from a source that won't soon have a better one.
func (w *Watcher) rejects(now almondstep.Instant, e *almondstep.RegistryRead) bool {
	u := e.SourceUpdate
	switch {
	case u != nil && (u.Revision < w.revision || u.Revision == 0):
		// The source is behind. If its confirmation isn't overdue, it will soon catch up.
		if u.Revision == 0 || u.Age > w.overdueAfter() {
			w.backOff(now, e.From, minBackoff)
		}
		return true
	case u != nil && u.Source == w.cfg.Self && u.Revision == w.revision:
		// The source reads from this daemon and has nothing newer. If it has a newer
		// revision, its update is accepted: this daemon may have restarted.
	case u != nil && w.revision == 0 && w.boot.rejectsStale(now, u.Age > w.cfg.MaxAge, w.confirmInterval()):
		w.reads.cause = "the registry cache of " + sourceName(e.From) + " is stale"
	case w.isEarlierEra(e.Changes):
		w.reads.cause = "the update of " + sourceName(e.From) + " is of an earlier era"
	default:
		return false
	}
	w.backOff(now, e.From, minBackoff)
	return true
}

// readSucceeded applies an update unless it is older than the registry cache or unusable.
func (w *Watcher) readSucceeded(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if w.rejects(now, e) {
		return out
	}
	confirmedBefore := w.confirmedAt
	w.confirm(now, e)
	out = w.merge(now, e, out)
	out = w.replyConfirmed(now, out)
	if w.overdue(now) && !e.Changes.More {
		// The confirmation of this update is overdue too. If its source is the followed
		// one, it stays so during the search for a fresher update.
		w.reads.cause = "the last confirmation from " + sourceName(e.From) + " is overdue"
		if w.reads.isFollowing && e.From != w.reads.followed.id {
			w.backOff(now, e.From, minBackoff)
		}
		return out
	}
	delete(w.reads.backoffs, e.From)
	out = w.followIfBetter(now, e, confirmedBefore, out)
	w.paceWatches(now, e)
	return out
}

// confirm records when the registry itself last confirmed the content, and when it last
// failed to answer: removals soon after may only be due to leases that couldn't be
// renewed.
func (w *Watcher) confirm(now almondstep.Instant, e *almondstep.RegistryRead) {
	if e.SourceUpdate == nil {
		if w.outage {
			w.outage = false
			w.failedAt = now
		}
		if !e.Changes.More {
			w.confirmedAt = now
		}
		return
	}
	if age := e.SourceUpdate.Age; age != almondstep.AgeUnknown {
		w.confirmedAt = max(w.confirmedAt, now.Add(-age))
	}
	if ago := e.SourceUpdate.SinceOutage; ago != almondstep.AgeUnknown {
		w.failedAt = max(w.failedAt, now.Add(-ago))
	}
}

// merge applies the changes to the registry cache and publishes the result.
func (w *Watcher) merge(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	isRestored := w.isRestored(e)
	if isRestored {
		out = w.beginRestored(now, e, out)
		w.confirmListed(e.Changes)
	}
	isFirst := w.beginFirst(now, e)
	if e.Full && !isRestored && !isFirst {
		current := *e
		current.Changes = ofCurrentEra(e.Changes)
		e = &current
	}
	changed, out := w.apply(now, e, out)
	w.journal.record(e.Changes.Entries, e.Full, e.Changes.Revision, w.restored)
	if isRestored || isFirst {
		out = w.settleUnlisted(now, e.Changes, out)
	}
	if e.From == "" {
		w.needsFullRead = w.needsFullRead && !e.Full
		w.restored.readAt = 0
	}
	w.revision = w.positionAfter(e, isRestored)
	if changed {
		return w.publish(out)
	}
	return w.publishAge(out)
}
