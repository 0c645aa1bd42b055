// Package gatherer implements, at an owner, the scatter-gather of a Work: the one
// message in which an entry daemon requests all the shards that the owner's upstreams
// serve.
//
// It is separate from the upstreams' state, which handles single items: it dispatches
// the items of a Work to the upstreams, merges their results, answers early with what
// has finished and later with the rest, so that an entry daemon receives at most two
// answers from an owner for each attempt.
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
	// MaxOpen bounds the Works that are being gathered.
	MaxOpen int
}

const defaultMaxOpen = 65536

// Gathers is the state of the Works that one traffic thread gathers.
type Gathers struct {
	cfg  Config
	open map[key]*gather
	// running counts the open ones that are not yet answered completely.
	running int
	// ended contains the answered ones. They are kept until their deadline, so that a
	// Work that is sent again doesn't run again.
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
	return &Gathers{cfg: cfg, open: make(map[key]*gather)}
}

// Open returns the number of Works that are kept.
func (s *Gathers) Open() int { return len(s.open) }

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
		s.timer(&t, e)
	case *almondstep.ItemFinished:
		s.itemFinished(&t, e)
	}
	return t.out
}

// workArrived dispatches the items of a Work to their upstreams, or refuses it.
func (s *Gathers) workArrived(t *reduction, w *almondstep.Work) {
	k := key{query: w.Query, attempt: w.Attempt}
	if g := s.open[k]; g != nil {
		s.repeated(t, g)
		return
	}
	if reason := s.refusal(t, w); reason != "" {
		t.emit(refuse(t.view, w, reason))
		return
	}
	g := newGather(k, w, t.now)
	s.open[k] = g
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

// refuse returns the answer to a Work that is refused: no item has run.
func refuse(v *almondstep.View, w *almondstep.Work, reason almondstep.Reason) *almondstep.ReplyWork {
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

// repeated handles a Work that was received before. If its first answer is still
// due, that answer serves both; otherwise the items are pending or already answered.
func (s *Gathers) repeated(t *reduction, g *gather) {
	if g.waiting == awaitingFirst {
		return
	}
	t.emit(g.answerRepeated(t.view))
}

// collectArrived processes a request of the entry daemon for the rest.
func (s *Gathers) collectArrived(t *reduction, e *almondstep.CollectArrived) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
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
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		return
	}
	if len(e.Items) == 0 {
		g.cancelAll(t, almondstep.ReasonCanceled)
	}
	for _, item := range e.Items {
		g.cancelOne(t, item, almondstep.ReasonCanceled)
	}
	s.completed(t, g)
}

// timer answers with what has finished at the flush time, and ends the Work at the
// deadline.
func (s *Gathers) timer(t *reduction, e *almondstep.GatherTimer) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
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

// itemFinished merges the result of one item and answers if it was the last.
func (s *Gathers) itemFinished(t *reduction, e *almondstep.ItemFinished) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		return
	}
	if g.take(e) {
		s.completed(t, g)
	}
}

// completed answers the entry daemon if it waits and no item is unfinished.
func (s *Gathers) completed(t *reduction, g *gather) {
	if g.unfinished == 0 && g.waiting != notWaiting {
		s.reply(t, g)
	}
}

// reply sends what has not been answered yet.
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

// removeEnded removes the ended Works whose deadline has passed, and the oldest
// searches if there are too many.
func (s *Gathers) removeEnded(now almondstep.Instant) {
	for g := s.ended.expired(now, s.cfg.MaxOpen); g != nil; g = s.ended.expired(now, s.cfg.MaxOpen) {
		delete(s.open, g.key)
	}
}
