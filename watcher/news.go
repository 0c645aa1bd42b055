package watcher

import "almondstep"

// asker is another daemon that waits for news.
type asker struct {
	call  almondstep.CallID
	after uint64
	until almondstep.Instant
}

// asked answers another daemon at once if there is something to say, and else
// when there is, or its wait is over.
func (w *Watcher) asked(now almondstep.Instant, e *almondstep.NewsAsked, out []almondstep.Effect) []almondstep.Effect {
	a := asker{call: e.Call, after: e.After, until: now.Add(e.Wait)}
	if w.failed || w.revision != e.After || e.Wait <= 0 {
		return w.tell(now, a, out)
	}
	w.askers = append(w.askers, a)
	return out
}

// tell answers one daemon.
func (w *Watcher) tell(now almondstep.Instant, a asker, out []almondstep.Effect) []almondstep.Effect {
	return append(out, &almondstep.ReplyNews{Call: a.call, News: w.newsSince(now, a.after)})
}

// newsSince is what this daemon knows beyond a revision.
func (w *Watcher) newsSince(now almondstep.Instant, after uint64) almondstep.RegistryNews {
	news := almondstep.RegistryNews{
		Revision: w.revision,
		Lost:     w.failed,
		LostAgo:  almondstep.AgeUnknown,
		Source:   w.following,
		Age:      now.Sub(w.confirmedAt),
	}
	if w.failedAt != 0 {
		news.LostAgo = now.Sub(w.failedAt)
	}
	if w.revision > after {
		news.Entries, news.Whole = w.journal.since(after)
	}
	return news
}

// tellAll answers all that wait. Nearly all of a zone know the same revision, so
// that their news is the same.
func (w *Watcher) tellAll(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	known := make(map[uint64]almondstep.RegistryNews)
	for _, a := range w.askers {
		news, ok := known[a.after]
		if !ok {
			news = w.newsSince(now, a.after)
			known[a.after] = news
		}
		out = append(out, &almondstep.ReplyNews{Call: a.call, News: news})
	}
	w.askers = w.askers[:0]
	return out
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

// confirm notes when the registry itself was last heard, and until when it gave no
// answer: what is removed soon after may only have lapsed.
func (w *Watcher) confirm(now almondstep.Instant, e *almondstep.RegistryRead) {
	if w.outage {
		w.outage = false
		w.failedAt = now
	}
	if e.Teller == nil {
		w.confirmedAt = now
		return
	}
	w.confirmedAt = max(w.confirmedAt, now.Add(-e.Teller.Age))
	if ago := e.Teller.LostAgo; ago != almondstep.AgeUnknown {
		w.failedAt = max(w.failedAt, now.Add(-ago))
	}
}
