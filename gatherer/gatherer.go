// Package gatherer answers, at an owner, the one message an entry daemon sends
// for all the shards that the owner's upstreams serve.
//
// It stands apart from the upstreams, which know of single items only: it
// spreads a Work over the upstreams, merges what comes back, answers early with
// what there is and later with the rest, so that an entry daemon hears from an
// owner at most twice for each attempt.
//
// A worked example: a Work of three items, to be answered after 30 ms.
//
//	WorkArrived          -> ItemArrived a, b, c; SetGatherTimer flush 30ms
//	ItemFinished a, b       (their records are merged)
//	GatherTimer flush    -> ReplyWork a and b done, c pending
//	CollectArrived          (waits)
//	ItemFinished c       -> ReplyWork c done, with the records of c alone
package gatherer

import (
	"almondstep"
)

// Config sets the limits. A zero field takes its default.
type Config struct {
	// MaxOpen bounds the Works that are being gathered.
	MaxOpen int
}

const defaultMaxOpen = 65536

// Gathers is the state of the Works that one traffic thread gathers.
type Gathers struct {
	cfg  Config
	open map[key]*gather
	// running counts the open ones that are not yet answered in full.
	running int
	// ended has the answered ones. They are kept until their deadline, so that a
	// Work that comes again doesn't run again.
	ended endedWorks
}

// key identifies a Work.
type key struct {
	query   almondstep.QueryID
	attempt almondstep.AttemptID
}

// turn is what one call of Reduce works with.
type turn struct {
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

func (t *turn) emit(e almondstep.Effect) {
	t.out = append(t.out, e)
}

// New makes the state of one traffic thread.
func New(cfg Config) *Gathers {
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	return &Gathers{cfg: cfg, open: make(map[key]*gather)}
}

// Open is the number of Works that are kept.
func (s *Gathers) Open() int { return len(s.open) }

// Reduce takes one event and appends what is to be done to out. An event of
// another partition is ignored.
func (s *Gathers) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	t := turn{now: now, view: v, out: out}
	s.forgetEnded(now)
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

// workArrived spreads a Work over its upstreams, or refuses it.
func (s *Gathers) workArrived(t *turn, w *almondstep.Work) {
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
	g.spread(t)
	if len(w.Items) == 0 {
		s.reply(t, g)
		return
	}
	g.setTimers(t)
}

// refusal says why a Work isn't taken; empty if it is.
func (s *Gathers) refusal(t *turn, w *almondstep.Work) almondstep.Reason {
	switch {
	case t.view.Unready() == string(almondstep.CodeStopping):
		return almondstep.ReasonStopping
	case w.Remaining <= 0:
		return almondstep.ReasonDeadline
	case s.running >= s.cfg.MaxOpen || len(s.ended.once) >= s.cfg.MaxOpen:
		return almondstep.ReasonShed
	default:
		return ""
	}
}

// refuse answers a Work of which nothing has begun.
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

// repeated handles a Work that has come before. While the first answer is owed
// it serves both; after it the items are pending, or were told already.
func (s *Gathers) repeated(t *turn, g *gather) {
	if g.waiter == waitsFirst {
		return
	}
	t.emit(g.retold(t.view))
}

// collectArrived lets the entry daemon wait for the rest.
func (s *Gathers) collectArrived(t *turn, e *almondstep.CollectArrived) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		t.emit(&almondstep.ReplyWork{Answer: &almondstep.WorkAnswered{
			ID: e.ID, Attempt: e.Attempt, Owner: t.view.Self(),
		}})
		return
	}
	if g.waiter == waitsFirst {
		// The first answer is still owed; it will serve this one too.
		return
	}
	g.waiter = waitsRest
	if g.unfinished == 0 {
		s.reply(t, g)
	}
}

// cancelArrived cancels the unfinished items, all or those named.
func (s *Gathers) cancelArrived(t *turn, e *almondstep.CancelArrived) {
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

// timer answers with what there is at the flush time, and ends at the deadline.
func (s *Gathers) timer(t *turn, e *almondstep.GatherTimer) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil || g.ended {
		return
	}
	switch e.What {
	case almondstep.TimerFlush:
		if g.waiter == waitsFirst {
			s.reply(t, g)
		}
	case almondstep.TimerHard:
		s.deadline(t, g)
	default:
	}
}

// deadline cancels what is unfinished, answers whoever waits and frees the rest.
func (s *Gathers) deadline(t *turn, g *gather) {
	g.cancelAll(t, almondstep.ReasonDeadline)
	if g.waiter != waitsNot {
		s.reply(t, g)
		return
	}
	s.end(g)
}

// itemFinished merges one item and answers if it was the last.
func (s *Gathers) itemFinished(t *turn, e *almondstep.ItemFinished) {
	g := s.open[key{query: e.ID, attempt: e.Attempt}]
	if g == nil {
		return
	}
	if g.take(e) {
		s.completed(t, g)
	}
}

// completed answers whoever waits if nothing is unfinished.
func (s *Gathers) completed(t *turn, g *gather) {
	if g.unfinished == 0 && g.waiter != waitsNot {
		s.reply(t, g)
	}
}

// reply answers with what has not been told yet.
func (s *Gathers) reply(t *turn, g *gather) {
	t.emit(g.answer(t.view))
	g.waiter = waitsNot
	if g.unfinished == 0 {
		s.end(g)
	}
}

// end keeps only as much as is needed to know the Work again.
func (s *Gathers) end(g *gather) {
	if g.ended {
		return
	}
	g.ended = true
	g.records = nil
	s.running--
	s.ended.add(g)
}

// forgetEnded frees the ended Works whose deadline has passed, and the oldest
// searches if there are too many.
func (s *Gathers) forgetEnded(now almondstep.Instant) {
	for g := s.ended.expired(now, s.cfg.MaxOpen); g != nil; g = s.ended.expired(now, s.cfg.MaxOpen) {
		delete(s.open, g.key)
	}
}
