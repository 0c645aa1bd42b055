package gatherer

import (
	"cmp"
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
	records []held
	waiter  waiter
	ended   bool
}

// slot is one item's place.
type slot struct {
	answer   almondstep.ItemAnswer
	finished bool
	told     bool
	// place is where the item stands in the answer that told it.
	place uint32
}

// held is a record of a finished item that is not told yet.
type held struct {
	record almondstep.Record
	// from is the item's place in the Work.
	from uint32
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
	i := g.find(e.Answer.Item)
	if i < 0 || g.items[i].finished {
		return false
	}
	s := &g.items[i]
	s.finished = true
	s.answer = e.Answer
	g.unfinished--
	if e.Answer.Outcome == almondstep.ItemDone {
		g.hold(uint32(i), e.Records)
	}
	return true
}

// hold keeps an item's records for the next answer.
func (g *gather) hold(from uint32, records []almondstep.Record) {
	if g.records == nil {
		// The other items are expected to bring about as many.
		expected := min(spareOverLimit*g.work.Limit, len(records)*g.unfinished)
		g.records = make([]held, 0, len(records)+expected)
	}
	for _, r := range records {
		g.records = append(g.records, held{record: r, from: from})
	}
	if len(g.records) > spareOverLimit*g.work.Limit {
		g.records = firstInOrder(g.records, g.work.Limit)
	}
}

// find finds an item's place, or -1. Items finish much in the order in which
// they were asked, so the search begins behind the last one.
func (g *gather) find(item almondstep.Item) int {
	for n := range g.items {
		i := (g.hint + n) % len(g.items)
		if g.items[i].answer.Item == item {
			g.hint = i + 1
			return i
		}
	}
	return -1
}

// spareOverLimit is how many times the limit may be held before the records
// are trimmed, so that memory doesn't grow with the number of items.
const spareOverLimit = 2

// firstInOrder sorts records by key and keeps the first ones.
func firstInOrder(records []held, limit int) []held {
	slices.SortFunc(records, compareHeld)
	return records[:min(max(0, limit), len(records))]
}

// compareHeld orders records with the same key too, so that the order in which
// items finish doesn't show.
func compareHeld(a, b held) int {
	if n := strings.Compare(a.record.Key, b.record.Key); n != 0 {
		return n
	}
	if n := cmp.Compare(a.from, b.from); n != 0 {
		return n
	}
	return strings.Compare(a.record.Body, b.record.Body)
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
			s.place = uint32(len(items))
			items = append(items, s.answer)
		default:
			items = append(items, pending(s.answer.Item))
		}
	}
	r := g.replyWith(v, items)
	g.release(r.Answer)
	return r
}

// release moves the held records into an answer, each with its item's place
// there.
func (g *gather) release(a *almondstep.WorkAnswered) {
	first := firstInOrder(g.records, g.work.Limit)
	g.records = nil
	if len(first) == 0 {
		return
	}
	a.Records = make([]almondstep.Record, len(first))
	a.Sources = make([]uint32, len(first))
	for i, h := range first {
		a.Records[i] = h.record
		a.Sources[i] = g.items[h.from].place
	}
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
	return g.replyWith(v, items)
}

func pending(item almondstep.Item) almondstep.ItemAnswer {
	return almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemPending}
}

func (g *gather) replyWith(v *almondstep.View, items []almondstep.ItemAnswer) *almondstep.ReplyWork {
	return &almondstep.ReplyWork{Answer: &almondstep.WorkAnswered{
		ID:      g.key.query,
		Attempt: g.key.attempt,
		Owner:   v.Self(),
		Version: g.work.Version,
		Items:   items,
	}}
}

// cancelAll cancels every unfinished item.
func (g *gather) cancelAll(t *turn, reason almondstep.Reason) {
	for i := range g.items {
		g.cancelSlot(t, &g.items[i], reason)
	}
}

func (g *gather) cancelOne(t *turn, item almondstep.Item, reason almondstep.Reason) {
	if i := g.find(item); i >= 0 {
		g.cancelSlot(t, &g.items[i], reason)
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
	if g.work.Repeatable() {
		s.answer.Outcome = almondstep.ItemFailed
	}
	s.answer.Reason = reason
	t.emit(&almondstep.ItemCanceled{ID: g.key.query, Attempt: g.key.attempt, Item: s.answer.Item})
}
