package watcher

import (
	"slices"

	"almondstep"
)

// requester is another daemon that waits, at most until an instant, for a registry
// update.
type requester struct {
	call    almondstep.CallID
	request almondstep.RegistryUpdateRequest
	until   almondstep.Instant
}

// updateRequested replies to another daemon at once if there are changes for it or its
// request doesn't wait. Otherwise the reply follows when there are changes, when the
// registry cache is confirmed again, or when the wait is over.
func (w *Watcher) updateRequested(now almondstep.Instant, e *almondstep.RegistryUpdateRequested, out []almondstep.Effect) []almondstep.Effect {
	r := requester{call: e.Call, request: e.Request, until: now.Add(e.Request.Wait)}
	if w.revision > e.Request.After || e.Request.Wait <= 0 {
		return w.reply(now, r, out)
	}
	w.requesters = append(w.requesters, r)
	return out
}

// reply replies to one requester.
func (w *Watcher) reply(now almondstep.Instant, r requester, out []almondstep.Effect) []almondstep.Effect {
	return append(out, &almondstep.ReplyRegistryUpdate{Call: r.call, Update: w.updateFor(now, r.request)})
}

// replyConfirmed replies to the requesters for which there are changes, and to all once
// the confirmation is newer than the last one sent by confirmInterval/intervalFraction.
func (w *Watcher) replyConfirmed(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	const intervalFraction = 4
	fresher := w.confirmedAt.Sub(w.lastSentConfirmation) >= w.confirmInterval()/intervalFraction
	if fresher {
		w.lastSentConfirmation = w.confirmedAt
	}
	var due []requester
	kept := w.requesters[:0]
	for _, r := range w.requesters {
		if fresher || r.request.After < w.revision {
			due = append(due, r)
			continue
		}
		kept = append(kept, r)
	}
	w.requesters = kept
	return w.replyAll(now, due, out)
}

// updateFor returns the reply to a request: the changes since the requester's revision,
// and the age of this daemon's registry cache.
func (w *Watcher) updateFor(now almondstep.Instant, q almondstep.RegistryUpdateRequest) almondstep.RegistryUpdate {
	update := almondstep.RegistryUpdate{
		Revision:    w.revision,
		SinceOutage: almondstep.AgeUnknown,
		Age:         w.age(now),
	}
	if w.reads.isFollowing {
		update.Source = w.reads.followed.id
	}
	if w.failedAt != 0 {
		update.SinceOutage = now.Sub(w.failedAt)
	}
	if w.revision > q.After {
		update.Entries, update.Full = w.journal.since(q.After)
		w.journal.patch(update.Entries, q.PatchBases)
	}
	return update
}

// replyAll replies to several requesters. Nearly all of them have the same revision, so
// an update is reused for successive requesters with the same request.
func (w *Watcher) replyAll(now almondstep.Instant, requesters []requester, out []almondstep.Effect) []almondstep.Effect {
	var lastRequest almondstep.RegistryUpdateRequest
	var update almondstep.RegistryUpdate
	for i, r := range requesters {
		if i == 0 || !sameRequest(r.request, lastRequest) {
			lastRequest, update = r.request, w.updateFor(now, r.request)
		}
		out = append(out, &almondstep.ReplyRegistryUpdate{Call: r.call, Update: update})
	}
	return out
}

// sameRequest reports whether two requests call for the same update.
func sameRequest(a, b almondstep.RegistryUpdateRequest) bool {
	same := func(x, y almondstep.RegistryEntry) bool { return x.Key == y.Key && x.Revision == y.Revision }
	return a.After == b.After && slices.EqualFunc(a.PatchBases, b.PatchBases, same)
}

// replyDue replies to the requesters whose wait is over.
func (w *Watcher) replyDue(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	kept := w.requesters[:0]
	for _, r := range w.requesters {
		if now < r.until {
			kept = append(kept, r)
			continue
		}
		out = w.reply(now, r, out)
	}
	w.requesters = kept
	return out
}
