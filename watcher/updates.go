package watcher

import (
	"slices"

	"almondstep"
)

// requester is another daemon that waits for registry updates.
type requester struct {
	call    almondstep.CallID
	request almondstep.RegistryUpdateRequest
	until   almondstep.Instant
}

// updateRequested replies to another daemon at once if there are changes for it, and
// else when there are, when the registry cache is confirmed again, or when its wait
// is over.
func (w *Watcher) updateRequested(now almondstep.Instant, e *almondstep.RegistryUpdateRequested, out []almondstep.Effect) []almondstep.Effect {
	a := requester{call: e.Call, request: e.Request, until: now.Add(e.Request.Wait)}
	if w.revision > e.Request.After || e.Request.Wait <= 0 {
		return w.reply(now, a, out)
	}
	w.requesters = append(w.requesters, a)
	return out
}

// reply replies to one daemon.
func (w *Watcher) reply(now almondstep.Instant, a requester, out []almondstep.Effect) []almondstep.Effect {
	return append(out, &almondstep.ReplyRegistryUpdate{Call: a.call, Update: w.updateFor(now, a.request)})
}

// replyConfirmed replies to all waiting requesters once there are changes for them, or
// once the confirmation is newer than the last one sent by confirmInterval/intervalFraction.
func (w *Watcher) replyConfirmed(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	const intervalFraction = 4
	fresher := w.confirmedAt.Sub(w.repliedAt) >= w.confirmInterval()/intervalFraction
	if fresher {
		w.repliedAt = w.confirmedAt
	}
	var due []requester
	kept := w.requesters[:0]
	for _, a := range w.requesters {
		if fresher || a.request.After < w.revision {
			due = append(due, a)
			continue
		}
		kept = append(kept, a)
	}
	w.requesters = kept
	return w.replyAll(now, due, out)
}

// updateFor is what this daemon's registry cache has beyond that of the requester.
func (w *Watcher) updateFor(now almondstep.Instant, q almondstep.RegistryUpdateRequest) almondstep.RegistryUpdate {
	update := almondstep.RegistryUpdate{
		Revision:    w.revision,
		SinceOutage: almondstep.AgeUnknown,
		Age:         w.age(now),
	}
	if w.reads.follows {
		update.Source = w.reads.following.id
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

// replyAll replies to several daemons. Nearly all of them have the same revision, so
// one update is reused for them.
func (w *Watcher) replyAll(now almondstep.Instant, to []requester, out []almondstep.Effect) []almondstep.Effect {
	var lastRequest almondstep.RegistryUpdateRequest
	var update almondstep.RegistryUpdate
	for i, a := range to {
		if i == 0 || !sameRequest(a.request, lastRequest) {
			lastRequest, update = a.request, w.updateFor(now, a.request)
		}
		out = append(out, &almondstep.ReplyRegistryUpdate{Call: a.call, Update: update})
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
	for _, a := range w.requesters {
		if now < a.until {
			kept = append(kept, a)
			continue
		}
		out = w.reply(now, a, out)
	}
	w.requesters = kept
	return out
}
