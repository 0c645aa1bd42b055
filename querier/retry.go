package querier

import (
	"almondstep"
	"almondstep/planner"
)

// failure describes how a try ended without an answer to merge.
type failure struct {
	reason almondstep.Reason
	// notRun is set if the try certainly never began.
	notRun bool
	// lostOwner is set if it was the owner that didn't answer, not the upstream.
	lostOwner bool
}

// failedTry is a shard whose try failed in the event being handled.
type failedTry struct {
	target  int
	failure failure
}

// needsNoToken reports whether a try refused for this reason put no load on an
// upstream, so that a retry elsewhere needs no token.
func (f failure) needsNoToken() bool {
	return f.notRun && f.reason != almondstep.ReasonShed
}

// retryFailed retries the shards whose tries failed in this event.
func (q *Queries) retryFailed(qu *query) {
	s := &q.scratch
	for _, f := range s.failed {
		q.retryOrMarkMissing(qu, f.target, f.failure)
	}
	s.failed = s.failed[:0]
	q.sendPicks(qu, false)
}

// retryOrMarkMissing picks another replica for a shard without an open try, or
// marks the shard as missing.
func (q *Queries) retryOrMarkMissing(qu *query, target int, f failure) {
	if !q.retry(qu, target, f) {
		q.markMissing(qu, target, f.reason)
	}
}

// retry queues another try of a shard. It returns false if the shard may not be
// tried again, no suitable replica is left or the budget has no token. A request
// that is not idempotent is retried only if the failed try certainly didn't run.
func (q *Queries) retry(qu *query, target int, f failure) bool {
	sh := &qu.shards[target]
	if qu.stopped || sh.tryCount >= maxTries || sh.begun >= maxBegun {
		return false
	}
	if qu.request.atMostOnce && !f.notRun {
		return false
	}
	want := q.repickRequest(qu, target)
	want.WarmOnly = !f.notRun
	want.OtherOwner = f.lostOwner
	r, ok := planner.Repick(q.view, want)
	if !ok {
		return false
	}
	if f.needsNoToken() || qu.request.atMostOnce {
		q.counters.Repicks++
		q.pick(qu, target, r)
		return true
	}
	if !q.budget.Take() {
		sh.outOfTokens = true
		return false
	}
	q.counters.Retries++
	q.pick(qu, target, r)
	return true
}

// hedge requests shards from other replicas while their earlier tries are open. If
// otherOwner is set, these replicas have owners that have not been tried.
func (q *Queries) hedge(qu *query, targets []int, otherOwner bool) {
	if qu.stopped || qu.request.atMostOnce || qu.stage != stageFanOut {
		return
	}
	for _, target := range targets {
		sh := &qu.shards[target]
		if sh.state != shardRequested || sh.picked || sh.tryCount >= maxTries || sh.begun >= maxBegun {
			continue
		}
		want := q.repickRequest(qu, target)
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

// repickRequest returns the criteria for another try of a shard.
func (q *Queries) repickRequest(qu *query, target int) planner.RepickRequest {
	sh := &qu.shards[target]
	tried := make([]planner.Attempt, 0, maxTries)
	for i := range sh.tryCount {
		at := &qu.attempts[sh.tries[i].attempt-1]
		tried = append(tried, planner.Attempt{Upstream: at.items[sh.tries[i].item].Upstream, Owner: at.owner})
	}
	return planner.RepickRequest{
		Shard:    qu.plan.Targets()[target].Shard(),
		Version:  qu.plan.Version(),
		Attempts: tried,
		Hash:     q.hash(qu, target+int(sh.tryCount)),
	}
}

// markMissing records that a shard will be missing from the answer, and whether a
// newer plan may have replicas of it.
func (q *Queries) markMissing(qu *query, target int, reason almondstep.Reason) {
	sh := &qu.shards[target]
	sh.state = shardMissing
	sh.reason = reason
	qu.missing++
	if qu.sent == 0 || sh.outOfTokens {
		return
	}
	if needsNewerPlan(reason) || !planner.HasReplica(q.view, qu.plan.Targets()[target].Shard(), qu.plan.Version()) {
		qu.outdated = true
	}
}

// needsNewerPlan reports whether a shard may be missing because its replicas have
// moved to another version or partitioning.
func needsNewerPlan(r almondstep.Reason) bool {
	switch r {
	case almondstep.ReasonWrongVersion, almondstep.ReasonNotOwner, almondstep.ReasonNoReplica, almondstep.ReasonLeaving:
		return true
	default:
		return false
	}
}

// replan restarts a search at a newer version or partitioning, once, if a shard may
// no longer be available at the current one and there is time. Everything merged so
// far is dropped.
func (q *Queries) replan(qu *query) bool {
	if !qu.outdated || qu.replanned || qu.stopped || qu.request.operation != "" || !q.timeToReplan(qu) {
		return false
	}
	plan := q.planner.NewerPlan(q.view, qu.request.service, qu.plan)
	if plan == nil {
		return false
	}
	qu.replanned = true
	qu.outdated = false
	q.counters.Replans++
	q.cancelAll(qu)
	qu.merged, qu.missing, qu.total = 0, 0, 0
	qu.records.Reset(qu.request.limit)
	q.setPlan(qu, plan)
	q.fanOut(qu)
	return true
}

// timeToReplan reports whether a second fan-out can end before the next deadline:
// whether more than the hedge delay is left.
func (q *Queries) timeToReplan(qu *query) bool {
	deadline := qu.soft
	if qu.softPassed {
		deadline = qu.hard
	}
	return deadline.Sub(q.now) > qu.flushAfter
}
