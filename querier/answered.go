package querier

import (
	"slices"

	"almondstep"
	"almondstep/hedger"
)

// maxCollects bounds how often an owner is asked for the pending rest.
const maxCollects = 4

// workAnswered merges an owner's answer, shard by shard.
func (q *Queries) workAnswered(qu *query, e *almondstep.WorkAnswered) {
	at := qu.attemptOf(e.Attempt, e.Owner)
	if at == nil {
		q.counters.Foreign++
		return
	}
	if at.open == 0 {
		q.counters.Late++
		return
	}
	at.heard = true
	delete(q.silences, e.Owner)
	mergeable := q.takeRecords(qu, e)
	for i := range e.Items {
		q.itemAnswered(qu, e, &e.Items[i], mergeable)
	}
	q.cancelLosers(qu)
	q.failUnlisted(qu, e)
	q.followUp(qu, e.Attempt)
	q.settle(qu)
}

// failUnlisted fails the open tries that an owner's answer says nothing of: it
// no longer knows them, so nothing more would come. They may have run.
func (q *Queries) failUnlisted(qu *query, e *almondstep.WorkAnswered) {
	at := &qu.attempts[e.Attempt-1]
	if at.open == len(q.scratch.pending) {
		return
	}
	for _, item := range at.items {
		target, t := qu.openTry(e.Attempt, item)
		if t == nil || slices.Contains(q.scratch.pending, target) {
			continue
		}
		qu.closeTry(t)
		q.tryFailed(qu, target, failure{reason: almondstep.ReasonFailed})
	}
}

// takeRecords merges the records of the done items that count, before the
// items are marked. It returns false if they can't be told from those of items
// that don't count; then none is taken.
func (q *Queries) takeRecords(qu *query, e *almondstep.WorkAnswered) bool {
	if e.Version != qu.plan.Version() {
		return false
	}
	counting, dropped, repeated := q.sortOut(qu, e)
	switch {
	case repeated:
		// Its records stand twice among the first ones, so that others are lacking.
		q.counters.Mixed++
		return false
	case counting == 0:
		return true
	case dropped == 0:
		qu.records.Add(e.Records)
		return true
	case len(e.Sources) != len(e.Records):
		q.counters.Mixed++
		return false
	}
	qu.records.Add(q.recordsThatCount(qu, e))
	return true
}

// sortOut counts the done items that are expected and those that aren't, and
// says whether any item stands twice in the answer, done or not.
func (q *Queries) sortOut(qu *query, e *almondstep.WorkAnswered) (counting, dropped int, repeated bool) {
	q.stamp++
	for i := range e.Items {
		done := e.Items[i].Outcome == almondstep.ItemDone
		target, t := qu.openTry(e.Attempt, e.Items[i].Item)
		if t != nil {
			repeated = repeated || qu.shards[target].stamp == q.stamp
			qu.shards[target].stamp = q.stamp
		}
		switch {
		case done && t != nil:
			counting++
		case done:
			dropped++
		}
	}
	return counting, dropped, repeated
}

func (q *Queries) recordsThatCount(qu *query, e *almondstep.WorkAnswered) []almondstep.Record {
	kept := make([]almondstep.Record, 0, len(e.Records))
	for i, r := range e.Records {
		source := int(e.Sources[i])
		if source >= len(e.Items) || e.Items[source].Outcome != almondstep.ItemDone {
			continue
		}
		if _, t := qu.openTry(e.Attempt, e.Items[source].Item); t != nil {
			kept = append(kept, r)
		}
	}
	return kept
}

// itemAnswered handles the outcome of one shard's try.
func (q *Queries) itemAnswered(qu *query, e *almondstep.WorkAnswered, ia *almondstep.ItemAnswer, mergeable bool) {
	target, t := qu.openTry(e.Attempt, ia.Item)
	if t == nil {
		q.counters.Repeated++
		return
	}
	q.noteWait(qu, e.Attempt, ia.Outcome)
	if ia.Outcome == almondstep.ItemPending {
		if !slices.Contains(q.scratch.pending, target) {
			q.scratch.pending = append(q.scratch.pending, target)
		}
		return
	}
	qu.closeTry(t)
	q.budget.Saw(ia.Outcome == almondstep.ItemNotRun && ia.Reason == almondstep.ReasonShed)
	switch ia.Outcome {
	case almondstep.ItemDone:
		q.itemDone(qu, e, ia, target, mergeable)
	case almondstep.ItemNotRun:
		q.notBegun(qu, target)
		if ia.Reason == almondstep.ReasonShed {
			qu.shed++
		}
		q.tryFailed(qu, target, failure{reason: orReason(ia.Reason, almondstep.ReasonShed), notRun: true})
	case almondstep.ItemWrongVersion:
		q.counters.WrongVersion++
		q.tryFailed(qu, target, failure{reason: almondstep.ReasonWrongVersion})
	case almondstep.ItemCrashed:
		q.crashed(qu, ia.Item.Upstream)
		q.shardCrashed(qu, target)
	default:
		q.tryFailed(qu, target, failure{reason: orReason(ia.Reason, almondstep.ReasonFailed)})
	}
}

