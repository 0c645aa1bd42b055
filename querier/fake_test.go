package querier_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/merger"
	"almondstep/querier"
)

// fake stands for the runner and the owners of a session. It decides what
// truly happens to each item and checks every effect against that.
type fake struct {
	t        *testing.T
	r        *random
	q        *querier.Queries
	views    []*almondstep.View
	v        *almondstep.View
	now      almondstep.Instant
	queries  map[almondstep.QueryID]*queryTruth
	ids      []almondstep.QueryID
	sent     []*sentWork
	past     []almondstep.Event
	timers   []*almondstep.SetQueryTimer
	claims   []almondstep.QueryID
	outcomes map[almondstep.Outcome]int
	// log takes the effects down, if it is set.
	log *json.Encoder
}

// queryTruth is what truly happened to a query.
type queryTruth struct {
	once    bool
	gone    bool
	ended   bool
	claimed bool
	keyed   bool
	// begun counts items that began; open those that may still begin.
	begun int
	open  int
	sent  int
	limit int
	// asked has the shards asked for, at each version.
	asked map[almondstep.Version]map[almondstep.Shard]bool
}

// sentWork is a Work on its way or at its owner.
type sentWork struct {
	owner almondstep.DaemonID
	work  *almondstep.Work
	// fates has for each item what will be told of it; told says that it was.
	fates    []almondstep.ItemOutcome
	told     []bool
	answered bool
	waiting  bool
}

func (f *fake) arrive(id almondstep.QueryID) {
	truth := &queryTruth{limit: 1 + f.r.below(8), asked: map[almondstep.Version]map[almondstep.Shard]bool{}}
	f.queries[id] = truth
	f.ids = append(f.ids, id)
	class := []almondstep.ClassName{"urgent", "routine"}[f.r.below(2)]
	fingerprint := almondstep.Fingerprint(f.r.below(3))
	if f.r.oneIn(3) {
		e := &almondstep.RunArrived{
			ID: id, Scheme: "plant", Name: "desk", Tenant: "growers", Class: class,
			Operation: "enter", RecordKey: fmt.Sprint(f.r.below(50)), Fingerprint: fingerprint,
		}
		truth.once = !f.r.oneIn(4)
		if !truth.once {
			e.Operation = "touch"
		}
		truth.limit = 1
		if f.r.oneIn(2) {
			e.Key = "key"
			truth.keyed = truth.once
		}
		f.feed(e)
		return
	}
	f.feed(&almondstep.SearchArrived{
		ID: id, Name: "desk", Tenant: "growers", Class: class, Text: "x", Limit: truth.limit, Fingerprint: fingerprint,
	})
}

// step makes one random thing happen.
func (f *fake) step() {
	f.now = f.now.Add(time.Duration(f.r.below(6)) * time.Millisecond)
	switch f.r.below(10) {
	case 0:
		f.v = f.views[f.r.below(len(f.views))]
		f.feed(&almondstep.ViewChanged{})
	case 1:
		f.fireTimer()
	case 2:
		f.repeatPast()
	case 3:
		f.answerClaim()
	default:
		f.ownerActs()
	}
	if f.r.oneIn(60) {
		id := f.ids[f.r.below(len(f.ids))]
		f.queries[id].gone = f.queries[id].gone || !f.queries[id].ended
		f.feed(&almondstep.CallerGone{ID: id})
	}
}

// end lets every deadline pass; after that every query must have ended.
func (f *fake) end() {
	f.now = f.now.Add(time.Second)
	for _, id := range f.ids {
		f.feed(&almondstep.QueryTimer{ID: id, What: almondstep.TimerHard})
		truth := f.queries[id]
		if truth.ended == truth.gone {
			f.t.Errorf("query %d: ended %v, caller gone %v", id, truth.ended, truth.gone)
		}
	}
	if got, want := f.q.Open(), 0; got != want {
		f.t.Errorf("%d queries are open, want %d", got, want)
	}
	for range 5 {
		f.ownerActs()
	}
}

func (f *fake) fireTimer() {
	if len(f.timers) == 0 {
		return
	}
	i := f.r.below(len(f.timers))
	s := f.timers[i]
	f.timers[i] = f.timers[len(f.timers)-1]
	f.timers = f.timers[:len(f.timers)-1]
	f.feed(&almondstep.QueryTimer{ID: s.ID, What: s.What, Attempt: s.Attempt})
}

// repeatPast delivers an earlier answer again, perhaps bent so that it was
// never asked for.
func (f *fake) repeatPast() {
	if len(f.past) == 0 {
		return
	}
	e := f.past[f.r.below(len(f.past))]
	a, ok := e.(*almondstep.WorkAnswered)
	if !ok || !f.r.oneIn(2) {
		// A refusal is about the Work it came for; its repetition adds nothing,
		// and answers are dropped by item.
		f.feed(e)
		return
	}
	bent := *a
	switch f.r.below(3) {
	case 0:
		bent.Owner = "stranger"
	case 1:
		bent.Attempt += 7
	default:
		bent.ID += 100
	}
	f.feed(&bent)
}

func (f *fake) answerClaim() {
	if len(f.claims) == 0 {
		return
	}
	id := f.claims[0]
	f.claims = f.claims[1:]
	outcome := almondstep.ClaimOutcome(f.r.below(3))
	f.queries[id].claimed = outcome == almondstep.ClaimGranted
	f.feed(&almondstep.ClaimAnswered{ID: id, Outcome: outcome})
}

