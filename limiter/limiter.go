// Package limiter decides, at the one daemon that owns an upstream, which
// requests the upstream gets and when.
//
// It is the only place that starts work at an upstream, so every bound is held
// here: the slots, the queue, the cold allowance and the refusals. A request
// that isn't started is refused before it costs anything, and the refusal says
// "not run" truthfully.
//
// A worked example: an upstream with two slots restarts while it is busy.
//
//	AttemptEnded broken       -> cold, allowance 1; the item is told it crashed
//	ItemArrived q1, q2        -> StartAttempt q1; q2 is queued
//	AttemptEnded done, boot b -> MarkUpstream cold, boot b; StartAttempt q2
//	... a round of successes  -> allowance 2
//	... another round         -> MarkUpstream warm
package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// Config sets the limits. A zero field takes its default.
type Config struct {
	// Seed makes the jitter of pauses and proofs of life.
	Seed uint64
	// QueueLimit bounds the items that wait for one upstream.
	QueueLimit int
	// ColdRound is the least number of successes in a round that raises a cold
	// allowance.
	ColdRound int
	// Has says which upstreams belong to this traffic thread; nil means all.
	Has func(almondstep.Address) bool
}

const (
	defaultQueueLimit = 2048
	defaultColdRound  = 4
)

// Upstreams is the state of the upstreams of one traffic thread.
type Upstreams struct {
	cfg      Config
	random   almondstep.Random
	nextCall almondstep.CallID
	byAddr   map[almondstep.Address]*upstream
	// all has the upstreams in the order in which they came, so that a change of
	// view is handled in the same order in each replay.
	all      []*upstream
	services map[almondstep.ServiceName]*pace

	unused   []*entry
	starts   slab[almondstep.StartAttempt]
	finishes slab[almondstep.ItemFinished]
	timers   slab[almondstep.SetUpstreamTimer]
	entries  slab[entry]
}

// turn is what one call of Reduce works with.
type turn struct {
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

func (t *turn) emit(e almondstep.Effect) {
	t.out = append(t.out, e)
}

// New makes the state of one traffic thread.
func New(cfg Config) *Upstreams {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.ColdRound == 0 {
		cfg.ColdRound = defaultColdRound
	}
	return &Upstreams{
		cfg:      cfg,
		random:   almondstep.NewRandom(cfg.Seed),
		byAddr:   make(map[almondstep.Address]*upstream),
		services: make(map[almondstep.ServiceName]*pace),
	}
}

// State is what the limiter knows of one upstream, for operators and tests.
type State struct {
	Temperature almondstep.Temperature
	// Capacity is how many requests may be in flight: the allowance of a cold
	// upstream, the limit of a warm one.
	Capacity int
	InFlight int
	Queued   int
}

// State describes an upstream; false if it isn't known here.
func (u *Upstreams) State(addr almondstep.Address) (State, bool) {
	up := u.byAddr[addr]
	if up == nil {
		return State{}, false
	}
	return State{
		Temperature: up.warmth.temperature,
		Capacity:    up.warmth.capacity(),
		InFlight:    len(up.calls),
		Queued:      up.queue.count,
	}, true
}

// Len is the number of upstreams known here.
func (u *Upstreams) Len() int { return len(u.all) }

// Reduce takes one event and appends what is to be done to out. An event of
// another partition is ignored.
func (u *Upstreams) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	t := turn{now: now, view: v, out: out}
	switch e := e.(type) {
	case *almondstep.ItemArrived:
		u.arrive(&t, e)
	case *almondstep.ItemCanceled:
		u.cancel(&t, e)
	case *almondstep.AttemptEnded:
		u.attemptEnded(&t, e)
	case *almondstep.UpstreamTimer:
		u.timer(&t, e)
	case *almondstep.ViewChanged:
		u.viewChanged(&t)
	}
	return t.out
}

