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

// fake replaces the runner and the owners of a session. It decides the actual
// outcome of each item and checks every effect against that.
type fake struct {
	t         *testing.T
	r         *random
	q         *querier.Queries
	views     []*almondstep.View
	v         *almondstep.View
	now       almondstep.Instant
	queries   map[almondstep.QueryID]*queryTruth
	ids       []almondstep.QueryID
	sent      []*sentWork
	delivered []almondstep.Event
	timers    []*almondstep.SetQueryTimer
	claims    []almondstep.QueryID
	outcomes  map[almondstep.Outcome]int
	// log records the effects, if set.
	log *json.Encoder
}

// queryTruth is what actually happened to a query.
type queryTruth struct {
	atMostOnce bool
	gone       bool
	ended      bool
	claimed    bool
	keyed      bool
	// begun counts items that began; open those that may still begin.
	begun int
	open  int
	sent  int
	limit int
	// requested has the shards requested at each version.
	requested map[almondstep.Version]map[almondstep.Shard]bool
}

// sentWork is a Work sent to an owner.
type sentWork struct {
	owner almondstep.DaemonID
	work  *almondstep.Work
	// outcomes has the outcome of each item, reported whether it has been sent in an
	// answer.
	outcomes []almondstep.ItemOutcome
	reported []bool
	answered bool
	// collecting is set while a Collect is unanswered.
	collecting bool
}

// arrive starts a random query, a search or another operation.
func (f *fake) arrive(id almondstep.QueryID) {
	truth := &queryTruth{limit: 1 + f.r.intN(8), requested: map[almondstep.Version]map[almondstep.Shard]bool{}}
	f.queries[id] = truth
	f.ids = append(f.ids, id)
	class := []almondstep.ClassName{"urgent", "routine"}[f.r.intN(2)]
	fingerprint := almondstep.Fingerprint(f.r.intN(3))
	if f.r.oneIn(3) {
		e := &almondstep.RunArrived{
			ID: id, Scheme: "plant", Name: "desk", Tenant: "growers", Class: class,
			Operation: "enter", RecordKey: fmt.Sprint(f.r.intN(50)), Fingerprint: fingerprint,
		}
		truth.atMostOnce = !f.r.oneIn(4)
		if !truth.atMostOnce {
			e.Operation = "touch"
		}
		truth.limit = 1
		if f.r.oneIn(2) {
			e.Key = "key"
			truth.keyed = truth.atMostOnce
		}
		f.feed(e)
		return
	}
	f.feed(&almondstep.SearchArrived{
		ID: id, Name: "desk", Tenant: "growers", Class: class, Text: "x", Limit: truth.limit, Fingerprint: fingerprint,
	})
}

// step performs one random action.
func (f *fake) step() {
	f.now = f.now.Add(time.Duration(f.r.intN(6)) * time.Millisecond)
	switch f.r.intN(10) {
	case 0:
		f.v = f.views[f.r.intN(len(f.views))]
		f.feed(&almondstep.ViewChanged{})
	case 1:
		f.fireTimer()
	case 2:
		f.redeliver()
	case 3:
		f.answerClaim()
	default:
		f.stepOwner()
	}
	if f.r.oneIn(60) {
		id := f.ids[f.r.intN(len(f.ids))]
		f.queries[id].gone = f.queries[id].gone || !f.queries[id].ended
		f.feed(&almondstep.CallerGone{ID: id})
	}
}

// end fires every hard deadline and checks that every query has ended.
func (f *fake) end() {
	f.now = f.now.Add(time.Second)
	for _, id := range f.ids {
		f.feed(&almondstep.QueryTimer{ID: id, Purpose: almondstep.TimerHard})
		truth := f.queries[id]
		if truth.ended == truth.gone {
			f.t.Errorf("query %d: ended %v, caller gone %v", id, truth.ended, truth.gone)
		}
	}
	if got, want := f.q.Open(), 0; got != want {
		f.t.Errorf("%d queries are open, want %d", got, want)
	}
	for range 5 {
		f.stepOwner()
	}
}

func (f *fake) fireTimer() {
	if len(f.timers) == 0 {
		return
	}
	i := f.r.intN(len(f.timers))
	s := f.timers[i]
	f.timers[i] = f.timers[len(f.timers)-1]
	f.timers = f.timers[:len(f.timers)-1]
	f.feed(&almondstep.QueryTimer{ID: s.ID, Purpose: s.Purpose, Attempt: s.Attempt})
}

