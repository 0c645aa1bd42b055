package limiter

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
)

// transitMargin covers the transit time of a request: its timeout starts at the
// upstream a little later than here.
const transitMargin = 50 * time.Millisecond

// cancelMargin is the time in which a cancellation stops a request at a warm
// upstream. At a cold one cancellation isn't relied on, since the upstream may be
// too slow to handle it.
const cancelMargin = 10 * time.Millisecond

// maxAbandoned bounds the abandoned calls recorded of one upstream, to bound the
// memory; the one that ends first is dropped for a new one. It is above the
// usual numbers of slots, though up to 1,024 can be configured.
const maxAbandoned = 256

// attemptEnded updates the upstream's state from the end of a call, ends the
// call's item and starts queued items.
func (u *Upstreams) attemptEnded(t *reduction, e *almondstep.AttemptEnded) {
	up := u.byAddr[e.Addr]
	if up == nil {
		return
	}
	i := slices.IndexFunc(up.calls, func(en *entry) bool { return en.call == e.Call })
	if i < 0 {
		return
	}
	en := up.calls[i]
	u.refresh(t, up)
	u.addSuspects(t, up, e.Result)
	up.calls = slices.Delete(up.calls, i, i+1)
	up.addAbandoned(t.now, en, e.Result)
	up.noteAnswer(t.now, e)
	u.noteBoot(t, up, e.Boot)
	up.clearSuspects(en, e)
	u.updateWarmup(t, up, en, e)
	u.finishCall(t, up, en, e)
	u.run(t, up)
	u.finalize(t, up)
}

// noteAnswer records when the upstream last answered.
func (up *upstream) noteAnswer(now almondstep.Instant, e *almondstep.AttemptEnded) {
	switch e.Result {
	case almondstep.CallDone, almondstep.CallShed, almondstep.CallRejected, almondstep.CallWrongVersion:
		up.answeredAt = now
	default:
	}
}

// abandonedCall is a request that this daemon no longer waits for.
type abandonedCall struct {
	// canceledBy is when a cancellation must have stopped it, if the upstream
	// handles cancellations; endedBy if the call wasn't canceled.
	canceledBy almondstep.Instant
	// endedBy is when it must have ended even without a cancellation.
	endedBy almondstep.Instant
}

// addAbandoned records a call that this daemon no longer waits for and that may
// still run at the upstream.
func (up *upstream) addAbandoned(now almondstep.Instant, en *entry, r almondstep.CallResult) {
	switch r {
	case almondstep.CallBroken, almondstep.CallTimeout, almondstep.CallCanceled:
	default:
		return
	}
	c := abandonedCall{canceledBy: en.endsBy.Add(transitMargin), endedBy: en.endsBy.Add(transitMargin)}
	if r == almondstep.CallCanceled {
		c.canceledBy = min(c.canceledBy, now.Add(cancelMargin))
	}
	if c.endedBy <= now {
		return
	}
	if len(up.abandoned) >= maxAbandoned {
		soonest := slices.MinFunc(up.abandoned, func(a, b abandonedCall) int { return cmp.Compare(a.endedBy, b.endedBy) })
		up.abandoned = slices.Delete(up.abandoned, slices.Index(up.abandoned, soonest), slices.Index(up.abandoned, soonest)+1)
	}
	up.abandoned = append(up.abandoned, c)
}