// arrive queues an item, or refuses it.
func (u *Upstreams) arrive(t *turn, e *almondstep.ItemArrived) {
	up := u.lookup(t, e.Item.Upstream)
	if up == nil {
		u.refuseArrival(t, e, almondstep.ReasonNotOwner)
		return
	}
	u.refresh(t, up)
	key := keyOf(e.Work.Query, e.Work.Attempt, e.Item)
	if _, repeated := up.entries[key]; repeated {
		return
	}
	if reason := u.refusal(t, up, e); reason != "" {
		u.refuseArrival(t, e, reason)
		u.settle(t, up)
		return
	}
	en := u.newEntry()
	*en = entry{key: key, item: e.Item, work: e.Work, deadline: e.Deadline}
	up.entries[key] = en
	up.queue.push(en, shareOf(t.view, e.Work.Tenant))
	u.run(t, up)
	u.settle(t, up)
}

// refusal says why an arriving item can't be queued; empty if it can.
func (u *Upstreams) refusal(t *turn, up *upstream, e *almondstep.ItemArrived) almondstep.Reason {
	if reason := up.closed(); reason != "" {
		return reason
	}
	if t.view.Quarantined(e.Work.Fingerprint) {
		return almondstep.ReasonQuarantined
	}
	if e.Deadline <= t.now {
		return almondstep.ReasonDeadline
	}
	if e.Work.Hedge && up.warmth.temperature != almondstep.Warm {
		return almondstep.ReasonCold
	}
	if u.waitIsTooLong(t, up, e) {
		return almondstep.ReasonShed
	}
	if up.queue.count >= u.cfg.QueueLimit && !u.makeRoom(t, up, e.Work) {
		return almondstep.ReasonShed
	}
	return ""
}

// waitIsTooLong says that the items before this one would take all of its time.
// An empty queue always takes an item, so that a wrong estimate mends itself.
func (u *Upstreams) waitIsTooLong(t *turn, up *upstream, e *almondstep.ItemArrived) bool {
	ahead := up.queue.ahead(e.Work.Priority)
	if ahead == 0 {
		return false
	}
	wait := up.warmth.latency * time.Duration(ahead+1) / time.Duration(up.limit())
	return wait > e.Deadline.Sub(t.now)
}

// makeRoom sheds a queued item that matters less than one of w. It returns
// false if there is none.
func (u *Upstreams) makeRoom(t *turn, up *upstream, w *almondstep.Work) bool {
	victim := up.queue.leastWanted(w.Priority, w.Tenant)
	if victim == nil {
		return false
	}
	up.queue.remove(victim)
	u.finish(t, up, victim, almondstep.ItemNotRun, almondstep.ReasonShed)
	return true
}

// cancel drops a queued item, or cancels its call.
func (u *Upstreams) cancel(t *turn, e *almondstep.ItemCanceled) {
	up := u.byAddr[e.Item.Upstream]
	if up == nil {
		return
	}
	en := up.entries[keyOf(e.ID, e.Attempt, e.Item)]
	if en == nil || en.canceled {
		return
	}
	if en.call == 0 {
		up.queue.remove(en)
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonCanceled)
		return
	}
	en.canceled = true
	t.emit(&almondstep.CancelAttempt{Addr: up.addr, Call: en.call})
}

// timer looks at an upstream again: items may have expired, a pause may be
// over, a canceled call may have run out, a proof of life may be due.
func (u *Upstreams) timer(t *turn, e *almondstep.UpstreamTimer) {
	up := u.byAddr[e.Addr]
	if up == nil {
		return
	}
	if up.timerAt <= t.now.Add(timerSlack) {
		up.timerAt = 0
	}
	u.refresh(t, up)
	u.run(t, up)
	u.settle(t, up)
}

// viewChanged looks at every upstream under the new view.
func (u *Upstreams) viewChanged(t *turn) {
	u.adoptLost(t)
	for i := len(u.all) - 1; i >= 0; i-- {
		up := u.all[i]
		u.refresh(t, up)
		u.run(t, up)
		u.settle(t, up)
	}
}

// adoptLost takes over upstreams that the former owner had lost. No item would
// come for them, and without a proof of life they would stay lost.
func (u *Upstreams) adoptLost(t *turn) {
	var lost []almondstep.Address
	for addr, o := range t.view.OwnedAll() {
		if o.Temperature() == almondstep.Lost && u.byAddr[addr] == nil && (u.cfg.Has == nil || u.cfg.Has(addr)) {
			lost = append(lost, addr)
		}
	}
	slices.Sort(lost)
	for _, addr := range lost {
		u.lookup(t, addr)
	}
}
