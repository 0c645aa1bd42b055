package gatherer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"almondstep"
)

// waitState is the answer that the entry daemon waits for, if any.
type waitState uint8

const (
	// awaitingFirst: it waits for the answer to the Work.
	awaitingFirst waitState = iota
	// notWaiting: it has an answer and has not requested the rest.
	notWaiting
	// awaitingRest: it waits for the answer to a Collect.
	awaitingRest
)

// gather is the state of one Work. The records of a finished item are in exactly one
// answer, the first one that reports it as finished.
type gather struct {
	key      key
	work     *almondstep.Work
	deadline almondstep.Instant

	items      []itemState
	unfinished int
	// nextIndex is the index at which findItem starts its search.
	nextIndex int
	// records are those of the finished items that no answer contains yet.
	records []heldRecord
	waiting waitState
	ended   bool
}

// itemState is the state of one item.
type itemState struct {
	answer   almondstep.ItemAnswer
	finished bool
	// answered is set if an answer has reported the item as finished.
	answered bool
	// answerIndex is the item's index in the answer that contained it.
	answerIndex uint32
}

// heldRecord is a record of a finished item that no answer contains yet.
type heldRecord struct {
	record almondstep.Record
	// itemIndex is the item's index in the Work.
	itemIndex uint32
}

func newGather(k key, w *almondstep.Work, now almondstep.Instant) *gather {
	g := &gather{
		key:        k,
		work:       w,
		deadline:   now.Add(w.Remaining),
		items:      make([]itemState, len(w.Items)),
		unfinished: len(w.Items),
	}
	for i, item := range w.Items {
		g.items[i].answer.Item = item
	}
	return g
}

// dispatch adds each item to its upstream's queue.
func (g *gather) dispatch(t *reduction) {
	arrivals := make([]almondstep.ItemArrived, len(g.work.Items))
	for i, item := range g.work.Items {
		arrivals[i] = almondstep.ItemArrived{Item: item, Work: g.work, Deadline: g.deadline}
		t.emit(&arrivals[i])
	}
}

// setTimers sets the timers for the flush, if it comes before the deadline, and for
// the deadline.
func (g *gather) setTimers(t *reduction) {
	w := g.work
	if w.FlushAfter > 0 && w.FlushAfter < w.Remaining {
		g.setTimer(t, almondstep.TimerFlush, w.FlushAfter)
	}
	g.setTimer(t, almondstep.TimerHard, w.Remaining)
}

func (g *gather) setTimer(t *reduction, purpose almondstep.TimerKind, after time.Duration) {
	t.emit(&almondstep.SetGatherTimer{
		ID:      g.key.query,
		Attempt: g.key.attempt,
		Purpose: purpose,
		After:   after,
	})
}

// finishItem records that an item has finished. It returns false if the item is not part
// of this Work or had already finished.
func (g *gather) finishItem(e *almondstep.ItemFinished) bool {
	i := g.findItem(e.Answer.Item)
	if i < 0 || g.items[i].finished {
		return false
	}
	s := &g.items[i]
	s.finished = true
	s.answer = e.Answer
	g.unfinished--
	if e.Answer.Outcome == almondstep.ItemDone {
		g.holdRecords(uint32(i), e.Records)
	}
	return true
}

// holdRecords stores an item's records for the next answer.
func (g *gather) holdRecords(itemIndex uint32, records []almondstep.Record) {
	if g.records == nil {
		// The other items are expected to have about as many records each.
		expected := min(maxHeldFactor*g.work.Limit, len(records)*g.unfinished)
		g.records = make([]heldRecord, 0, len(records)+expected)
	}
	for _, r := range records {
		g.records = append(g.records, heldRecord{record: r, itemIndex: itemIndex})
	}
	if len(g.records) > maxHeldFactor*g.work.Limit {
		g.records = firstInOrder(g.records, g.work.Limit)
	}
}

// findItem returns an item's index, or -1. Items finish roughly in the order in which
// they were sent, so the search starts after the last one found.
func (g *gather) findItem(item almondstep.Item) int {
	for n := range g.items {
		i := (g.nextIndex + n) % len(g.items)
		if g.items[i].answer.Item == item {
			g.nextIndex = i + 1
			return i
		}
	}
	return -1
}

// maxHeldFactor times the Work's limit is the number of held records above which they
// are trimmed to the limit, so that memory doesn't grow with the number of items.
const maxHeldFactor = 2

// firstInOrder sorts records by key and returns the first ones, up to limit.
func firstInOrder(records []heldRecord, limit int) []heldRecord {
	slices.SortFunc(records, compareHeldRecords)
	return records[:min(max(0, limit), len(records))]
}

// compareHeldRecords orders records with the same key too, so that the result doesn't
// depend on the order in which items finish.
func compareHeldRecords(a, b heldRecord) int {
	if n := strings.Compare(a.record.Key, b.record.Key); n != 0 {
		return n
	}
	if n := cmp.Compare(a.itemIndex, b.itemIndex); n != 0 {
		return n
	}
	return strings.Compare(a.record.Body, b.record.Body)
}

// answer returns an answer with the finished items that no answer contains yet, and
// the pending ones.
func (g *gather) answer(v *almondstep.View) *almondstep.ReplyWork {
	items := make([]almondstep.ItemAnswer, 0, len(g.items))
	for i := range g.items {
		s := &g.items[i]
		switch {
		case s.answered:
			continue
		case s.finished:
			s.answered = true
			s.answerIndex = uint32(len(items))
			items = append(items, s.answer)
		default:
			items = append(items, pending(s.answer.Item))
		}
	}
	r := g.replyWith(v, items)
	g.moveRecords(r.Answer)
	return r
}

// moveRecords moves the held records into an answer, each with the index of its item
// there.
func (g *gather) moveRecords(a *almondstep.WorkAnswered) {
	first := firstInOrder(g.records, g.work.Limit)
	g.records = nil
	if len(first) == 0 {
		return
	}
	a.Records = make([]almondstep.Record, len(first))
	a.Sources = make([]uint32, len(first))
	for i, h := range first {
		a.Records[i] = h.record
		a.Sources[i] = g.items[h.itemIndex].answerIndex
	}
}

// answerRepeated answers a Work that was received again after its first answer. Items
// that an earlier answer reported as done are reported as unknown, since that answer
// and their records may have been lost. All items not yet answered are reported as
// pending, for a Collect.
func (g *gather) answerRepeated(v *almondstep.View) *almondstep.ReplyWork {
	items := make([]almondstep.ItemAnswer, 0, len(g.items))
	for i := range g.items {
		s := &g.items[i]
		a := s.answer
		if !s.answered {
			a = pending(a.Item)
		}
		if s.answered && a.Outcome == almondstep.ItemDone {
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
func (g *gather) cancelAll(t *reduction, reason almondstep.Reason) {
	for i := range g.items {
		g.cancelItem(t, &g.items[i], reason)
	}
}

func (g *gather) cancelOne(t *reduction, item almondstep.Item, reason almondstep.Reason) {
	if i := g.findItem(item); i >= 0 {
		g.cancelItem(t, &g.items[i], reason)
	}
}

// cancelItem marks an unfinished item as finished without a result; a later result of
// its upstream is ignored. The item may have run, so its outcome is unknown unless the
// Work is repeatable.
func (g *gather) cancelItem(t *reduction, s *itemState, reason almondstep.Reason) {
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
