package gatherer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/gatherer"
)

const (
	historyCount      = 20_000
	shortHistoryCount = 2_000
)

// For random sequences of finished items, cancels, collects, repeated Works and
// timers, each item is reported as done at most once, with exactly its records, and
// not after it was canceled; no finished item is canceled twice or after it was
// reported as done; a waiting entry daemon is answered by the deadline at the latest;
// nothing is kept after the deadline.
func TestPropertyRandomHistories(t *testing.T) {
	n := uint64(historyCount)
	if testing.Short() {
		n = shortHistoryCount
	}
	for seed := range n {
		h := &history{random: splitmix(seed), s: gatherer.New(gatherer.Config{}), doneCount: map[uint32]int{}}
		h.run()
		if h.failure != "" {
			t.Fatalf("seed %d: %s", seed, h.failure)
		}
	}
}

type history struct {
	random    splitmix
	s         *gatherer.Gathers
	now       almondstep.Instant
	items     uint32
	timers    []*almondstep.SetGatherTimer
	doneCount map[uint32]int
	canceled  []uint32
	// waiting is set while the entry daemon waits for an answer. replies is the number
	// of answers.
	waiting bool
	replies int
	failure string
}

func (h *history) fail(format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf(format, args...)
	}
}

func (h *history) run() {
	h.items = uint32(1 + h.random.below(5))
	var all []uint32
	for i := range h.items {
		all = append(all, i+1)
	}
	w := work(all...)
	w.Limit = 100
	h.waiting = true
	h.reduce(&almondstep.WorkArrived{Work: w})
	for range 20 {
		// All events come before the deadline, until which a Work is kept.
		h.now = h.now.Add(time.Duration(h.random.below(5)) * time.Millisecond)
		h.fireTimers()
		h.step(w)
	}
	h.now = almondstep.Instant(w.Remaining)
	h.fireTimers()
	if h.waiting {
		h.fail("the entry daemon still waits after the deadline")
	}
	h.reduce(&almondstep.GatherTimer{})
	if got := h.s.Open(); got != 0 {
		h.fail("%d Works kept after the deadline", got)
	}
}

func (h *history) step(w *almondstep.Work) {
	i := uint32(1 + h.random.below(int(h.items)))
	switch p := h.random.below(100); {
	case p < 70:
		h.finish(i)
	case p < 80:
		h.reduce(&almondstep.CancelArrived{ID: 1, Attempt: 1, Items: []almondstep.Item{item(i)}})
	case p < 82:
		h.reduce(&almondstep.CancelArrived{ID: 1, Attempt: 1})
	case p < 90:
		if h.replies > 0 {
			h.waiting = true
			h.reduce(collect())
		}
	default:
		h.reduce(&almondstep.WorkArrived{Work: w})
	}
}

// finish delivers the result of an item, which may have finished before.
func (h *history) finish(i uint32) {
	f := &almondstep.ItemFinished{ID: 1, Attempt: 1, Answer: almondstep.ItemAnswer{Item: item(i), Total: int(i)}}
	for r := range i {
		f.Records = append(f.Records, almondstep.Record{Key: fmt.Sprintf("%d-%d", r, i)})
	}
	if h.random.below(5) == 0 {
		f.Answer.Outcome = almondstep.ItemFailed
		f.Records = nil
	}
	h.reduce(f)
}

func (h *history) fireTimers() {
	due := h.timers
	h.timers = nil
	for _, f := range due {
		if almondstep.Instant(f.After) <= h.now {
			h.reduce(&almondstep.GatherTimer{ID: f.ID, Attempt: f.Attempt, Purpose: f.Purpose})
			continue
		}
		h.timers = append(h.timers, f)
	}
}

func (h *history) reduce(e almondstep.Event) {
	for _, f := range h.s.Reduce(h.now, view, e, nil) {
		switch f := f.(type) {
		case *almondstep.SetGatherTimer:
			h.timers = append(h.timers, f)
		case *almondstep.ItemCanceled:
			i := f.Item.Shard.Index()
			if slices.Contains(h.canceled, i) || h.doneCount[i] > 0 {
				h.fail("item %d canceled after its end", i)
			}
			h.canceled = append(h.canceled, i)
		case *almondstep.ReplyWork:
			h.waiting = false
			h.replies++
			h.check(f.Answer)
		}
	}
}

// check verifies one answer's items and records.
func (h *history) check(a *almondstep.WorkAnswered) {
	seen := map[uint32]int{}
	for i, r := range a.Records {
		seen[a.Items[a.Sources[i]].Item.Shard.Index()]++
		if i > 0 && r.Key < a.Records[i-1].Key {
			h.fail("records out of order")
		}
	}
	for _, it := range a.Items {
		i := it.Item.Shard.Index()
		done := it.Outcome == almondstep.ItemDone
		if done {
			h.doneCount[i]++
		}
		if done && (h.doneCount[i] > 1 || seen[i] != it.Total) {
			h.fail("item %d answered as done %d times, with %d of %d records", i, h.doneCount[i], seen[i], it.Total)
		}
		if !done && seen[i] > 0 {
			h.fail("item %d is not done and has records", i)
		}
		if done && slices.Contains(h.canceled, i) {
			h.fail("item %d answered as done after it was canceled", i)
		}
	}
}

type splitmix uint64

func (s *splitmix) below(n int) int {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

// BenchmarkWork measures a Work of eight items with five records each, which is what
// an owner handles for one query in a large deployment.
func BenchmarkWork(b *testing.B) {
	s := gatherer.New(gatherer.Config{})
	w := work(1, 2, 3, 4, 5, 6, 7, 8)
	w.Limit = 20
	finishes := make([]almondstep.ItemFinished, len(w.Items))
	for i, it := range w.Items {
		finishes[i] = almondstep.ItemFinished{Attempt: 1, Answer: almondstep.ItemAnswer{Item: it, Total: 5}}
		for r := range 5 {
			finishes[i].Records = append(finishes[i].Records, almondstep.Record{Key: fmt.Sprintf("lot-%d-%d", r, i)})
		}
	}
	out := make([]almondstep.Effect, 0, 32)
	now := almondstep.Instant(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(30 * time.Microsecond)
		one := *w
		one.Query = almondstep.QueryID(i)
		out = s.Reduce(now, view, &almondstep.WorkArrived{Work: &one}, out[:0])
		for j := range finishes {
			finishes[j].ID = one.Query
			out = s.Reduce(now, view, &finishes[j], out[:0])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(w.Items)), "ns/item")
}
