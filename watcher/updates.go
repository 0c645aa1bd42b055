package watcher

import (
	"slices"

	"almondstep"
)

// asker is another daemon that waits for news.
type asker struct {
	call     almondstep.CallID
	question almondstep.RegistryUpdateRequest
	until    almondstep.Instant
}

// asked answers another daemon at once if there is something to say, and else
// when there is, the registry's word is confirmed anew, or its wait is over.
func (w *Watcher) asked(now almondstep.Instant, e *almondstep.RegistryUpdateRequested, out []almondstep.Effect) []almondstep.Effect {
	a := asker{call: e.Call, question: e.Request, until: now.Add(e.Request.Wait)}
	if w.revision > e.Request.After || e.Request.Wait <= 0 {
		return w.tell(now, a, out)
	}
	w.askers = append(w.askers, a)
	return out
}

// tell answers one daemon.
func (w *Watcher) tell(now almondstep.Instant, a asker, out []almondstep.Effect) []almondstep.Effect {
	return append(out, &almondstep.ReplyRegistryUpdate{Call: a.call, Update: w.newsFor(now, a.question)})
}

// tellConfirmed answers all that wait once there is news, or the word is fresher
// than what they were told by a good part of a beat.
func (w *Watcher) tellConfirmed(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	const goodPart = 4
	fresher := w.confirmedAt.Sub(w.toldAt) >= w.beat()/goodPart
	if fresher {
		w.toldAt = w.confirmedAt
	}
	var told []asker
	kept := w.askers[:0]
	for _, a := range w.askers {
		if fresher || a.question.After < w.revision {
			told = append(told, a)
			continue
		}
		kept = append(kept, a)
	}
	w.askers = kept
	return w.tellAll(now, told, out)
}

// newsFor is what this daemon knows beyond what the asker does.
func (w *Watcher) newsFor(now almondstep.Instant, q almondstep.RegistryUpdateRequest) almondstep.RegistryUpdate {
	news := almondstep.RegistryUpdate{
		Revision:    w.revision,
		SinceOutage: almondstep.AgeUnknown,
		Age:         w.age(now),
	}
	if w.readings.follows {
		news.Source = w.readings.following.id
	}
	if w.failedAt != 0 {
		news.SinceOutage = now.Sub(w.failedAt)
	}
	if w.revision > q.After {
		news.Entries, news.Full = w.journal.since(q.After)
		w.journal.patch(news.Entries, q.PatchBases)
	}
	return news
}

// tellAll answers daemons. Nearly all of them know the same, so that their news is
// the same.
func (w *Watcher) tellAll(now almondstep.Instant, to []asker, out []almondstep.Effect) []almondstep.Effect {
	var asked almondstep.RegistryUpdateRequest
	var news almondstep.RegistryUpdate
	for i, a := range to {
		if i == 0 || !sameKnowledge(a.question, asked) {
			asked, news = a.question, w.newsFor(now, a.question)
		}
		out = append(out, &almondstep.ReplyRegistryUpdate{Call: a.call, Update: news})
	}
	return out
}

// sameKnowledge says that two daemons that ask know the same.
func sameKnowledge(a, b almondstep.RegistryUpdateRequest) bool {
	same := func(x, y almondstep.RegistryEntry) bool { return x.Key == y.Key && x.Revision == y.Revision }
	return a.After == b.After && slices.EqualFunc(a.PatchBases, b.PatchBases, same)
}

// tellDue answers those whose wait is over.
func (w *Watcher) tellDue(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	kept := w.askers[:0]
	for _, a := range w.askers {
		if now < a.until {
			kept = append(kept, a)
			continue
		}
		out = w.tell(now, a, out)
	}
	w.askers = kept
	return out
}
