package querier_test

import (
	"time"

	"almondstep"
)

// searchWith returns a search modified by change.
func (d *driver) searchWith(change func(*almondstep.SearchArrived)) *almondstep.SearchArrived {
	e := search(100, "routine")
	change(e)
	return e
}

// nonIdempotentRun returns a request that is not idempotent.
func (d *driver) nonIdempotentRun(key string) *almondstep.RunArrived {
	return &almondstep.RunArrived{
		ID: 1, Scheme: "plant", Name: "desk", Tenant: "growers", Class: "routine",
		Operation: "enter", RecordKey: "lot-1", Body: "12 sacks", Key: key, Fingerprint: 78,
	}
}

// answerTo answers a Work with one outcome for all items. Items not run have the
// reason shed.
func (d *driver) answerTo(w *almondstep.Work, outcome almondstep.ItemOutcome) *almondstep.WorkAnswered {
	outcomes := make([]almondstep.ItemOutcome, len(w.Items))
	for i := range outcomes {
		outcomes[i] = outcome
	}
	a := answer(d.owner(w), w, outcomes...)
	for i := range a.Items {
		if outcome == almondstep.ItemNotRun {
			a.Items[i].Reason = almondstep.ReasonShed
		}
	}
	return a
}

// answerEach answers every Work sent by the last event and those sent in response, the
// first with the first outcome and so on; the last outcome is for all others.
func (d *driver) answerEach(outcomes ...almondstep.ItemOutcome) {
	queue := d.works()
	for i := 0; i < len(queue); i++ {
		outcome := outcomes[min(i, len(outcomes)-1)]
		d.at(time.Duration(d.now)+ms, d.answerTo(queue[i], outcome))
		queue = append(queue, d.works()...)
	}
}

// searchAll runs a search and answers its Works as answerEach does.
func (d *driver) searchAll(outcomes ...almondstep.ItemOutcome) {
	d.searchID(1, outcomes...)
}

func (d *driver) searchID(id almondstep.QueryID, outcomes ...almondstep.ItemOutcome) {
	d.at(0, search(id, "routine"))
	d.answerEach(outcomes...)
}

// runAll runs a request that is not idempotent and answers its Works as answerEach
// does.
func (d *driver) runAll(key string, outcomes ...almondstep.ItemOutcome) {
	d.at(0, d.nonIdempotentRun(key))
	d.answerEach(outcomes...)
}

// claim sends a request with a key and answers its claim.
func (d *driver) claim(outcome almondstep.ClaimOutcome) {
	d.at(0, d.nonIdempotentRun("k"))
	d.at(ms, &almondstep.ClaimAnswered{ID: 1, Outcome: outcome})
}

// failAll fails every Work sent so far, and those sent in response.
func (d *driver) failAll(notRun bool) {
	for i := 0; i < len(d.sent); i++ {
		w := d.sent[i]
		d.at(time.Duration(d.now)+ms, &almondstep.WorkFailed{
			ID: w.Query, Attempt: w.Attempt, Owner: d.owner(w), NotRun: notRun,
		})
	}
}

func (d *driver) searchFails(notRun bool) {
	d.at(0, search(1, "routine"))
	d.failAll(notRun)
}

// removeReplicas makes the replicas of the first n shards unavailable.
func (d *driver) removeReplicas(n int) {
	f := deskFleet(4, 2, 1)
	for i := range n {
		f.Servers[i].Temperature = "lost"
	}
	d.v = f.view()
}
