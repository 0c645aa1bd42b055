package querier_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

const ms = time.Millisecond

// driver passes events to a partition at given times and keeps the last effects.
type driver struct {
	t       *testing.T
	q       *querier.Queries
	v       *almondstep.View
	now     almondstep.Instant
	effects []almondstep.Effect
	// sent has the Works sent so far, owners their owners; last is the last answer.
	owners map[*almondstep.Work]almondstep.DaemonID
	sent   []*almondstep.Work
	last   *almondstep.Answer
}

func newDriver(t *testing.T, f *fleet) *driver {
	return &driver{
		t:      t,
		q:      querier.New(querier.Config{Seed: 1}),
		v:      f.view(),
		owners: map[*almondstep.Work]almondstep.DaemonID{},
	}
}

// at handles an event at a time and keeps its effects.
func (d *driver) at(now time.Duration, e almondstep.Event) {
	d.now = almondstep.Instant(now)
	d.effects = d.q.Reduce(d.now, d.v, e, nil)
	for _, e := range d.effects {
		switch e := e.(type) {
		case *almondstep.SendWork:
			d.owners[e.Work] = e.Owner
			d.sent = append(d.sent, e.Work)
		case *almondstep.ReplyCaller:
			d.last = e.Answer
		}
	}
}

// works returns the Works sent by the last event.
func (d *driver) works() []*almondstep.Work {
	var all []*almondstep.Work
	for _, e := range d.effects {
		if s, ok := e.(*almondstep.SendWork); ok {
			all = append(all, s.Work)
		}
	}
	return all
}

// owner returns the owner that a Work was sent to.
func (d *driver) owner(w *almondstep.Work) almondstep.DaemonID {
	return d.owners[w]
}

// reply returns the answer to the caller sent by the last event; nil if there
// was none.
func (d *driver) reply() *almondstep.Answer {
	for _, e := range d.effects {
		if r, ok := e.(*almondstep.ReplyCaller); ok {
			return r.Answer
		}
	}
	return nil
}

// count returns the number of effects of a kind of the last event.
func (d *driver) count(kind string) int {
	n := 0
	for _, e := range d.effects {
		if e.Kind() == kind {
			n++
		}
	}
	return n
}

// answer returns an owner's answer in which item i has outcomes[i]; items beyond
// those are done. Every done item has one record.
func answer(owner almondstep.DaemonID, w *almondstep.Work, outcomes ...almondstep.ItemOutcome) *almondstep.WorkAnswered {
	a := &almondstep.WorkAnswered{ID: w.Query, Attempt: w.Attempt, Owner: owner, Version: w.Version}
	for i, item := range w.Items {
		ia := almondstep.ItemAnswer{Item: item, Took: 2 * ms}
		if i < len(outcomes) {
			ia.Outcome = outcomes[i]
		}
		if ia.Outcome == almondstep.ItemDone {
			ia.Total = 1
			a.Records = append(a.Records, almondstep.Record{Key: fmt.Sprintf("%06d", item.Shard.Index())})
			a.Sources = append(a.Sources, uint32(i))
		}
		a.Items = append(a.Items, ia)
	}
	return a
}

func search(id almondstep.QueryID, class almondstep.ClassName) *almondstep.SearchArrived {
	return &almondstep.SearchArrived{
		ID: id, Scheme: "plant", Name: "desk", Tenant: "growers", Class: class, Text: "wet", Limit: 10_000, Fingerprint: 77,
	}
}

// fanOut starts a search, answers its canary and returns the other Works with
// their owners.
func (d *driver) fanOut(id almondstep.QueryID, class almondstep.ClassName) ([]*almondstep.Work, []almondstep.DaemonID) {
	d.at(0, search(id, class))
	if w := d.works(); len(w) == 1 && len(w[0].Items) == 1 {
		d.at(ms, answer(d.owner(w[0]), w[0]))
	}
	var owners []almondstep.DaemonID
	for _, w := range d.works() {
		owners = append(owners, d.owner(w))
	}
	return d.works(), owners
}

func TestSearchIsComplete(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 2))
	works, owners := d.fanOut(1, "routine")
	if got, want := len(works), 3; got != want {
		t.Fatalf("%d Works, want one per owner, %d", got, want)
	}
	for i, w := range works {
		if d.reply() != nil {
			t.Fatal("answered before all owners had")
		}
		d.at(time.Duration(3+i)*ms, answer(owners[i], w))
	}
	a := d.reply()
	if a == nil {
		t.Fatal("no answer")
	}
	if got, want := a.Outcome, almondstep.OutcomeComplete; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
	if a.Coverage.Included != 12 || a.Coverage.Wanted != 12 || a.Total != 12 || len(a.Records) != 12 {
		t.Errorf("got coverage %+v, total %d, %d records, want 12 of each", a.Coverage, a.Total, len(a.Records))
	}
	if got, want := a.Coverage.Version, almondstep.Version(7); got != want {
		t.Errorf("version %d, want %d", got, want)
	}
	if got, want := d.q.Open(), 0; got != want {
		t.Errorf("%d open queries, want %d", got, want)
	}
}

// At the soft deadline an urgent search is answered with the shards merged so
// far, and the coverage lists the missing ones.
func TestSoftDeadlineIsPartial(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 1))
	works, owners := d.fanOut(1, "urgent")
	d.at(3*ms, answer(owners[0], works[0]))
	d.at(4*ms, answer(owners[1], works[1]))
	d.at(40*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerSoft})
	a := d.reply()
	if a == nil {
		t.Fatal("no answer")
	}
	if got, want := a.Outcome, almondstep.OutcomePartial; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
	missing := len(works[2].Items)
	if got, want := a.Coverage.Included, 12-missing; got != want {
		t.Errorf("included %d, want %d", got, want)
	}
	if got, want := len(a.Coverage.Missing), missing; got != want {
		t.Errorf("missing %d, want %d", got, want)
	}
	if got, want := d.count("sendCancel"), 1; got != want {
		t.Errorf("%d cancels, want %d", got, want)
	}
}
