package querier_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

// A search over 200 shards that crashes every upstream running it crashes only
// the canary and one more; its resend crashes none.
func TestCrashingSearchOver200Shards(t *testing.T) {
	d := newDriver(t, deskFleet(200, 10, 3))
	d.searchAll(almondstep.ItemCrashed)
	if got, want := len(d.sent), 2; got != want {
		t.Errorf("%d sub-requests were sent, want %d", got, want)
	}
	d.at(time.Second, search(2, "routine"))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("the resend was sent %d times, want %d", got, want)
	}
	if got, want := d.last.Outcome, almondstep.OutcomeNotRun; got != want {
		t.Errorf("the resend's outcome is %q, want %q", got, want)
	}
}

// If canaries are not answered, more are sent, but the query doesn't fan out: a
// request may run for some time before it crashes its upstream.
func TestUnansweredCanariesAreBounded(t *testing.T) {
	d := newDriver(t, deskFleet(200, 10, 3))
	d.at(0, search(1, "urgent"))
	for i := range 12 {
		d.at(time.Duration(i)*16*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHedge})
	}
	if got, want := len(d.sent), 4; got != want {
		t.Errorf("%d canaries, want %d", got, want)
	}
	for _, w := range d.sent {
		d.at(time.Duration(d.now)+ms, d.answerTo(w, almondstep.ItemCrashed))
	}
	if got, want := len(d.sent), 4; got != want {
		t.Errorf("%d sub-requests after the crashes, want %d", got, want)
	}
}

// A request whose canary succeeds but that crashes upstreams in the fan-out is
// not sent again, and its remaining Works are canceled.
func TestCrashInFanOutStopsFurtherAttempts(t *testing.T) {
	d := newDriver(t, deskFleet(60, 6, 3))
	works, owners := d.fanOut(1, "routine")
	sent := len(d.sent)
	d.at(2*ms, answer(owners[0], works[0], almondstep.ItemCrashed))
	d.at(3*ms, answer(owners[1], works[1], almondstep.ItemFailed, almondstep.ItemPending))
	if got, want := len(d.sent), sent; got != want {
		t.Errorf("%d further attempts after a crash, want 0", got-want)
	}
	d.at(4*ms, answer(owners[2], works[2], almondstep.ItemCrashed))
	if got, want := d.count("reportCrash"), 2; got != want {
		t.Errorf("%d crashes reported, want %d", got, want)
	}
	if d.reply() == nil || d.reply().Code != almondstep.CodeQuarantined {
		t.Fatalf("answer %+v, want quarantined", d.reply())
	}
	if got, want := d.count("sendCancel"), 4; got != want {
		t.Errorf("%d owners canceled, want the %d with work left", got, want)
	}
}

// Pending shards are hedged at warm replicas only.
func TestNoHedgeToCold(t *testing.T) {
	f := deskFleet(12, 3, 2)
	for i := range f.Servers[12:] {
		f.Servers[12+i].Temperature = "cold"
	}
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "urgent")
	d.at(12*ms, answer(owners[0], works[0], almondstep.ItemPending, almondstep.ItemPending))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("%d hedges to cold replicas, want %d", got, want)
	}
	if got, want := d.count("sendCollect"), 1; got != want {
		t.Errorf("%d collects, want %d", got, want)
	}
}

// Over many searches with stragglers everywhere, hedges and retries stay
// within 5 in 100 sub-requests and the burst, and are close to that bound.
func TestExtraLoadIsBounded(t *testing.T) {
	const shards, searches, burst = 40, 400, 16
	d := newDriver(t, deskFleet(shards, 4, 3))
	d.q = querier.New(querier.Config{Seed: 1, ExtraBurst: burst})
	for id := range almondstep.QueryID(searches) {
		d.sent = nil
		d.at(time.Duration(id)*time.Second, search(id+1, "routine"))
		for i := 0; i < len(d.sent); i++ {
			w := d.sent[i]
			if w.Hedge || len(w.Items) == 1 {
				d.at(time.Duration(d.now), d.answerTo(w, almondstep.ItemDone))
				continue
			}
			d.at(time.Duration(d.now)+ms, answer(d.owner(w), w, almondstep.ItemPending, almondstep.ItemPending))
		}
		d.at(time.Duration(d.now)+ms, &almondstep.QueryTimer{ID: id + 1, Purpose: almondstep.TimerHard})
	}
	c := d.q.Counters()
	extra, maxExtra := c.Attempts-c.Needed, c.Needed*5/100+burst
	if extra > maxExtra || extra < maxExtra*9/10 {
		t.Errorf("%d further attempts for %d needed, want close to and at most %d", extra, c.Needed, maxExtra)
	}
}

// Once upstreams shed more than a few sub-requests, neither shed nor late
// shards are requested again.
func TestNoHedgeWhileShedding(t *testing.T) {
	d := newDriver(t, deskFleet(40, 4, 3))
	d.searchAll(almondstep.ItemDone)
	d.at(time.Second, search(2, "routine"))
	works := d.works()
	d.at(time.Second+ms, d.answerTo(works[0], almondstep.ItemNotRun))
	d.at(time.Second+ms, d.answerTo(works[1], almondstep.ItemNotRun))
	if got, want := d.works(), 0; len(got) != want {
		t.Errorf("%d shed shards were requested again, want %d", len(got), want)
	}
	d.at(time.Second+10*ms, answer(d.owner(works[2]), works[2], almondstep.ItemPending))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("%d hedges, want %d", got, want)
	}
}

