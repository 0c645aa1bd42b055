package limiter

import (
	"time"

	"almondstep"
)

// run drops what has expired or can't be served, and starts what may start.
func (u *Upstreams) run(t *turn, up *upstream) {
	if reason := up.closed(); reason != "" {
		u.refuseQueue(t, up, reason)
		return
	}
	for en := up.queue.expired(t.now); en != nil; en = up.queue.expired(t.now) {
		up.queue.remove(en)
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonDeadline)
	}
	for up.queue.count > 0 && up.mayStart(t.now) {
		en := up.queue.next()
		up.queue.served(en)
		u.startOrDrop(t, up, en)
	}
}

const (
	// startMargin is how many times the usual latency an item should have left to
	// be started, once more than half of its time is gone.
	startMargin = 2
	// leastTimeout is the least time worth sending a request for; upstreams are
	// told theirs in whole milliseconds.
	leastTimeout = time.Millisecond
)

// hopeless says that an item has too little time left to be started. One that
// has most of its time left needs only the usual latency, and where no answer
// has come for a while it is tried even so, so that a latency that is no longer
// true mends itself.
func (up *upstream) hopeless(now almondstep.Instant, en *entry, remaining time.Duration) bool {
	if remaining < leastTimeout {
		return true
	}
	if remaining >= startMargin*up.warmth.latency {
		return false
	}
	const half = 2
	if remaining < en.work.Remaining/half {
		return true
	}
	tried := up.fresh(now) || len(up.calls) > 0
	return tried && remaining < up.warmth.latency
}

// startOrDrop starts an item that has its turn, unless it would be a waste.
func (u *Upstreams) startOrDrop(t *turn, up *upstream, en *entry) {
	remaining := en.deadline.Sub(t.now)
	switch {
	case t.view.Quarantined(en.work.Fingerprint):
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonQuarantined)
	case en.work.Hedge && up.warmth.temperature != almondstep.Warm:
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonCold)
	case up.hopeless(t.now, en, remaining):
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonDeadline)
	default:
		u.start(t, up, en, remaining)
	}
}

func (u *Upstreams) start(t *turn, up *upstream, en *entry, timeout time.Duration) {
	if !up.surelyWarm(t.now) {
		timeout = min(timeout, almondstep.ColdAttemptTimeout)
	}
	u.register(t, up, en, timeout)
	up.lastShard = en.item.Shard
	up.lastVer = en.work.Version
	s := u.starts.next()
	*s = almondstep.StartAttempt{
		Addr:        up.addr,
		Call:        en.call,
		Shard:       en.item.Shard,
		Version:     en.work.Version,
		Text:        en.work.Text,
		Limit:       en.work.Limit,
		Operation:   en.work.Operation,
		Idempotent:  en.work.Repeatable(),
		Timeout:     timeout,
		Connections: up.connections,
	}
	t.emit(s)
}

// register books a request as in flight.
func (u *Upstreams) register(t *turn, up *upstream, en *entry, timeout time.Duration) {
	u.nextCall++
	en.call = u.nextCall
	en.startedAt = t.now
	en.endsBy = t.now.Add(timeout)
	up.calls = append(up.calls, en)
	en.capacity = up.warmth.capacity()
	if len(up.calls) >= en.capacity {
		for _, c := range up.calls {
			c.full = true
		}
	}
}

// refuseQueue refuses all that waits.
func (u *Upstreams) refuseQueue(t *turn, up *upstream, reason almondstep.Reason) {
	for en := up.queue.next(); en != nil; en = up.queue.next() {
		up.queue.remove(en)
		u.finish(t, up, en, almondstep.ItemNotRun, reason)
	}
}

// refuseArrival refuses an item that was never queued.
func (u *Upstreams) refuseArrival(t *turn, e *almondstep.ItemArrived, reason almondstep.Reason) {
	f := u.finishes.next()
	f.ID = e.Work.Query
	f.Attempt = e.Work.Attempt
	f.Answer = almondstep.ItemAnswer{Item: e.Item, Outcome: almondstep.ItemNotRun, Reason: reason}
	t.emit(f)
}

// finish ends an item without records.
func (u *Upstreams) finish(t *turn, up *upstream, en *entry, outcome almondstep.ItemOutcome, reason almondstep.Reason) {
	answer := almondstep.ItemAnswer{Item: en.item, Outcome: outcome, Reason: reason}
	u.finishWith(t, up, en, answer, nil)
}

// finishWith ends an item, which must be neither queued nor in flight any more.
func (u *Upstreams) finishWith(t *turn, up *upstream, en *entry, answer almondstep.ItemAnswer, records []almondstep.Record) {
	f := u.finishes.next()
	f.ID = en.work.Query
	f.Attempt = en.work.Attempt
	f.Answer = answer
	f.Records = records
	t.emit(f)
	delete(up.entries, en.key)
	u.freeEntry(en)
}

// settle ends a turn of an upstream: the control thread is told of a new
// temperature, the next look is timed, and state no longer needed is freed.
func (u *Upstreams) settle(t *turn, up *upstream) {
	u.tellMark(t, up)
	u.prove(t, up)
	if !up.owned && len(up.calls) == 0 && up.busy(t.now) == 0 {
		u.evict(up)
		return
	}
	u.arm(t, up)
}

func (u *Upstreams) tellMark(t *turn, up *upstream) {
	m := mark{temperature: up.warmth.temperature, boot: up.boot}
	if m == up.marked || !up.owned {
		return
	}
	up.marked = m
	t.emit(&almondstep.MarkUpstream{Addr: up.addr, Boot: up.boot, Temperature: m.temperature})
}

// evict forgets an upstream that another daemon owns.
func (u *Upstreams) evict(up *upstream) {
	delete(u.byAddr, up.addr)
	last := len(u.all) - 1
	for i, other := range u.all {
		if other == up {
			u.all[i] = u.all[last]
			u.all[last] = nil
			u.all = u.all[:last]
			return
		}
	}
}

// timerSlack is how early or late a timer may come and still be the one set.
const timerSlack = 10 * time.Millisecond

// arm asks for a timer if one is needed before the one that is set.
func (u *Upstreams) arm(t *turn, up *upstream) {
	at := up.wakeAt(t.now)
	set := up.timerAt != 0 && t.now <= up.timerAt.Add(timerSlack)
	if at == 0 || (set && up.timerAt <= at) {
		return
	}
	up.timerAt = at
	s := u.timers.next()
	s.Addr = up.addr
	s.What = almondstep.TimerQueue
	s.After = at.Sub(t.now)
	t.emit(s)
}

// wakeAt is when the upstream must be looked at without another event; 0 if
// never.
func (up *upstream) wakeAt(now almondstep.Instant) almondstep.Instant {
	up.forgetGhosts(now)
	at := up.queue.earliest()
	lost := up.warmth.temperature == almondstep.Lost
	if !up.owned || lost || up.queue.count > 0 {
		for _, g := range up.ghosts {
			if end := up.endOf(g); end > now {
				at = sooner(at, end)
			}
		}
	}
	if up.pauseUntil > now && (up.queue.count > 0 || lost) {
		at = sooner(at, up.pauseUntil)
	}
	return at
}

// sooner is the earlier of two instants, of which 0 is none.
func sooner(a, b almondstep.Instant) almondstep.Instant {
	if a == 0 || b < a {
		return b
	}
	return a
}
