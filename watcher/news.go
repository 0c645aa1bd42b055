package watcher

import (
	"slices"

	"almondstep"
)

// asker is another daemon that waits for news.
type asker struct {
	call     almondstep.CallID
	question almondstep.NewsQuestion
	until    almondstep.Instant
}

// asked answers another daemon at once if there is something to say, and else
// when there is, the registry's word is confirmed anew, or its wait is over.
func (w *Watcher) asked(now almondstep.Instant, e *almondstep.NewsAsked, out []almondstep.Effect) []almondstep.Effect {
	a := asker{call: e.Call, question: e.Question, until: now.Add(e.Question.Wait)}
	if w.revision > e.Question.After || e.Question.Wait <= 0 {
		return w.tell(now, a, out)
	}
	w.askers = append(w.askers, a)
	return out
}

// tell answers one daemon.
func (w *Watcher) tell(now almondstep.Instant, a asker, out []almondstep.Effect) []almondstep.Effect {
	return append(out, &almondstep.ReplyNews{Call: a.call, News: w.newsFor(now, a.question)})
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
func (w *Watcher) newsFor(now almondstep.Instant, q almondstep.NewsQuestion) almondstep.RegistryNews {
	news := almondstep.RegistryNews{
		Revision: w.revision,
		LostAgo:  almondstep.AgeUnknown,
		Age:      w.age(now),
	}
	if w.readings.follows {
		news.Source = w.readings.following.id
	}
	if w.failedAt != 0 {
		news.LostAgo = now.Sub(w.failedAt)
	}
	if w.revision > q.After {
		news.Entries, news.Whole = w.journal.since(q.After)
		w.journal.patch(news.Entries, q.Holds)
	}
	return news
}

// tellAll answers daemons. Nearly all of them know the same, so that their news is
// the same.
func (w *Watcher) tellAll(now almondstep.Instant, to []asker, out []almondstep.Effect) []almondstep.Effect {
	var asked almondstep.NewsQuestion
	var news almondstep.RegistryNews
	for i, a := range to {
		if i == 0 || !sameKnowledge(a.question, asked) {
			asked, news = a.question, w.newsFor(now, a.question)
		}
		out = append(out, &almondstep.ReplyNews{Call: a.call, News: news})
	}
	return out
}

// sameKnowledge says that two daemons that ask know the same.
func sameKnowledge(a, b almondstep.NewsQuestion) bool {
	same := func(x, y almondstep.RegistryEntry) bool { return x.Key == y.Key && x.Revision == y.Revision }
	return a.After == b.After && slices.EqualFunc(a.Holds, b.Holds, same)
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