// redeliver delivers an earlier answer again, sometimes altered so that it was
// never requested.
func (f *fake) redeliver() {
	if len(f.delivered) == 0 {
		return
	}
	e := f.delivered[f.r.intN(len(f.delivered))]
	a, ok := e.(*almondstep.WorkAnswered)
	if !ok || !f.r.oneIn(2) {
		// A repeated failure of a Work has no effect; of a repeated answer, each item
		// that has ended is dropped.
		f.feed(e)
		return
	}
	altered := *a
	switch f.r.intN(3) {
	case 0:
		altered.Owner = "stranger"
	case 1:
		altered.Attempt += 7
	default:
		altered.ID += 100
	}
	f.feed(&altered)
}

func (f *fake) answerClaim() {
	if len(f.claims) == 0 {
		return
	}
	id := f.claims[0]
	f.claims = f.claims[1:]
	outcome := almondstep.ClaimOutcome(f.r.intN(3))
	f.queries[id].claimed = outcome == almondstep.ClaimGranted
	f.feed(&almondstep.ClaimAnswered{ID: id, Outcome: outcome})
}

// stepOwner lets one owner answer, fail or answer a Collect.
func (f *fake) stepOwner() {
	if len(f.sent) == 0 {
		return
	}
	w := f.sent[f.r.intN(len(f.sent))]
	if f.r.oneIn(40) {
		f.forge(w)
	}
	switch {
	case w.answered && !w.collecting:
		return
	case !w.answered && f.r.oneIn(8):
		f.failWork(w)
	case w.answered && f.r.oneIn(6):
		// The Collect is lost, or refused by a restarted daemon.
		w.collecting = false
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
	for i := range w.outcomes {
		w.reported[i] = true
		truth.open--
		if !notRun {
			truth.begun++
		}
	}
	e := &almondstep.WorkFailed{ID: w.work.Query, Attempt: w.work.Attempt, Owner: w.owner, NotRun: notRun}
	f.delivered = append(f.delivered, e)
	f.feed(e)
}

// answerWork reports the outcomes of some items and the rest as pending.
func (f *fake) answerWork(w *sentWork) {
	a := &almondstep.WorkAnswered{ID: w.work.Query, Attempt: w.work.Attempt, Owner: w.owner, Version: w.work.Version}
	truth := f.queries[w.work.Query]
	withSources := !f.r.oneIn(3)
	for i, item := range w.work.Items {
		if w.reported[i] {
			continue
		}
		ia := almondstep.ItemAnswer{Item: item, Outcome: almondstep.ItemPending}
		if !f.r.oneIn(4) {
			f.reportItem(w, i, &ia, truth)
		}
		if ia.Outcome == almondstep.ItemDone {
			ia.Total = 1
			a.Records = append(a.Records, recordOf(item.Shard, w.work.Version))
			a.Sources = append(a.Sources, uint32(len(a.Items)))
		}
		a.Items = append(a.Items, ia)
	}
	if f.r.oneIn(20) {
		repeatItem(a, f.r.intN(len(a.Items)+1)-1, f.r.oneIn(2))
	}
	if !withSources {
		a.Sources = nil
	}
	truncate(a, w.work.Limit)
	if f.r.oneIn(40) {
		a.Version++
	}
	w.answered = true
	w.collecting = false
	f.delivered = append(f.delivered, a)
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

// repeatItem lists an item of an answer twice, the second time optionally as done.
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

// forge delivers an answer to a Work from a daemon that it was not sent to.
func (f *fake) forge(w *sentWork) {
	a := &almondstep.WorkAnswered{ID: w.work.Query, Attempt: w.work.Attempt, Owner: "stranger", Version: w.work.Version}
	for i, item := range w.work.Items {
		a.Items = append(a.Items, almondstep.ItemAnswer{Item: item, Total: 1})
		a.Records = append(a.Records, almondstep.Record{Key: item.Shard.String(), Body: "forged"})
		a.Sources = append(a.Sources, uint32(i))
	}
	f.feed(a)
}

// reportItem sets the outcome of an item that has ended.
func (f *fake) reportItem(w *sentWork, i int, ia *almondstep.ItemAnswer, truth *queryTruth) {
	w.reported[i] = true
	truth.open--
	ia.Outcome = w.outcomes[i]
	if ia.Outcome == almondstep.ItemNotRun {
		ia.Reason = []almondstep.Reason{
			almondstep.ReasonShed, almondstep.ReasonNotOwner, almondstep.ReasonLeaving, almondstep.ReasonCold,
		}[f.r.intN(4)]
		return
	}
	truth.begun++
}

// recordOf returns the single record of a shard; it contains shard and version,
// so that duplicates and records of other versions are detected.
func recordOf(s almondstep.Shard, v almondstep.Version) almondstep.Record {
	return almondstep.Record{Key: s.String(), Body: fmt.Sprint(v)}
}
