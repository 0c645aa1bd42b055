package limiter

import (
	"time"

	"almondstep"
)

// run drops queued items that have expired or can't be served, and starts those
// that may start.
func (u *Upstreams) run(t *reduction, up *upstream) {
	if reason := up.closedReason(); reason != "" {
		u.refuseQueue(t, up, reason)
		return
	}
	for en := up.queue.expired(t.now); en != nil; en = up.queue.expired(t.now) {
		up.queue.remove(en)
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonDeadline)
	}
	for up.queue.count > 0 && up.mayStart(t.now) {
		en := up.queue.next()
		up.queue.dequeue(en)
		u.startOrDrop(t, up, en)
	}
}

const (
	// startMargin is how many times the usual latency an item must have left to
	// be started once more than half of its time is over.
	startMargin = 2
	// minTimeout is the shortest timeout that a request is sent with; upstreams
	// receive their timeout in whole milliseconds.
	minTimeout = time.Millisecond
)

// tooLate reports whether an item has too little time left to be started. An
// item that still has at least half of its time needs only the usual latency,
// and not even that if the upstream hasn't answered lately and nothing is in
// flight: its answer then corrects an outdated latency estimate.
func (up *upstream) tooLate(now almondstep.Instant, en *entry, remaining time.Duration) bool {
	if remaining < minTimeout {
		return true
	}
	if remaining >= startMargin*up.warmup.latency {
		return false
	}
	const half = 2
	if remaining < en.work.Remaining/half {
		return true
	}
	tried := up.fresh(now) || len(up.calls) > 0
	return tried && remaining < up.warmup.latency
}

// startOrDrop starts a dequeued item, or drops it if it is quarantined, a hedge
// at an upstream that isn't warm, or too late.
func (u *Upstreams) startOrDrop(t *reduction, up *upstream, en *entry) {
	remaining := en.deadline.Sub(t.now)
	switch {
	case t.view.Quarantined(en.work.Fingerprint):
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonQuarantined)
	case en.work.Hedge && up.warmup.temperature != almondstep.Warm:
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonCold)
	case up.tooLate(t.now, en, remaining):
		u.finish(t, up, en, almondstep.ItemNotRun, almondstep.ReasonDeadline)
	default:
		u.start(t, up, en, remaining)
	}
}

func (u *Upstreams) start(t *reduction, up *upstream, en *entry, timeout time.Duration) {
	if !up.confirmedWarm(t.now) {
		timeout = min(timeout, almondstep.ColdAttemptTimeout)
	}
	u.register(t, up, en, timeout)
	up.lastShard = en.item.Shard
	up.lastVersion = en.work.Version
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

// register records a request as in flight.
func (u *Upstreams) register(t *reduction, up *upstream, en *entry, timeout time.Duration) {
	u.nextCall++
	en.call = u.nextCall
	en.startedAt = t.now
	en.endsBy = t.now.Add(timeout)
	up.calls = append(up.calls, en)
	en.capacity = up.warmup.capacity()
	if len(up.calls) >= en.capacity {
		for _, c := range up.calls {
			c.full = true
		}
	}
}

// refuseQueue refuses all queued items.
func (u *Upstreams) refuseQueue(t *reduction, up *upstream, reason almondstep.Reason) {
	for en := up.queue.next(); en != nil; en = up.queue.next() {
		up.queue.remove(en)
		u.finish(t, up, en, almondstep.ItemNotRun, reason)
	}
}

// refuseArrival refuses an item that was never queued.
func (u *Upstreams) refuseArrival(t *reduction, e *almondstep.ItemArrived, reason almondstep.Reason) {
	f := u.finishes.next()
	f.ID = e.Work.Query
	f.Attempt = e.Work.Attempt
	f.Answer = almondstep.ItemAnswer{Item: e.Item, Outcome: almondstep.ItemNotRun, Reason: reason}
	t.emit(f)
}

// finish ends an item without records.
func (u *Upstreams) finish(t *reduction, up *upstream, en *entry, outcome almondstep.ItemOutcome, reason almondstep.Reason) {
	answer := almondstep.ItemAnswer{Item: en.item, Outcome: outcome, Reason: reason}
	u.finishWith(t, up, en, answer, nil)
}

// finishWith ends an item, which must be neither queued nor in flight any more.
func (u *Upstreams) finishWith(t *reduction, up *upstream, en *entry, answer almondstep.ItemAnswer, records []almondstep.Record) {
	f := u.finishes.next()
	f.ID = en.work.Query
	f.Attempt = en.work.Attempt
	f.Answer = answer
	f.Records = records
	t.emit(f)
	delete(up.entries, en.key)
	u.freeEntry(en)
}

// finalize completes the handling of an event for an upstream: it reports a
// changed temperature or boot to the control thread, sends a liveness probe if
// one is due, and sets the next timer or removes state that is no longer needed.
func (u *Upstreams) finalize(t *reduction, up *upstream) {
	u.reportMark(t, up)
	u.probe(t, up)
	if !up.owned && len(up.calls) == 0 && up.busy(t.now) == 0 {
		u.evict(up)
		return
	}
	u.armTimer(t, up)
}

func (u *Upstreams) reportMark(t *reduction, up *upstream) {
	m := mark{temperature: up.warmup.temperature, boot: up.boot}
	if m == up.marked || !up.owned {
		return
	}
	up.marked = m
	t.emit(&almondstep.MarkUpstream{Addr: up.addr, Boot: up.boot, Temperature: m.temperature})
}

// evict removes the state of an upstream that this daemon no longer owns.
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

// timerSlack is how early or late a timer event may arrive and still count as
// the one that was set.
const timerSlack = 10 * time.Millisecond

// armTimer requests a timer if one is needed before the one that is set.
func (u *Upstreams) armTimer(t *reduction, up *upstream) {
	at := up.nextTimerAt(t.now)
	set := up.timerAt != 0 && t.now <= up.timerAt.Add(timerSlack)
	if at == 0 || (set && up.timerAt <= at) {
		return
	}
	up.timerAt = at
	s := u.timers.next()
	s.Addr = up.addr
	s.Purpose = almondstep.TimerQueue
	s.After = at.Sub(t.now)
	t.emit(s)
}

// nextTimerAt returns when the upstream must be checked again if no event
// arrives before; 0 if never.
func (up *upstream) nextTimerAt(now almondstep.Instant) almondstep.Instant {
	up.pruneAbandoned(now)
	at := up.queue.earliest()
	lost := up.warmup.temperature == almondstep.Lost
	if !up.owned || lost || up.queue.count > 0 {
		for _, c := range up.abandoned {
			if end := up.countedUntil(c); end > now {
				at = earlier(at, end)
			}
		}
	}
	if up.backoffUntil > now && (up.queue.count > 0 || lost) {
		at = earlier(at, up.backoffUntil)
	}
	return at
}

// earlier returns the earlier of two instants, of which 0 means none.
func earlier(a, b almondstep.Instant) almondstep.Instant {
	if a == 0 || b < a {
		return b
	}
	return a
}
