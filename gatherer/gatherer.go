// Package gatherer implements, at an owner, the scatter-gather of a Work: the one
// message with which an entry daemon queries all the shards that it assigned to the
// owner's upstreams.
//
// It is separate from the upstreams' state, which handles single items: it dispatches
// the items of a Work to the upstreams, merges their results, answers early with what
// has finished and later with the rest, so that an entry daemon normally receives at
// most two answers from an owner for each attempt.
//
// Example: a Work of three items, to be answered after 30 ms.
//
//	WorkArrived          -> ItemArrived a, b, c; SetGatherTimer flush 30ms
//	ItemFinished a, b       (their records are merged)
//	GatherTimer flush    -> ReplyWork a and b done, c pending
//	CollectArrived          (the entry daemon waits for the rest)
//	ItemFinished c       -> ReplyWork c done, with the records of c alone
package gatherer

import (
	"almondstep"
)

// Config sets the limits. A zero field means its default.
type Config struct {
	// MaxOpen is the number of Works that have not ended, or of ended ones that must not
	// run twice, at which new Works are refused. It is also the maximum number of ended
	// repeatable Works that are kept.
	MaxOpen int
}

const defaultMaxOpen = 65536

// Gathers is the state of the Works that one traffic thread gathers.
type Gathers struct {
	cfg Config
	// works contains the Works that are being gathered and the ended ones.
	works map[key]*gather
	// running is the number of Works that have not ended.
	running int
	// ended contains the Works that have ended. They are kept until their deadline, so
	// that a Work that is sent again doesn't run again.
	ended endedWorks
}

// key identifies a Work.
type key struct {
	query   almondstep.QueryID
	attempt almondstep.AttemptID
}

// reduction is the state of one call of Reduce.
type reduction struct {
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

func (t *reduction) emit(e almondstep.Effect) {
	t.out = append(t.out, e)
}

// New returns the state of one traffic thread.
func New(cfg Config) *Gathers {
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	return &Gathers{cfg: cfg, works: make(map[key]*gather)}
}

// Open returns the number of Works that are kept, ended ones included.
func (s *Gathers) Open() int { return len(s.works) }

// Reduce processes one event and appends the resulting effects to out. An event of
// another partition is ignored.
func (s *Gathers) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	t := reduction{now: now, view: v, out: out}
	s.removeEnded(now)
	switch e := e.(type) {
	case *almondstep.WorkArrived:
		s.workArrived(&t, e.Work)
	case *almondstep.CollectArrived:
		s.collectArrived(&t, e)
	case *almondstep.CancelArrived:
		s.cancelArrived(&t, e)
	case *almondstep.GatherTimer:
		s.timerFired(&t, e)
	case *almondstep.ItemFinished:
		s.itemFinished(&t, e)
	}
	return t.out
}

// workArrived dispatches the items of a Work to their upstreams, or refuses it.
func (s *Gathers) workArrived(t *reduction, w *almondstep.Work) {
	k := key{query: w.Query, attempt: w.Attempt}
	if g := s.works[k]; g != nil {
		s.workRepeated(t, g)
		return
	}
	if reason := s.refusal(t, w); reason != "" {
		t.emit(refusalReply(t.view, w, reason))
		return
	}
	g := newGather(k, w, t.now)
	s.works[k] = g
	s.running++
	g.dispatch(t)
	if len(w.Items) == 0 {
		s.reply(t, g)
		return
	}
	g.setTimers(t)
}

// refusal returns why a Work is refused; empty if it is accepted.
func (s *Gathers) refusal(t *reduction, w *almondstep.Work) almondstep.Reason {
	switch {
	case t.view.Unready() == string(almondstep.CodeStopping):
		return almondstep.ReasonStopping
	case w.Remaining <= 0:
		return almondstep.ReasonDeadline
	case s.running >= s.cfg.MaxOpen || len(s.ended.nonRepeatable) >= s.cfg.MaxOpen:
		return almondstep.ReasonShed
	default:
		return ""
	}
}