// An owner that has not answered two Works gets no more first attempts while
// there are other replicas, except for one query per backoff time.
func TestUnresponsiveOwnerIsAvoided(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 2))
	d.searchAll(almondstep.ItemDone)
	const lost = almondstep.DaemonID("o2")
	worksTo := func(id almondstep.QueryID, at time.Duration) int {
		d.sent = nil
		d.at(at, search(id, "routine"))
		n := 0
		for _, w := range d.works() {
			if d.owner(w) == lost {
				n++
				continue
			}
			d.at(at+ms, d.answerTo(w, almondstep.ItemDone))
		}
		d.at(at+200*ms, &almondstep.QueryTimer{ID: id, Purpose: almondstep.TimerHedge})
		for _, w := range d.works() {
			d.at(at+201*ms, d.answerTo(w, almondstep.ItemDone))
		}
		return n
	}
	got := []int{
		worksTo(2, 1000*ms), worksTo(3, 1300*ms), worksTo(4, 1600*ms),
		worksTo(5, 1900*ms), worksTo(6, 2200*ms), worksTo(7, 2500*ms),
	}
	want := []int{1, 1, 0, 0, 1, 0}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("Works to the lost owner: %v, want %v", got, want)
		}
	}
}

// When a query replans at a newer version, its open attempts are canceled and
// their answers are dropped.
func TestReplanCancelsAndDrops(t *testing.T) {
	f := deskFleet(12, 3, 2)
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "routine")
	for i := range f.Servers {
		f.Servers[i].Holdings[0].Version = 8
	}
	d.v = f.view()
	d.at(2*ms, &almondstep.ViewChanged{})
	d.at(3*ms, answer(owners[0], works[0], almondstep.ItemWrongVersion))
	if got, want := d.count("sendCancel"), 2; got != want {
		t.Errorf("%d cancels, want %d", got, want)
	}
	again := d.works()
	d.at(4*ms, answer(owners[1], works[1]))
	for _, w := range again {
		if d.reply() != nil {
			t.Fatal("answered before all shards were merged at the new version")
		}
		if got, want := w.Version, almondstep.Version(8); got != want {
			t.Errorf("requested at version %d, want %d", got, want)
		}
		d.at(5*ms, d.answerTo(w, almondstep.ItemDone))
	}
	if d.reply() == nil || d.reply().Outcome != almondstep.OutcomeComplete || d.reply().Total != 12 {
		t.Errorf("answer %+v, want complete with 12", d.reply())
	}
}

// An owner whose answer to a Collect doesn't list a pending item no longer has
// it; the item fails at once instead of at the deadline.
func TestUnlistedItemFailsAtOnce(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 3))
	works, owners := d.fanOut(1, "routine")
	w := works[0]
	d.at(12*ms, answer(owners[0], w, almondstep.ItemPending))
	hedges := d.works()
	d.at(13*ms, &almondstep.WorkAnswered{ID: 1, Attempt: w.Attempt, Owner: owners[0]})
	d.at(14*ms, answer(d.owner(hedges[0]), hedges[0], almondstep.ItemFailed))
	for i := range works[1:] {
		d.at(15*ms, answer(owners[i+1], works[i+1]))
	}
	a := d.reply()
	if a == nil {
		t.Fatal("no answer although no try is open")
	}
	if got, want := a.Outcome, almondstep.OutcomePartial; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
}

// A flood of one tenant's routine and urgent searches leaves capacity for
// another tenant's urgent ones.
func TestFloodLeavesCapacity(t *testing.T) {
	d := newDriver(t, deskFleet(4, 2, 1))
	d.q = querier.New(querier.Config{MaxOpen: 40})
	id := almondstep.QueryID(0)
	admitted := func(tenant almondstep.TenantName, class almondstep.ClassName) int {
		n := 0
		for range 100 {
			id++
			e := search(id, class)
			e.Tenant = tenant
			d.at(0, e)
			if d.reply() == nil {
				n++
			}
		}
		return n
	}
	got := []int{admitted("growers", "routine"), admitted("growers", "urgent"), admitted("kitchens", "urgent")}
	want := []int{30, 0, 10}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("admitted %v, want %v", got, want)
		}
	}
}

// If the caller disconnects, its query is canceled without an answer.
func TestCallerGone(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 2))
	works, owners := d.fanOut(1, "routine")
	d.at(2*ms, &almondstep.CallerGone{ID: 1})
	if got, want := d.count("sendCancel"), 3; got != want || len(d.effects) != want {
		t.Errorf("%d cancels among %d effects, want %d alone", got, len(d.effects), want)
	}
	d.at(3*ms, answer(owners[0], works[0]))
	if len(d.effects) != 0 {
		t.Errorf("effects %v after the end, want none", d.effects)
	}
}