// ownerActs lets one owner answer, fail or tell the rest.
func (f *fake) ownerActs() {
	if len(f.sent) == 0 {
		return
	}
	w := f.sent[f.r.below(len(f.sent))]
	if f.r.oneIn(40) {
		f.forge(w)
	}
	switch {
	case w.answered && !w.waiting:
		return
	case !w.answered && f.r.oneIn(8):
		f.failWork(w)
	case w.answered && f.r.oneIn(6):
		// The Collect is lost, or refused by a daemon that has started anew.
		w.waiting = false
		f.feed(&almondstep.WorkFailed{ID: w.work.Query, Attempt: w.work.Attempt, Owner: w.owner, NotRun: f.r.oneIn(2)})
	default:
		f.answerWork(w)
	}
}

// failWork fails a whole Work, before or after its items began.
func (f *fake) failWork(w *sentWork) {
	w.answered = true
	notRun := f.r.oneIn(2)
	truth := f.queries[w.work.Query]
	for i := range w.fates {
		w.told[i] = true
		truth.open--
		if !notRun {
			truth.begun++
		}
	}
	e := &almondstep.WorkFailed{ID: w.work.Query, Attempt: w.work.Attempt, Owner: w.owner, NotRun: notRun}
	f.past = append(f.past, e)
	f.feed(e)
}

// answerWork tells the fates of some items and calls the rest pending.
func (f *fake) answerWork(w *sentWork) {
	a := &almondstep.WorkAnswered{ID: w.work.Query, Attempt: w.work.Attempt, Owner: w.owner, Version: w.work.Version}
	truth := f.queries[w.work.Query]
	withSources := !f.r.oneIn(3)
	for i, item := range w.work.Items {
		if w.told[i] {
			continue
		}
		ia := almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemPending}
		if !f.r.oneIn(4) {
			f.tell(w, i, &ia, truth)
		}
		if ia.Outcome == almondstep.ItemDone {
			ia.Total = 1
			a.Records = append(a.Records, recordOf(item.Shard, w.work.Version))
			a.Sources = append(a.Sources, uint32(len(a.Items)))
		}
		a.Items = append(a.Items, ia)
	}
	if f.r.oneIn(20) {
		repeatItem(a, f.r.below(len(a.Items)+1)-1, f.r.oneIn(2))
	}
	if !withSources {
		a.Sources = nil
	}
	truncate(a, w.work.Limit)
	if f.r.oneIn(40) {
		a.Version++
	}
	w.answered = true
	w.waiting = false
	f.past = append(f.past, a)
	f.feed(a)
}

// truncate keeps the first records of an answer, as an owner does.
func truncate(a *almondstep.WorkAnswered, limit int) {
	order := make([]int, len(a.Records))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return merger.Compare(a.Records[i], a.Records[j]) })
	order = order[:min(limit, len(order))]
	records := make([]almondstep.Record, len(order))
	sources := make([]uint32, len(order))
	for i, from := range order {
		records[i] = a.Records[from]
		if a.Sources != nil {
			sources[i] = a.Sources[from]
		}
	}
	if a.Sources != nil {
		a.Sources = sources
	}
	a.Records = records
}

// repeatItem lists an item of an answer twice, the second time perhaps as done.
func repeatItem(a *almondstep.WorkAnswered, i int, done bool) {
	if i < 0 {
		return
	}
	repeated := a.Items[i]
	if done {
		repeated.Outcome = almondstep.ItemDone
		repeated.Total = 1
	}
	a.Items = append(a.Items, repeated)
	if repeated.Outcome == almondstep.ItemDone {
		record := recordOf(a.Items[i].Item.Shard, a.Version)
		a.Records = append(a.Records, record)
		a.Sources = append(a.Sources, uint32(len(a.Items)-1))
	}
}

// forge delivers an answer to a Work from a daemon that was never asked.
func (f *fake) forge(w *sentWork) {
	a := &almondstep.WorkAnswered{ID: w.work.Query, Attempt: w.work.Attempt, Owner: "stranger", Version: w.work.Version}
	for i, item := range w.work.Items {
		a.Items = append(a.Items, almondstep.ItemAnswer{Item: item, Total: 1})
		a.Records = append(a.Records, almondstep.Record{Key: item.Shard.String(), Body: "forged"})
		a.Sources = append(a.Sources, uint32(i))
	}
	f.feed(a)
}

func (f *fake) tell(w *sentWork, i int, ia *almondstep.ItemAnswer, truth *queryTruth) {
	w.told[i] = true
	truth.open--
	ia.Outcome = w.fates[i]
	if ia.Outcome == almondstep.ItemNotRun {
		ia.Reason = []almondstep.Reason{
			almondstep.ReasonShed, almondstep.ReasonNotOwner, almondstep.ReasonLeaving, almondstep.ReasonCold,
		}[f.r.below(4)]
		return
	}
	truth.begun++
}

// recordOf is the one record of each shard; it names shard and version, so
// that a doubled or a foreign one shows.
func recordOf(s almondstep.Shard, v almondstep.Version) almondstep.Record {
	return almondstep.Record{Key: s.String(), Body: fmt.Sprint(v)}
}