// updateWarmup updates the warm-up state from the end of a call.
func (u *Upstreams) updateWarmup(t *reduction, up *upstream, en *entry, e *almondstep.AttemptEnded) {
	w := &up.warmup
	bound := up.serviceLatency.bound(up.dialTime)
	switch e.Result {
	case almondstep.CallDone:
		if en.probe || e.Cold {
			w.answered()
			break
		}
		w.completed(sample{took: e.Took, capacity: en.capacity, full: en.full}, up.serviceLatency, bound, u.cfg.MinRoundSuccesses)
	case almondstep.CallShed:
		w.shed()
		u.backOff(t, up, w.shedsInRow)
	case almondstep.CallRejected, almondstep.CallWrongVersion:
		w.answered()
	case almondstep.CallRefused:
		w.connectionRefused()
		u.reportSuspects(t, up)
	case almondstep.CallBroken:
		w.connectionBroken(t.now)
	case almondstep.CallTimeout:
		w.unanswered(t.now, en.endsBy.Sub(en.startedAt) >= bound)
	case almondstep.CallCanceled:
	}
	if e.Cold {
		w.coldHint()
	}
	if e.Leaving {
		w.temperature = almondstep.Leaving
	}
}

const (
	// shedBackoff is the first backoff of an upstream that sheds its only
	// request; it doubles up to maxShedDoublings times.
	shedBackoff      = 5 * time.Millisecond
	maxShedDoublings = 6
)

// backOff puts the upstream into backoff if it sheds although it gets at most
// one request at a time. The number of sheds in a row sets the duration.
func (u *Upstreams) backOff(t *reduction, up *upstream, sheds int) {
	if up.warmup.capacity() > 1 {
		return
	}
	d := shedBackoff << min(sheds-1, maxShedDoublings)
	up.backoffUntil = t.now.Add(u.jitter(d))
}

// jitter returns a random duration between d/2 and d.
func (u *Upstreams) jitter(d time.Duration) time.Duration {
	const half = 2
	return d/half + time.Duration(u.random.Next()%uint64(d/half+1))
}

// finishCall ends the item of a call.
func (u *Upstreams) finishCall(t *reduction, up *upstream, en *entry, e *almondstep.AttemptEnded) {
	if en.probe {
		u.freeEntry(en)
		return
	}
	answer := almondstep.ItemAnswer{Item: en.item, Took: e.Took}
	answer.Outcome, answer.Reason = outcomeOf(e, en)
	if answer.Outcome != almondstep.ItemDone {
		u.finishWith(t, up, en, answer, nil)
		return
	}
	answer.Total = e.Total
	u.finishWith(t, up, en, answer, e.Records)
}

// outcomeOf returns the outcome of an ended call's item, and the reason.
func outcomeOf(e *almondstep.AttemptEnded, en *entry) (almondstep.ItemOutcome, almondstep.Reason) {
	switch e.Result {
	case almondstep.CallDone:
		if en.work.Operation == "" && e.Version != en.work.Version {
			return almondstep.ItemWrongVersion, almondstep.ReasonWrongVersion
		}
		return almondstep.ItemDone, ""
	case almondstep.CallShed:
		return almondstep.ItemNotRun, almondstep.ReasonShed
	case almondstep.CallRefused:
		return almondstep.ItemNotRun, almondstep.ReasonUnreachable
	case almondstep.CallWrongVersion:
		return almondstep.ItemWrongVersion, almondstep.ReasonWrongVersion
	case almondstep.CallRejected:
		return almondstep.ItemFailed, almondstep.ReasonFailed
	default:
		return uncertainOutcome(e.Result, en)
	}
}

// uncertainOutcome is outcomeOf for a call without an answer, whose request may
// have run. The outcome is unknown if the request isn't idempotent or was
// canceled.
func uncertainOutcome(r almondstep.CallResult, en *entry) (almondstep.ItemOutcome, almondstep.Reason) {
	reason := almondstep.ReasonFailed
	switch r {
	case almondstep.CallTimeout:
		reason = almondstep.ReasonDeadline
	case almondstep.CallCanceled:
		reason = almondstep.ReasonCanceled
	case almondstep.CallBroken:
		reason = almondstep.ReasonCrashed
	}
	switch {
	case !en.work.Repeatable() || r == almondstep.CallCanceled:
		return almondstep.ItemUnknown, reason
	case r == almondstep.CallBroken:
		return almondstep.ItemCrashed, reason
	default:
		return almondstep.ItemFailed, reason
	}
}
