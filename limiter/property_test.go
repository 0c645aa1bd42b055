package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

const (
	histories       = 20_000
	quickHistories  = 2_000
	stepsPerHistory = 200
	testSlots       = 3
	// coldRound is the minimum number of successes that raise the allowance, with
	// a MinRoundSuccesses of 1.
	coldRound = 4
	// downFor is how long a restarting upstream refuses connections.
	downFor = 260 * time.Millisecond
	// transit is how much later a request's timeout may end at the upstream
	// than here.
	transit = 40 * time.Millisecond
)

// Checks random sequences of arrivals, cancellations, endings, restarts and
// views:
//
//   - a cold upstream never runs more than the successes so far allow, counting
//     canceled and timed-out requests that may still run there,
//   - nothing is started without a grant, at a leaving upstream or too late,
//   - every item ends exactly once and is started at most once, and one that may
//     have run never ends as "not run", nor as crashed if it must not run twice,
//   - no state is kept of an upstream that another daemon owns.
func TestPropertyRandomHistories(t *testing.T) {
	n := uint64(histories)
	if testing.Short() {
		n = quickHistories
	}
	warmStarts := 0
	for seed := range n {
		h := newHistory(seed)
		h.run()
		warmStarts += h.warmStarts
		if h.failure != "" {
			t.Fatalf("seed %d: %s", seed, h.failure)
		}
	}
	if warmStarts < int(n) {
		t.Errorf("got %d starts at warm upstreams in %d histories: too few for a meaningful check", warmStarts, n)
	}
}

// history is one random history, with a record of the actual state that is
// independent of the limiter's.
type history struct {
	random  splitmix
	u       *limiter.Upstreams
	now     almondstep.Instant
	vm      almondstep.UpstreamVM
	owned   bool
	grant   almondstep.Grant
	view    *almondstep.View
	items   map[almondstep.QueryID]*itemRecord
	calls   []*callRecord
	timers  []almondstep.Instant
	boots   int
	failure string
	// calm is set for a history with few faults, so that the upstream becomes
	// warm.
	calm bool
	// warmStarts counts the starts at an upstream that had warmed up.
	warmStarts int
	// downUntil is when a restarting upstream accepts connections again.
	downUntil almondstep.Instant

	// proven counts the successes since the upstream last became cold.
	proven int
	// lostGrantAt is when the full grant was last lost.
	lostGrantAt almondstep.Instant
}

type itemRecord struct {
	work     *almondstep.Work
	deadline almondstep.Instant
	starts   int
	ends     int
	refused  bool
}

type callRecord struct {
	start *almondstep.StartAttempt
	query almondstep.QueryID
	boot  almondstep.BootID
	// runsUntil is when the request actually ends at the upstream.
	runsUntil almondstep.Instant
	deadline  almondstep.Instant
	open      bool
	refused   bool
}

func newHistory(seed uint64) *history {
	h := &history{
		random: splitmix(seed),
		calm:   seed%2 == 0,
		u:      limiter.New(limiter.Config{Seed: seed, MinRoundSuccesses: 1, QueueLimit: 16}),
		items:  map[almondstep.QueryID]*itemRecord{},
		vm:     vm("boot0"), owned: true, grant: almondstep.GrantFull,
	}
	h.applyView()
	return h
}

func (h *history) fail(format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf("at %v: ", time.Duration(h.now)) + fmt.Sprintf(format, args...)
	}
}

func (h *history) chance(percent int) bool { return h.random.below(100) < percent }

func (h *history) run() {
	for range stepsPerHistory {
		h.now = h.now.Add(time.Duration(h.random.below(20)) * time.Millisecond)
		h.fireTimers()
		h.step()
	}
	h.drain()
}

func (h *history) step() {
	switch p := h.random.below(100); {
	case p < 45 || (h.calm && p >= 92 && h.chance(90)):
		h.arrive()
	case p < 55:
		h.cancel()
	case p < 92:
		h.endEarliest()
	case p < 95:
		h.restart()
	default:
		h.changeView()
	}
}

// drain transfers the upstream to another daemon, ends all calls and checks
// that each item ended once and no state is left.
func (h *history) drain() {
	h.owned = false
	h.applyView()
	for range 1000 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.fireTimers()
		h.endEarliest()
	}
	for q, it := range h.items {
		if it.ends != 1 {
			h.fail("query %d ended %d times", q, it.ends)
		}
	}
	if n := h.u.Len(); n != 0 {
		h.fail("%d upstreams kept after the handover", n)
	}
}

func (h *history) reduce(e almondstep.Event) {
	for _, f := range h.u.Reduce(h.now, h.view, e, nil) {
		switch f := f.(type) {
		case *almondstep.StartAttempt:
			h.started(f)
		case *almondstep.ItemFinished:
			h.finished(f)
		case *almondstep.CancelAttempt:
			h.canceled(f)
		case *almondstep.SetUpstreamTimer:
			h.timers = append(h.timers, h.now.Add(f.After))
		}
	}
	if s, ok := h.u.State(addr); ok && s.Queued > 16 {
		h.fail("%d items queued, over the bound", s.Queued)
	}
}

func (h *history) fireTimers() {
	due := h.timers
	h.timers = nil
	for _, at := range due {
		if at <= h.now {
			h.reduce(&almondstep.UpstreamTimer{Addr: addr, Purpose: almondstep.TimerQueue})
		} else {
			h.timers = append(h.timers, at)
		}
	}
}

