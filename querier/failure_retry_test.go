package querier_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/querier"
)

// ownersOf counts the items of Works by owner.
func (d *driver) ownersOf(works []*almondstep.Work) map[almondstep.DaemonID]int {
	owners := map[almondstep.DaemonID]int{}
	for _, w := range works {
		owners[d.owner(w)] += len(w.Items)
	}
	return owners
}

// While two canaries are open, the crash of one doesn't cause a third, even if
// the other is late.
func TestOneCrashAndOneOpenCanary(t *testing.T) {
	d := newDriver(t, deskFleet(200, 10, 3))
	d.at(0, search(1, "urgent"))
	d.at(16*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHedge})
	d.at(17*ms, d.answerTo(d.sent[0], almondstep.ItemCrashed))
	d.at(18*ms, d.answerTo(d.sent[1], almondstep.ItemPending))
	if got, want := len(d.sent), 2; got != want {
		t.Errorf("%d canaries, want %d", got, want)
	}
}

// The shards of a lost owner are not requested from it again, although it owns
// other replicas of them.
func TestLostOwnerIsNotAskedAgain(t *testing.T) {
	for _, notRun := range []bool{true, false} {
		// With two owners and three copies, each owner has two of some shards.
		d := newDriver(t, deskFleet(12, 2, 3))
		works, owners := d.fanOut(1, "routine")
		d.at(2*ms, &almondstep.WorkFailed{ID: 1, Attempt: works[0].Attempt, Owner: owners[0], NotRun: notRun})
		again := d.ownersOf(d.works())
		if again[owners[0]] > 0 || again[owners[1]] == 0 {
			t.Errorf("notRun %v: items requested again %v, want all at %s", notRun, again, owners[1])
		}
	}
}

// The shards of an unresponsive owner are hedged at other owners.
func TestNoHedgeAtUnresponsiveOwner(t *testing.T) {
	d := newDriver(t, deskFleet(12, 2, 3))
	works, owners := d.fanOut(1, "routine")
	d.at(2*ms, answer(owners[1], works[1]))
	d.at(110*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerHedge})
	again := d.ownersOf(d.works())
	if again[owners[0]] > 0 || again[owners[1]] == 0 {
		t.Errorf("items hedged %v, want all at %s", again, owners[1])
	}
}

// A late shard is not hedged at its own upstream, even if that has a new owner.
func TestNoHedgeAtSameUpstream(t *testing.T) {
	f := deskFleet(12, 3, 1)
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "urgent")
	for i := range f.Servers {
		f.Servers[i].Owner = "new"
	}
	d.v = f.view()
	d.at(2*ms, &almondstep.ViewChanged{})
	d.at(12*ms, answer(owners[0], works[0], almondstep.ItemPending))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("%d hedges at the same upstream, want %d", got, want)
	}
}

// A shard whose upstream has a new owner is requested from it, once, after the
// old owner has refused it as not its own.
func TestNewOwnerIsAsked(t *testing.T) {
	f := deskFleet(12, 3, 1)
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "urgent")
	for i := range f.Servers {
		f.Servers[i].Owner = "new"
	}
	d.v = f.view()
	a := d.answerTo(works[0], almondstep.ItemNotRun)
	a.Owner = owners[0]
	for i := range a.Items {
		a.Items[i].Reason = almondstep.ReasonNotOwner
	}
	d.at(2*ms, a)
	if got, want := d.ownersOf(d.works())["new"], len(works[0].Items); got != want {
		t.Errorf("%d items requested from the new owner, want %d", got, want)
	}
}

// moveTo moves all upstreams of a fleet to a version.
func (d *driver) moveTo(f *fleet, version almondstep.Version) {
	for i := range f.Servers {
		f.Servers[i].Holdings[0].Version = version
	}
	d.v = f.view()
}

// A query replans once; if another version follows, its answer is partial.
func TestReplanOnce(t *testing.T) {
	f := deskFleet(12, 3, 2)
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "routine")
	d.moveTo(f, 8)
	d.at(3*ms, answer(owners[0], works[0], almondstep.ItemWrongVersion))
	works = d.works()
	d.moveTo(f, 9)
	d.at(5*ms, answer(d.owner(works[0]), works[0], almondstep.ItemWrongVersion))
	if got, want := len(d.works()), 0; got != want {
		t.Fatalf("%d Works at a third version, want %d", got, want)
	}
	d.at(6*ms, d.answerTo(works[1], almondstep.ItemDone))
	d.at(6*ms, d.answerTo(works[2], almondstep.ItemDone))
	if d.reply() == nil || d.reply().Outcome != almondstep.OutcomePartial || d.reply().Coverage.Included != 11 {
		t.Errorf("answer %+v, want partial with 11", d.reply())
	}
}

// A query doesn't replan if a second fan-out couldn't end in time.
func TestNoReplanWithoutTime(t *testing.T) {
	f := deskFleet(12, 3, 2)
	d := newDriver(t, f)
	works, owners := d.fanOut(1, "urgent")
	d.moveTo(f, 8)
	d.at(35*ms, answer(owners[0], works[0], almondstep.ItemWrongVersion))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("%d Works 5 ms before the soft deadline, want %d", got, want)
	}
}

