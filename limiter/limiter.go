// Package limiter decides, at the daemon that owns an upstream, which requests
// the upstream gets and when.
//
// It is the only package that starts work at an upstream, so it enforces all
// bounds (slots, queue length, cold allowance) and makes all refusals. Nothing
// is sent for a refused request, so its outcome "not run" is certain.
//
// Example: an upstream with two slots restarts while it is busy.
//
//	AttemptEnded broken       -> cold, allowance 1; the item ends as crashed
//	ItemArrived q1, q2        -> StartAttempt q1; q2 is queued
//	AttemptEnded done, boot b -> MarkUpstream cold, boot b; StartAttempt q2
//	... a round of successes  -> allowance 2
//	... another round         -> MarkUpstream warm, boot b
package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// Config sets the limits. A zero field takes its default.
type Config struct {
	// Seed seeds the jitter of backoffs and liveness probes.
	Seed uint64
	// QueueLimit bounds the items queued for one upstream.
	QueueLimit int
	// MinRoundSuccesses sets the length of the rounds that raise a cold allowance:
	// a round at allowance n takes at least 3+n² times as many successes.
	MinRoundSuccesses int
	// InPartition reports whether an upstream belongs to this traffic thread; nil means
	// that all do.
	InPartition func(almondstep.Address) bool
}

const (
	defaultQueueLimit        = 2048
	defaultMinRoundSuccesses = 4
)

// Upstreams is the state of the upstreams of one traffic thread.
type Upstreams struct {
	cfg      Config
	random   almondstep.Random
	nextCall almondstep.CallID
	byAddr   map[almondstep.Address]*upstream
	// all has the upstreams of byAddr in an order that depends only on the events, so
	// that each replay handles a change of view in the same order.
	all      []*upstream
	services map[almondstep.ServiceName]*serviceLatency

	unused   []*entry
	starts   slab[almondstep.StartAttempt]
	finishes slab[almondstep.ItemFinished]
	timers   slab[almondstep.SetUpstreamTimer]
	entries  slab[entry]
}

// reduction is the state of one call of Reduce.
type reduction struct {
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

func (t *reduction) emit(e almondstep.Effect) {
	t.out = append(t.out, e)
}

// New returns the state of one traffic thread.
func New(cfg Config) *Upstreams {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.MinRoundSuccesses == 0 {
		cfg.MinRoundSuccesses = defaultMinRoundSuccesses
	}
	return &Upstreams{
		cfg:      cfg,
		random:   almondstep.NewRandom(cfg.Seed),
		byAddr:   make(map[almondstep.Address]*upstream),
		services: make(map[almondstep.ServiceName]*serviceLatency),
	}
}

// State describes one upstream, for operators and tests.
type State struct {
	Temperature almondstep.Temperature
	// Capacity is how many requests may be in flight: the allowance of a cold
	// upstream, the limit of a warm one, 0 for a lost or leaving one.
	Capacity int
	InFlight int
	Queued   int
}

// State returns the state of an upstream, and false if this traffic thread has
// no state of it.
func (u *Upstreams) State(addr almondstep.Address) (State, bool) {
	up := u.byAddr[addr]
	if up == nil {
		return State{}, false
	}
	return State{
		Temperature: up.warmup.temperature,
		Capacity:    up.warmup.capacity(),
		InFlight:    len(up.calls),
		Queued:      up.queue.count,
	}, true
}

// Len returns the number of upstreams of which this traffic thread has state.
func (u *Upstreams) Len() int { return len(u.all) }

// Reduce handles one event and appends the resulting effects to out. Events of
// other kinds than the limiter's, and ends of calls that it didn't start, are
// ignored.
func (u *Upstreams) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	t := reduction{now: now, view: v, out: out}
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
func (u *Upstreams) arrive(t *reduction, e *almondstep.ItemArrived) {
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
		u.finalize(t, up)
		return
	}
	en := u.newEntry()
	*en = entry{key: key, item: e.Item, work: e.Work, deadline: e.Deadline}
	up.entries[key] = en
	up.queue.push(en, shareOf(t.view, e.Work.Tenant))
	u.run(t, up)
	u.finalize(t, up)
}

// refusal returns the reason for refusing an arriving item, empty if it may be
// queued.
func (u *Upstreams) refusal(t *reduction, up *upstream, e *almondstep.ItemArrived) almondstep.Reason {
	if reason := up.closedReason(); reason != "" {
		return reason
	}
	if t.view.Quarantined(e.Work.Fingerprint) {
		return almondstep.ReasonQuarantined
	}
	if e.Deadline <= t.now {
		return almondstep.ReasonDeadline
	}
	if e.Work.Hedge && up.warmup.temperature != almondstep.Warm {
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

// waitIsTooLong reports whether the estimated wait behind the queued items
// exceeds the item's remaining time. An item that would be served next is always
// accepted, so that a wrong latency estimate is corrected by new samples.
func (u *Upstreams) waitIsTooLong(t *reduction, up *upstream, e *almondstep.ItemArrived) bool {
	ahead := up.queue.ahead(e.Work.Priority)
	if ahead == 0 {
		return false
	}
	wait := up.warmup.latency * time.Duration(ahead+1) / time.Duration(up.limit())
	return wait > e.Deadline.Sub(t.now)
}

// makeRoom sheds a queued item in favor of work w. It returns false if w itself
// should be shed.
func (u *Upstreams) makeRoom(t *reduction, up *upstream, w *almondstep.Work) bool {
	candidate := up.queue.shedCandidate(w.Priority, w.Tenant)
	if candidate == nil {
		return false
	}
	up.queue.remove(candidate)
	u.finish(t, up, candidate, almondstep.ItemNotRun, almondstep.ReasonShed)
	return true
}

// cancel drops a queued item, or cancels its call.
func (u *Upstreams) cancel(t *reduction, e *almondstep.ItemCanceled) {
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

// timer checks an upstream again: items may have expired, a backoff may be
// over, an abandoned call may have ended, a liveness probe may be due.
func (u *Upstreams) timer(t *reduction, e *almondstep.UpstreamTimer) {
	up := u.byAddr[e.Addr]
	if up == nil {
		return
	}
	if up.timerAt <= t.now.Add(timerSlack) {
		up.timerAt = 0
	}
	u.refresh(t, up)
	u.run(t, up)
	u.finalize(t, up)
}

// viewChanged checks every upstream under the new view.
func (u *Upstreams) viewChanged(t *reduction) {
	u.adoptLost(t)
	for i := len(u.all) - 1; i >= 0; i-- {
		up := u.all[i]
		u.refresh(t, up)
		u.run(t, up)
		u.finalize(t, up)
	}
}

// adoptLost creates the state of upstreams that the former owner marked as lost.
// No item arrives for a lost upstream, so without liveness probes from this
// owner it would stay lost.
func (u *Upstreams) adoptLost(t *reduction) {
	var lost []almondstep.Address
	for addr, o := range t.view.OwnedAll() {
		if o.Temperature() == almondstep.Lost && u.byAddr[addr] == nil && (u.cfg.InPartition == nil || u.cfg.InPartition(addr)) {
			lost = append(lost, addr)
		}
	}
	slices.Sort(lost)
	for _, addr := range lost {
		u.lookup(t, addr)
	}
}
