package querier

import (
	"almondstep"
	"almondstep/planner"
)

// failure says how a try ended without an answer to merge.
type failure struct {
	reason almondstep.Reason
	// notRun says that it is certain that the try never began.
	notRun bool
	// lostOwner says that the owner gave no answer, rather than the upstream.
	lostOwner bool
}

// failedTry is a shard whose try failed in the event being handled.
type failedTry struct {
	target  int
	failure failure
}

// costsNothing says whether a try that was refused for this reason left the
// upstream unharmed, so that asking elsewhere needs no token.
func (f failure) costsNothing() bool {
	return f.notRun && f.reason != almondstep.ReasonShed
}

// retryFailed asks again for the shards whose tries failed in this event.
func (q *Queries) retryFailed(qu *query) {
	s := &q.scratch
	for _, f := range s.failed {
		q.retryOrGiveUp(qu, f.target, f.failure)
	}
	s.failed = s.failed[:0]
	q.sendPicks(qu, false)
}

// retryOrGiveUp picks another replica for a shard without an open try, or
// notes that the shard is missing.
func (q *Queries) retryOrGiveUp(qu *query, target int, f failure) {
	if !q.retry(qu, target, f) {
		q.giveUp(qu, target, f.reason)
	}
}

func (q *Queries) retry(qu *query, target int, f failure) bool {
	sh := &qu.shards[target]
	if qu.stopped || sh.count >= maxTries || sh.begun >= maxBegun {
		return false
	}
	if qu.ask.once && !f.notRun {
		return false
	}
	want := q.wantFor(qu, target)
	want.WarmOnly = !f.notRun
	want.OtherOwner = f.lostOwner
	r, ok := planner.Repick(q.view, want)
	if !ok {
		return false
	}
	if f.costsNothing() || qu.ask.once {
		q.counters.Repicks++
		q.pick(qu, target, r)
		return true
	}
	if !q.budget.Take() {
		sh.unpaid = true
		return false
	}
	q.counters.Retries++
	q.pick(qu, target, r)
	return true
}

// hedge asks for shards at other replicas while their first tries go on.
func (q *Queries) hedge(qu *query, targets []int, otherOwner bool) {
	if qu.stopped || qu.ask.once || qu.stage != stageFanOut {
		return
	}
	for _, target := range targets {
		sh := &qu.shards[target]
		if sh.state != shardAsked || sh.picked || sh.count >= maxTries || sh.begun >= maxBegun {
			continue
		}
		want := q.wantFor(qu, target)
		want.WarmOnly = true
		want.OtherUpstream = true
		want.OtherOwner = otherOwner
		r, ok := planner.Repick(q.view, want)
		if !ok {
			continue
		}
		if !q.budget.Take() {
			break
		}
		q.counters.Hedges++
		q.pick(qu, target, r)
	}
	q.sendPicks(qu, true)
}

// wantFor describes a further try of a shard.
func (q *Queries) wantFor(qu *query, target int) planner.Want {
	sh := &qu.shards[target]
	tried := make([]planner.Tried, 0, maxTries)
	for i := range sh.count {
		at := &qu.attempts[sh.tries[i].attempt-1]
		tried = append(tried, planner.Tried{Upstream: at.items[sh.tries[i].item].Upstream, Owner: at.owner})
	}
	return planner.Want{
		Shard:   qu.plan.Targets()[target].Shard(),
		Version: qu.plan.Version(),
		Tried:   tried,
		Hash:    q.hash(qu, target+int(sh.count)),
	}
}

// giveUp notes that a shard will be missing from the answer.
func (q *Queries) giveUp(qu *query, target int, reason almondstep.Reason) {
	sh := &qu.shards[target]
	sh.state = shardMissing
	sh.reason = reason
	qu.missing++
	if qu.sent == 0 || sh.unpaid {
		return
	}
	if needsNewerPlan(reason) || !planner.Offered(q.view, qu.plan.Targets()[target].Shard(), qu.plan.Version()) {
		qu.outdated = true
	}
}

// needsNewerPlan says whether a shard is missing because its replicas have
// moved to another version or partitioning, perhaps.
func needsNewerPlan(r almondstep.Reason) bool {
	switch r {
	case almondstep.ReasonWrongVersion, almondstep.ReasonNotOwner, almondstep.ReasonNoReplica, almondstep.ReasonLeaving:
		return true
	default:
		return false
	}
}

// replan starts over at a newer version, once, if a shard can't be had at this
// one any more and there is time. Everything merged so far is dropped.
func (q *Queries) replan(qu *query) bool {
	if !qu.outdated || qu.replanned || qu.stopped || qu.ask.operation != "" || !q.timeToReplan(qu) {
		return false
	}
	plan := q.planner.Newer(q.view, qu.ask.service, qu.plan)
	if plan == nil {
		return false
	}
	qu.replanned = true
	qu.outdated = false
	q.counters.Replans++
	q.cancelAll(qu)
	qu.merged, qu.missing, qu.total = 0, 0, 0
	qu.records.Reset(qu.ask.limit)
	q.setPlan(qu, plan)
	q.fanOut(qu)
	return true
}

// timeToReplan says whether a second fan-out can end before the next deadline.
func (q *Queries) timeToReplan(qu *query) bool {
	deadline := qu.soft
	if qu.softPassed {
		deadline = qu.hard
	}
	return deadline.Sub(q.now) > qu.flushAfter
}