// Below the minimum coverage of the class, the query isn't answered at the soft
// deadline, but as soon as the coverage suffices.
func TestSoftDeadlineWaitsForCoverage(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 1))
	works, owners := d.fanOut(1, "urgent")
	d.at(40*ms, &almondstep.QueryTimer{ID: 1, Purpose: almondstep.TimerSoft})
	if a := d.reply(); a != nil {
		t.Fatalf("answered with %d of 12 shards, want to wait for 6", a.Coverage.Included)
	}
	d.at(50*ms, answer(owners[0], works[0]))
	if a := d.reply(); a != nil {
		t.Fatalf("answered with %d of 12 shards, want to wait for 6", a.Coverage.Included)
	}
	d.at(60*ms, answer(owners[1], works[1]))
	a := d.reply()
	if a == nil || a.Outcome != almondstep.OutcomePartial || a.Coverage.Included < 6 {
		t.Errorf("answer %+v, want partial with at least 6", a)
	}
}

// An owner that refuses two connections is avoided like an unresponsive one.
func TestRefusingOwnerIsAvoided(t *testing.T) {
	d := newDriver(t, deskFleet(12, 3, 2))
	d.searchAll(almondstep.ItemDone)
	for id := almondstep.QueryID(2); id <= 4; id++ {
		at := time.Duration(id) * 10 * ms
		d.at(at, search(id, "routine"))
		toLost := 0
		for _, w := range d.works() {
			if d.owner(w) == "o2" {
				toLost++
				d.at(at+ms, &almondstep.WorkFailed{ID: id, Attempt: w.Attempt, Owner: "o2", NotRun: true})
			}
		}
		want := 1
		if id == 4 {
			want = 0
		}
		if toLost != want {
			t.Errorf("query %d: %d Works to the refusing owner, want %d", id, toLost, want)
		}
		d.at(at+2*ms, &almondstep.CallerGone{ID: id})
	}
}

// A few first tries of a fan-out go to cold replicas of shards that have a warm
// one as well, but never the canary.
func TestCanaryIsNoWarmUpTraffic(t *testing.T) {
	f := deskFleet(64, 4, 2)
	for i := range 64 {
		f.Servers[64+i].Temperature = "cold"
	}
	cold := func(w *almondstep.Work) int {
		n := 0
		for _, item := range w.Items {
			for i := range f.Servers {
				if f.Servers[i].Addr == item.Upstream && f.Servers[i].Temperature == "cold" {
					n++
				}
			}
		}
		return n
	}
	total := 0
	for id := almondstep.QueryID(1); id <= 200; id++ {
		d := newDriver(t, f)
		works, _ := d.fanOut(id, "routine")
		if cold(d.sent[0]) > 0 {
			t.Fatalf("query %d: its canary went to a cold replica", id)
		}
		inQuery := 0
		for _, w := range works {
			inQuery += cold(w)
		}
		if limit := 2; inQuery > limit {
			t.Fatalf("query %d: %d first tries to cold replicas, want at most %d", id, inQuery, limit)
		}
		total += inQuery
	}
	if total == 0 {
		t.Error("no first try went to a cold replica")
	}
}

// A first try refused by the owner of a cold upstream is retried at a warm
// replica without a token: it put no load on an upstream.
func TestColdRefusalNeedsNoToken(t *testing.T) {
	d := newDriver(t, deskFleet(40, 4, 2))
	d.q = querier.New(querier.Config{Seed: 1, ExtraBurst: 1})
	works, owners := d.fanOut(1, "routine")
	a := d.answerTo(works[0], almondstep.ItemNotRun)
	for i := range a.Items {
		a.Items[i].Reason = almondstep.ReasonCold
	}
	d.at(2*ms, a)
	asked := 0
	for _, n := range d.ownersOf(d.works()) {
		asked += n
	}
	if got, want := asked, len(works[0].Items); got != want {
		t.Errorf("%d of %s's items were requested again, want %d", got, owners[0], want)
	}
}

// A query doesn't replan because the budget has no token for a retry: the retry
// would be one sub-request, a replan all of them.
func TestNoReplanWithoutTokens(t *testing.T) {
	f := deskFleet(40, 4, 2)
	d := newDriver(t, f)
	d.q = querier.New(querier.Config{Seed: 1, ExtraPerMille: 1, ExtraBurst: 1})
	works, owners := d.fanOut(1, "routine")
	for i := range f.Servers {
		newer := f.Servers[i].Holdings[0]
		newer.Version = 8
		f.Servers[i].Holdings = append(f.Servers[i].Holdings, newer)
	}
	d.v = f.view()
	d.at(2*ms, answer(owners[0], works[0], almondstep.ItemWrongVersion, almondstep.ItemWrongVersion))
	if got, want := len(d.works()), 0; got != want {
		t.Errorf("%d Works, want %d", got, want)
	}
	if got, want := d.q.Counters().Replans, uint64(0); got != want {
		t.Errorf("%d replans, want %d", got, want)
	}
}

// While the upstreams of the entry daemon's zone change owners, every shard is
// refused there before it runs. A request without a good reputation goes to the
// replicas elsewhere, one canary at a time, and then to all shards.
func TestRefusedCanaryIsSentElsewhere(t *testing.T) {
	for _, reason := range []almondstep.Reason{almondstep.ReasonCold, almondstep.ReasonNotOwner, almondstep.ReasonStopping} {
		const shards = 3
		d := newDriver(t, deskFleet(shards, 3, 3))
		d.at(0, search(1, "routine"))
		for i := range shards {
			works := d.works()
			if got, want := len(works), 1; got != want {
				t.Fatalf("%s: got %d canaries after %d refusals, want %d", reason, got, i, want)
			}
			a := d.answerTo(works[0], almondstep.ItemNotRun)
			for i := range a.Items {
				a.Items[i].Reason = reason
			}
			d.at(time.Duration(d.now)+ms, a)
		}
		d.answerEach(almondstep.ItemDone)
		if d.reply() == nil || d.reply().Outcome != almondstep.OutcomeComplete {
			t.Errorf("%s: got %+v, want a complete answer", reason, d.reply())
		}
	}
}