// noteWait tells the digest whether a sub-request was late at its owner's first
// answer.
func (q *Queries) noteWait(qu *query, id almondstep.AttemptID, o almondstep.ItemOutcome) {
	if qu.attempts[id-1].collects > 0 {
		return
	}
	switch o {
	case almondstep.ItemPending:
		q.digestOf(qu.ask.service.Name()).Answered(true, qu.flushAfter)
	case almondstep.ItemDone:
		q.digestOf(qu.ask.service.Name()).Answered(false, qu.flushAfter)
	default:
	}
}

// itemDone marks a shard as merged and stops its other tries.
func (q *Queries) itemDone(qu *query, e *almondstep.WorkAnswered, ia *almondstep.ItemAnswer, target int, mergeable bool) {
	if !mergeable {
		reason := almondstep.ReasonFailed
		if e.Version != qu.plan.Version() {
			q.counters.WrongVersion++
			reason = almondstep.ReasonWrongVersion
		}
		q.tryFailed(qu, target, failure{reason: reason})
		return
	}
	at := &qu.attempts[e.Attempt-1]
	took := ia.Took
	if at.collects > 0 {
		took = q.now.Sub(at.sent)
	}
	q.digestOf(qu.ask.service.Name()).Observe(took)
	sh := &qu.shards[target]
	sh.state = shardMerged
	qu.merged++
	qu.total += ia.Total
	q.stopOtherTries(qu, target)
}

// shardCrashed stops all further attempts of the query, but for the canary
// stage, which may send one more.
func (q *Queries) shardCrashed(qu *query, target int) {
	if qu.stage != stageCanary {
		qu.stopped = true
	}
	if qu.shards[target].openTries() == 0 {
		q.giveUp(qu, target, almondstep.ReasonCrashed)
	}
}

// notBegun takes back that a try may have begun.
func (q *Queries) notBegun(qu *query, target int) {
	qu.shards[target].begun--
	qu.begun--
}

// tryFailed notes a shard that has no open try left, to be asked for again.
func (q *Queries) tryFailed(qu *query, target int, f failure) {
	sh := &qu.shards[target]
	sh.reason = f.reason
	if sh.openTries() > 0 {
		return
	}
	sh.state = shardWaiting
	q.scratch.failed = append(q.scratch.failed, failedTry{target: target, failure: f})
}

// followUp asks for what an answer left open: the pending shards at the owner
// and, out of the budget, at other replicas; the failed ones elsewhere.
func (q *Queries) followUp(qu *query, id almondstep.AttemptID) {
	s := &q.scratch
	pending := s.pending
	if len(pending) > 0 {
		q.collect(qu, id)
	}
	if qu.stage == stageCanary {
		q.followUpCanary(qu, len(pending) > 0)
	} else {
		q.retryFailed(qu)
		q.hedge(qu, pending, false)
	}
	s.pending = s.pending[:0]
}

// followUpCanary leaves the failed shards for the fan-out, and doesn't wait
// for a canary that is late.
func (q *Queries) followUpCanary(qu *query, late bool) {
	q.scratch.failed = q.scratch.failed[:0]
	if late && qu.merged == 0 && qu.crashes < crashLimit {
		q.nextCanary(qu)
	}
}

// collect waits at an owner for the pending rest.
func (q *Queries) collect(qu *query, id almondstep.AttemptID) {
	at := &qu.attempts[id-1]
	if at.collects >= maxCollects {
		return
	}
	at.collects++
	q.emit(&almondstep.SendCollect{Owner: at.owner, Query: qu.id, Attempt: id, Remaining: q.remainingAt(qu, at.way)})
}

// workFailed handles an owner that gave no answer.
func (q *Queries) workFailed(qu *query, e *almondstep.WorkFailed) {
	at := qu.attemptOf(e.Attempt, e.Owner)
	if at == nil {
		q.counters.Foreign++
		return
	}
	if at.open == 0 {
		q.counters.Late++
		return
	}
	// After a first answer the Work has been taken in, so that a Collect that
	// was not run says nothing of the items.
	notRun := e.NotRun && !at.heard
	at.heard = true
	if !at.silent {
		q.silences.add(e.Owner, q.now)
	}
	q.failOpenTries(qu, e.Attempt, failure{reason: almondstep.ReasonUnreachable, notRun: notRun, lostOwner: true})
	if qu.stage == stageCanary {
		q.followUpCanary(qu, false)
	} else {
		q.retryFailed(qu)
	}
	q.settle(qu)
}

// failOpenTries closes all open tries of an attempt.
func (q *Queries) failOpenTries(qu *query, id almondstep.AttemptID, f failure) {
	for _, item := range qu.attempts[id-1].items {
		target, t := qu.openTry(id, item)
		if t == nil {
			continue
		}
		qu.closeTry(t)
		if f.notRun {
			q.notBegun(qu, target)
		}
		q.tryFailed(qu, target, f)
	}
}

// digestOf finds the latencies of a service's searches.
func (q *Queries) digestOf(s almondstep.ServiceName) *hedger.Digest {
	d := q.digests[s]
	if d == nil {
		d = &hedger.Digest{}
		q.digests[s] = d
	}
	return d
}

func orReason(r, other almondstep.Reason) almondstep.Reason {
	if r == "" {
		return other
	}
	return r
}