func (h *history) arrive() {
	q := almondstep.QueryID(len(h.items) + 1)
	w := &almondstep.Work{
		Query: q, Attempt: 1, Version: 7, Limit: 5, Text: fmt.Sprint(q),
		Priority: h.random.below(2),
		Tenant:   almondstep.TenantName([]string{"a", "b"}[h.random.below(2)]),
		Hedge:    h.chance(10),
	}
	if h.chance(30) {
		w.Operation = "enterOrder"
	}
	deadline := h.now.Add(time.Duration(5+h.random.below(2000)) * time.Millisecond)
	h.items[q] = &itemRecord{work: w, deadline: deadline}
	e := &almondstep.ItemArrived{Item: item(), Work: w, Deadline: deadline}
	h.reduce(e)
	if h.chance(5) {
		if h.items[q].ends == 0 {
			h.reduce(e)
		}
	}
}

func (h *history) cancel() {
	if len(h.items) == 0 {
		return
	}
	q := almondstep.QueryID(1 + h.random.below(len(h.items)))
	h.reduce(&almondstep.ItemCanceled{ID: q, Attempt: 1, Item: item()})
}

func (h *history) canceled(f *almondstep.CancelAttempt) {
	for _, c := range h.calls {
		if c.start.Call == f.Call && c.open && h.chance(50) {
			// The call ends only after the current call of Reduce, as in the
			// runner.
			c.deadline = h.now
		}
	}
}

// endEarliest ends the open call with the earliest deadline.
func (h *history) endEarliest() {
	var chosen *callRecord
	for _, c := range h.calls {
		if c.open && (chosen == nil || c.deadline < chosen.deadline) {
			chosen = c
		}
	}
	if chosen == nil {
		return
	}
	h.end(chosen, h.randomResult(chosen))
}

func (h *history) randomResult(c *callRecord) almondstep.CallResult {
	if c.refused {
		return almondstep.CallRefused
	}
	if c.deadline <= h.now {
		return []almondstep.CallResult{almondstep.CallTimeout, almondstep.CallCanceled}[h.random.below(2)]
	}
	switch p := h.random.below(100); {
	case p < 85 || (h.calm && h.chance(90)):
		return almondstep.CallDone
	case p < 90:
		return almondstep.CallShed
	case p < 92:
		return almondstep.CallRefused
	case p < 94:
		return almondstep.CallBroken
	case p < 97:
		return almondstep.CallRejected
	default:
		return almondstep.CallCanceled
	}
}

// end ends a call and records the result.
func (h *history) end(c *callRecord, r almondstep.CallResult) {
	c.open = false
	e := &almondstep.AttemptEnded{Addr: addr, Call: c.start.Call, Result: r, Took: time.Millisecond, Version: 7}
	switch r {
	case almondstep.CallDone, almondstep.CallShed, almondstep.CallRejected:
		c.runsUntil = h.now
		e.Boot = c.boot
	case almondstep.CallRefused:
		c.runsUntil = h.now
	case almondstep.CallBroken, almondstep.CallTimeout, almondstep.CallCanceled, almondstep.CallWrongVersion:
	}
	if it := h.items[c.query]; it != nil && (r == almondstep.CallShed || r == almondstep.CallRefused) {
		it.refused = true
	}
	h.countSuccess(c, r)
	h.reduce(e)
}

// countSuccess counts the successes, and restarts the count when the upstream
// may have become cold.
func (h *history) countSuccess(c *callRecord, r almondstep.CallResult) {
	switch r {
	case almondstep.CallDone:
		if !c.start.LivenessProbe {
			h.proven++
		}
	case almondstep.CallRefused, almondstep.CallBroken:
		h.proven = 0
	default:
	}
}

// restart ends all running requests. The upstream refuses connections for
// downFor; the upstream list shows the new boot when the view next changes.
func (h *history) restart() {
	h.boots++
	h.downUntil = h.now.Add(downFor)
	h.vm.Boot = almondstep.BootID(fmt.Sprint("boot", h.boots))
	for _, c := range h.calls {
		if c.runsUntil > h.now {
			c.runsUntil = h.now
		}
		if c.open {
			h.end(c, almondstep.CallBroken)
		}
	}
	h.proven = 0
}

// changeView changes the ownership, the grant or the upstream list. The list
// lags: its boot may be an older one.
func (h *history) changeView() {
	before := h.owned && h.grant == almondstep.GrantFull
	switch h.random.below(5) {
	case 0:
		h.owned = !h.owned
	case 1:
		h.grant = almondstep.Grant(h.random.below(3))
	case 2:
		h.owned, h.grant = true, almondstep.GrantFull
	case 3:
		h.vm.State = almondstep.VMLeaving
		if h.chance(50) {
			h.vm.State = almondstep.VMLive
			h.restart()
		}
	default:
	}
	after := h.owned && h.grant == almondstep.GrantFull
	if before && !after {
		h.lostGrantAt = h.now
	}
	if !before && after && h.now.Sub(h.lostGrantAt) >= almondstep.ColdAttemptTimeout {
		h.proven = 0
	}
	h.applyView()
}

// applyView changes to a view of the present state. The view always reports the
// upstream as warm, which must not make the owner send more.
func (h *history) applyView() {
	spec := almondstep.ViewSpec{Self: "d1"}
	if h.owned {
		spec.Owned = map[almondstep.Address]almondstep.OwnedUpstream{
			addr: almondstep.NewOwnedUpstream(h.vm, testSlots, 25, h.grant, almondstep.Warm),
		}
	}
	h.view = almondstep.NewView(spec)
	h.reduce(&almondstep.ViewChanged{})
}
