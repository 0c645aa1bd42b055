package limiter

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
)

// ghostMargin covers the way of a request: its time starts at the upstream a
// little later than here.
const ghostMargin = 50 * time.Millisecond

// cancelMargin is how long the word that a request is no longer wanted takes to
// stop it. Upstreams accept cancellation; only a cold one is not trusted with it,
// since it may be too slow to notice.
const cancelMargin = 10 * time.Millisecond

// ghostsKept bounds the ghosts of one upstream, which is far over any slots.
const ghostsKept = 256

// attemptEnded learns from the end of a call, ends its item and goes on.
func (u *Upstreams) attemptEnded(t *turn, e *almondstep.AttemptEnded) {
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
	u.suspect(t, up, e.Result)
	up.calls = slices.Delete(up.calls, i, i+1)
	up.haunt(t.now, en, e.Result)
	up.noteAnswer(t.now, e)
	u.noteBoot(t, up, e.Boot)
	up.acquit(en, e)
	u.learn(t, up, en, e)
	u.conclude(t, up, en, e)
	u.run(t, up)
	u.settle(t, up)
}

// noteAnswer notes when the upstream last answered.
func (up *upstream) noteAnswer(now almondstep.Instant, e *almondstep.AttemptEnded) {
	switch e.Result {
	case almondstep.CallDone, almondstep.CallShed, almondstep.CallRejected, almondstep.CallWrongVersion:
		up.answeredAt = now
	default:
	}
}

// ghost is a request that this daemon no longer waits for.
type ghost struct {
	// heeded is when a cancellation must have stopped it, if it was heeded.
	heeded almondstep.Instant
	// ended is when it has ended whatever was heeded.
	ended almondstep.Instant
}

// haunt remembers a request that this daemon no longer waits for and that may
// still run at the upstream.
func (up *upstream) haunt(now almondstep.Instant, en *entry, r almondstep.CallResult) {
	switch r {
	case almondstep.CallBroken, almondstep.CallTimeout, almondstep.CallCanceled:
	default:
		return
	}
	g := ghost{heeded: en.endsBy.Add(ghostMargin), ended: en.endsBy.Add(ghostMargin)}
	if r == almondstep.CallCanceled {
		g.heeded = min(g.heeded, now.Add(cancelMargin))
	}
	if g.ended <= now {
		return
	}
	if len(up.ghosts) >= ghostsKept {
		soonest := slices.MinFunc(up.ghosts, func(a, b ghost) int { return cmp.Compare(a.ended, b.ended) })
		up.ghosts = slices.Delete(up.ghosts, slices.Index(up.ghosts, soonest), slices.Index(up.ghosts, soonest)+1)
	}
	up.ghosts = append(up.ghosts, g)
}

// learn takes what the end of a call shows of the upstream.
func (u *Upstreams) learn(t *turn, up *upstream, en *entry, e *almondstep.AttemptEnded) {
	w := &up.warmth
	bound := up.pace.bound(up.dialTime)
	switch e.Result {
	case almondstep.CallDone:
		if en.proof || e.Cold {
			w.answered()
			break
		}
		w.success(sample{took: e.Took, capacity: en.capacity, full: en.full}, up.pace, bound, u.cfg.ColdRound)
	case almondstep.CallShed:
		w.shed()
		u.pause(t, up, w.sheds)
	case almondstep.CallRejected, almondstep.CallWrongVersion:
		w.answered()
	case almondstep.CallRefused:
		w.refuse()
		u.reportSuspects(t, up)
	case almondstep.CallBroken:
		w.broke(t.now)
	case almondstep.CallTimeout:
		w.unanswered(t.now, en.endsBy.Sub(en.startedAt) >= bound)
	case almondstep.CallCanceled:
	}
	if e.Cold {
		w.hinted()
	}
	if e.Leaving {
		w.temperature = almondstep.Leaving
	}
}

const (
	// shedPause is how long an upstream that sheds its only request is left
	// alone at first; it doubles up to shedPauseDoublings times.
	shedPause          = 5 * time.Millisecond
	shedPauseDoublings = 6
)

// pause leaves an upstream alone that sheds although it has next to nothing.
func (u *Upstreams) pause(t *turn, up *upstream, sheds int) {
	if up.warmth.capacity() > 1 {
		return
	}
	d := shedPause << min(sheds-1, shedPauseDoublings)
	up.pauseUntil = t.now.Add(u.jitter(d))
}

// jitter gives a time between a half of d and d.
func (u *Upstreams) jitter(d time.Duration) time.Duration {
	const half = 2
	return d/half + time.Duration(u.random.Next()%uint64(d/half+1))
}

// conclude ends the item of a call.
func (u *Upstreams) conclude(t *turn, up *upstream, en *entry, e *almondstep.AttemptEnded) {
	if en.proof {
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

// outcomeOf says what the end of a call means for its item. A request that
// isn't idempotent and may have run is unknown, whatever happened to it.
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
		return mayHaveRun(e.Result, en)
	}
}

func mayHaveRun(r almondstep.CallResult, en *entry) (almondstep.ItemOutcome, almondstep.Reason) {
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