// refusalReply returns the answer to a Work that is refused: no item has run.
func refusalReply(v *almondstep.View, w *almondstep.Work, reason almondstep.Reason) *almondstep.ReplyWork {
	items := make([]almondstep.ItemAnswer, len(w.Items))
	for i, item := range w.Items {
		items[i] = almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemNotRun, Reason: reason}
	}
	return &almondstep.ReplyWork{Answer: &almondstep.WorkAnswered{
		ID:      w.Query,
		Attempt: w.Attempt,
		Owner:   v.Self(),
		Version: w.Version,
		Items:   items,
	}}
}

// workRepeated handles a Work that was received before. If its first answer is still
// due, that answer serves both; otherwise the items are pending or already answered.
func (s *Gathers) workRepeated(t *reduction, g *gather) {
	if g.waiting == awaitingFirst {
		return
	}
	t.emit(g.answerRepeated(t.view))
}

// collectArrived handles the entry daemon's request for the pending items.
func (s *Gathers) collectArrived(t *reduction, e *almondstep.CollectArrived) {
	g := s.works[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		// An answer without items means that this daemon no longer has them.
		t.emit(&almondstep.ReplyWork{Answer: &almondstep.WorkAnswered{
			ID: e.ID, Attempt: e.Attempt, Owner: t.view.Self(),
		}})
		return
	}
	if g.waiting == awaitingFirst {
		// The first answer is still due; it serves this request too.
		return
	}
	g.waiting = awaitingRest
	if g.unfinished == 0 {
		s.reply(t, g)
	}
}

// cancelArrived cancels the unfinished items: those listed, or all if none are.
func (s *Gathers) cancelArrived(t *reduction, e *almondstep.CancelArrived) {
	g := s.works[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		return
	}
	if len(e.Items) == 0 {
		g.cancelAll(t, almondstep.ReasonCanceled)
	}
	for _, item := range e.Items {
		g.cancelOne(t, item, almondstep.ReasonCanceled)
	}
	s.answerIfComplete(t, g)
}

// timerFired answers with what has finished at the flush time, and ends the Work at the
// deadline.
func (s *Gathers) timerFired(t *reduction, e *almondstep.GatherTimer) {
	g := s.works[key{query: e.ID, attempt: e.Attempt}]
	if g == nil || g.ended {
		return
	}
	switch e.Purpose {
	case almondstep.TimerFlush:
		if g.waiting == awaitingFirst {
			s.reply(t, g)
		}
	case almondstep.TimerHard:
		s.deadline(t, g)
	default:
	}
}

// deadline cancels the unfinished items, and answers the entry daemon if it waits.
func (s *Gathers) deadline(t *reduction, g *gather) {
	g.cancelAll(t, almondstep.ReasonDeadline)
	if g.waiting != notWaiting {
		s.reply(t, g)
		return
	}
	s.end(g)
}

// itemFinished records the result of one item and, if it was the last, answers the
// entry daemon if that waits.
func (s *Gathers) itemFinished(t *reduction, e *almondstep.ItemFinished) {
	g := s.works[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		return
	}
	if g.finishItem(e) {
		s.answerIfComplete(t, g)
	}
}

// answerIfComplete answers the entry daemon if it waits and no item is unfinished.
func (s *Gathers) answerIfComplete(t *reduction, g *gather) {
	if g.unfinished == 0 && g.waiting != notWaiting {
		s.reply(t, g)
	}
}

// reply sends an answer with what earlier answers didn't contain, and ends the Work if
// no item is unfinished.
func (s *Gathers) reply(t *reduction, g *gather) {
	t.emit(g.answer(t.view))
	g.waiting = notWaiting
	if g.unfinished == 0 {
		s.end(g)
	}
}

// end ends a Work and keeps only what is needed to recognize it if it is sent again.
func (s *Gathers) end(g *gather) {
	if g.ended {
		return
	}
	g.ended = true
	g.records = nil
	s.running--
	s.ended.add(g)
}

// removeEnded removes the ended Works that endedWorks needn't keep any longer.
func (s *Gathers) removeEnded(now almondstep.Instant) {
	for g := s.ended.popRemovable(now, s.cfg.MaxOpen); g != nil; g = s.ended.popRemovable(now, s.cfg.MaxOpen) {
		delete(s.works, g.key)
	}
}
