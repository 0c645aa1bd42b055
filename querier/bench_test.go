package querier_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

const (
	benchShards = 1_200
	// benchOwners is the number of daemons of a zone at the target size.
	benchOwners = 122
)

// BenchmarkSubRequest measures the cost of one sub-request of a search over 1,200
// shards: its share of planning, sending, and merging the answers, with other
// queries open.
func BenchmarkSubRequest(b *testing.B) {
	for _, open := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			benchmark(b, open, answerAll)
		})
	}
}

// BenchmarkHedgedSubRequest measures the same where every owner's first answer
// has one shard pending, which is collected and, within the budget, hedged.
func BenchmarkHedgedSubRequest(b *testing.B) {
	for _, open := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			benchmark(b, open, answerLate)
		})
	}
}

// benchmark runs queries one after the other until b.N sub-requests are done. Other
// queries stay open, so that there are as many open queries as given.
func benchmark(b *testing.B, open int, answer func(a *ownerStub, w *almondstep.SendWork, buffer []almondstep.Effect) []almondstep.Effect) {
	v := deskFleet(benchShards, benchOwners, 2).view()
	q := querier.New(querier.Config{MaxOpen: 2 * open})
	a := &ownerStub{q: q, v: v}
	// One query gives the request a good reputation, so that the others need no
	// canary and request all their shards.
	a.runQuery(b, 1, answer)
	for id := range open - 1 {
		q.Reduce(0, v, benchSearch(almondstep.QueryID(id+2)), nil)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchShards {
		a.runQuery(b, 1, answer)
	}
}

// benchSearch returns a search with a limit of 100.
func benchSearch(id almondstep.QueryID) *almondstep.SearchArrived {
	return &almondstep.SearchArrived{
		ID: id, Name: "desk", Tenant: "growers", Class: "urgent", Text: "x", Limit: 100, Fingerprint: 5,
	}
}

// ownerStub answers Works in place of the owners. It reuses its memory, so that
// the benchmark counts the allocations of the querier alone.
type ownerStub struct {
	q       *querier.Queries
	v       *almondstep.View
	now     almondstep.Instant
	event   almondstep.WorkAnswered
	records []almondstep.Record
	sends   []*almondstep.SendWork
	effects []almondstep.Effect
	done    bool
}

// runQuery runs one query from its arrival to its answer.
func (a *ownerStub) runQuery(b *testing.B, id almondstep.QueryID, answer func(*ownerStub, *almondstep.SendWork, []almondstep.Effect) []almondstep.Effect) {
	a.now = a.now.Add(time.Millisecond)
	a.done = false
	a.keepWorks(a.q.Reduce(a.now, a.v, benchSearch(id), a.effects[:0]))
	for i := 0; i < len(a.sends); i++ {
		a.keepWorks(answer(a, a.sends[i], a.effects[:0]))
	}
	a.sends = a.sends[:0]
	if !a.done {
		b.Fatal("no answer")
	}
}

// keepWorks keeps the Works among the effects, and whether the query was answered.
func (a *ownerStub) keepWorks(effects []almondstep.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *almondstep.SendWork:
			a.sends = append(a.sends, e)
		case *almondstep.ReplyCaller:
			a.done = true
		}
	}
	a.effects = effects
}

// fillAnswer builds the answer to a Work, with one record for each of the items. The
// first items are pending, as many as given.
func (a *ownerStub) fillAnswer(s *almondstep.SendWork, pending int) {
	items := a.event.Items[:0]
	a.records = a.records[:0]
	for i, item := range s.Work.Items {
		ia := almondstep.ItemAnswer{Item: item, Total: 1, Took: 2 * time.Millisecond}
		if i < pending {
			ia = almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemPending}
		}
		items = append(items, ia)
		a.records = append(a.records, almondstep.Record{Key: "lot"})
	}
	a.event = almondstep.WorkAnswered{
		ID: s.Work.Query, Attempt: s.Work.Attempt, Owner: s.Owner, Version: s.Work.Version, Items: items, Records: a.records,
	}
}

// answerAll answers a Work with all its items done.
func answerAll(a *ownerStub, s *almondstep.SendWork, out []almondstep.Effect) []almondstep.Effect {
	a.fillAnswer(s, 0)
	return a.q.Reduce(a.now, a.v, &a.event, out)
}

// answerLate answers a Work with its first item pending, then with that item done. It
// answers hedges like answerAll.
func answerLate(a *ownerStub, s *almondstep.SendWork, out []almondstep.Effect) []almondstep.Effect {
	if s.Work.Hedge {
		return answerAll(a, s, out)
	}
	a.fillAnswer(s, 1)
	out = a.q.Reduce(a.now, a.v, &a.event, out)
	a.fillAnswer(s, 0)
	a.event.Items = a.event.Items[:1]
	a.event.Records = a.event.Records[:1]
	a.keepWorks(out)
	return a.q.Reduce(a.now, a.v, &a.event, out[:0])
}
