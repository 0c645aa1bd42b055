package gatherer

import (
	"slices"
	"strings"
	"time"

	"almondstep"
)

// waiter says what the entry daemon waits for.
type waiter uint8

const (
	// waitsFirst waits for the answer to the Work.
	waitsFirst waiter = iota
	// waitsNot has an answer and has not asked for the rest.
	waitsNot
	// waitsRest waits for the answer to a Collect.
	waitsRest
)

// gather is one Work. Each item is told done, with its records among those of
// the answer, in exactly one answer.
type gather struct {
	key      key
	work     *almondstep.Work
	deadline almondstep.Instant

	items      []slot
	unfinished int
	// hint is where the item that finishes next is looked for first.
	hint    int
	records []almondstep.Record
	waiter  waiter
	ended   bool
}

// slot is one item's place.
type slot struct {
	answer   almondstep.ItemAnswer
	finished bool
	told     bool
}

func newGather(k key, w *almondstep.Work, now almondstep.Instant) *gather {
	g := &gather{
		key:        k,
		work:       w,
		deadline:   now.Add(w.Remaining),
		items:      make([]slot, len(w.Items)),
		unfinished: len(w.Items),
	}
	for i, item := range w.Items {
		g.items[i].answer.Item = item
	}
	return g
}

// spread hands each item to its upstream.
func (g *gather) spread(t *turn) {
	arrivals := make([]almondstep.ItemArrived, len(g.work.Items))
	for i, item := range g.work.Items {
		arrivals[i] = almondstep.ItemArrived{Item: item, Work: g.work, Deadline: g.deadline}
		t.emit(&arrivals[i])
	}
}

// setTimers asks for the flush, if it comes before the deadline, and for the
// deadline.
func (g *gather) setTimers(t *turn) {
	w := g.work
	if w.FlushAfter > 0 && w.FlushAfter < w.Remaining {
		g.setTimer(t, almondstep.TimerFlush, w.FlushAfter)
	}
	g.setTimer(t, almondstep.TimerHard, w.Remaining)
}

func (g *gather) setTimer(t *turn, what almondstep.TimerKind, after time.Duration) {
	t.emit(&almondstep.SetGatherTimer{
		ID:      g.key.query,
		Attempt: g.key.attempt,
		What:    what,
		After:   after,
	})
}

// take notes that an item has finished. It returns false if the item is not of
// this Work or has finished before.
func (g *gather) take(e *almondstep.ItemFinished) bool {
	s := g.find(e.Answer.Item)
	if s == nil || s.finished {
		return false
	}
	s.finished = true
	s.answer = e.Answer
	g.unfinished--
	if e.Answer.Outcome == almondstep.ItemDone && g.work.Limit > 0 {
		g.records = append(g.records, e.Records...)
		g.trim()
	}
	return true
}

// find finds an item's place. Items finish much in the order in which they
// were asked, so the search begins behind the last one.
func (g *gather) find(item almondstep.Item) *slot {
	for n := range g.items {
		i := (g.hint + n) % len(g.items)
		if g.items[i].answer.Item == item {
			g.hint = i + 1
			return &g.items[i]
		}
	}
	return nil
}

// spareOverLimit is how many times the limit may be held before it is trimmed.
const spareOverLimit = 2

// trim keeps the first Limit records in key order once there are many, so that
// memory doesn't grow with the number of items.
func (g *gather) trim() {
	if len(g.records) > spareOverLimit*g.work.Limit {
		g.records = firstInOrder(g.records, g.work.Limit)
	}
}

// firstInOrder sorts records by key and keeps the first ones.
func firstInOrder(records []almondstep.Record, limit int) []almondstep.Record {
	slices.SortStableFunc(records, func(a, b almondstep.Record) int {
		if n := strings.Compare(a.Key, b.Key); n != 0 {
			return n
		}
		return strings.Compare(a.Body, b.Body)
	})
	return records[:min(limit, len(records))]
}

// answer tells all that is finished and not yet told, and what is pending.
func (g *gather) answer(v *almondstep.View) *almondstep.ReplyWork {
	items := make([]almondstep.ItemAnswer, 0, len(g.items))
	for i := range g.items {
		s := &g.items[i]
		switch {
		case s.told:
			continue
		case s.finished:
			s.told = true
			items = append(items, s.answer)
		default:
			items = append(items, pending(s.answer.Item))
		}
	}
	records := firstInOrder(g.records, g.work.Limit)
	g.records = nil
	return g.replyWith(v, items, records)
}

// retold answers a Work that has come again after it was answered. Items whose
// records were in the first answer may have been lost with it.
func (g *gather) retold(v *almondstep.View) *almondstep.ReplyWork {
	items := make([]almondstep.ItemAnswer, 0, len(g.items))
	for i := range g.items {
		s := &g.items[i]
		a := s.answer
		if !s.told {
			a = pending(a.Item)
		}
		if s.told && a.Outcome == almondstep.ItemDone {
			a = almondstep.ItemAnswer{Item: a.Item, Outcome: almondstep.ItemUnknown, Reason: almondstep.ReasonFailed}
		}
		items = append(items, a)
	}
	return g.replyWith(v, items, nil)
}

func pending(item almondstep.Item) almondstep.ItemAnswer {
	return almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemPending}
}

func (g *gather) replyWith(v *almondstep.View, items []almondstep.ItemAnswer, records []almondstep.Record) *almondstep.ReplyWork {
	return &almondstep.ReplyWork{Answer: &almondstep.WorkAnswered{
		ID:      g.key.query,
		Attempt: g.key.attempt,
		Owner:   v.Self(),
		Version: g.work.Version,
		Items:   items,
		Records: records,
	}}
}

// cancelAll cancels every unfinished item.
func (g *gather) cancelAll(t *turn, reason almondstep.Reason) {
	for i := range g.items {
		g.cancelSlot(t, &g.items[i], reason)
	}
}

func (g *gather) cancelOne(t *turn, item almondstep.Item, reason almondstep.Reason) {
	if s := g.find(item); s != nil {
		g.cancelSlot(t, s, reason)
	}
}

// cancelSlot ends an unfinished item here; what its upstream says later is
// ignored. It may have run, which matters only if it isn't idempotent.
func (g *gather) cancelSlot(t *turn, s *slot, reason almondstep.Reason) {
	if s.finished {
		return
	}
	s.finished = true
	g.unfinished--
	s.answer.Outcome = almondstep.ItemUnknown
	if g.work.Idempotent {
		s.answer.Outcome = almondstep.ItemFailed
	}
	s.answer.Reason = reason
	t.emit(&almondstep.ItemCanceled{ID: g.key.query, Attempt: g.key.attempt, Item: s.answer.Item})
}
