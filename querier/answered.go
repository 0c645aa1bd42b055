package querier

import (
	"slices"

	"almondstep"
	"almondstep/hedger"
)

// maxCollects bounds the Collects sent for one attempt.
const maxCollects = 4

// workAnswered merges an owner's answer shard by shard.
func (q *Queries) workAnswered(qu *query, e *almondstep.WorkAnswered) {
	at := qu.attemptOf(e.Attempt, e.Owner)
	if at == nil {
		q.counters.Unsolicited++
		return
	}
	if at.open == 0 {
		q.counters.Late++
		return
	}
	at.resolved = true
	delete(q.ownerBackoffs, e.Owner)
	mergeable := q.mergeRecords(qu, e)
	for i := range e.Items {
		q.itemAnswered(qu, e, &e.Items[i], mergeable)
	}
	q.sendCancels(qu)
	q.failUnlisted(qu, e)
	q.followUp(qu, e.Attempt)
	q.finishIfDone(qu)
}

// failUnlisted fails the open tries that an owner's answer doesn't list: the
// owner no longer has them, so no further answer would come. They may have run.
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

// mergeRecords merges the records of the expected done items, before the items
// are marked. It returns false, and merges nothing, if the answer is from another
// version, lists an item twice, or has records of dropped items that can't be
// distinguished from the expected ones.
func (q *Queries) mergeRecords(qu *query, e *almondstep.WorkAnswered) bool {
	if e.Version != qu.plan.Version() {
		return false
	}
	expected, dropped, repeated := q.countDoneItems(qu, e)
	switch {
	case repeated:
		// The item's records may be listed twice and so displace others that would be
		// within the limit.
		q.counters.Ambiguous++
		return false
	case expected == 0:
		return true
	case dropped == 0:
		qu.records.Add(e.Records)
		return true
	case len(e.Sources) != len(e.Records):
		q.counters.Ambiguous++
		return false
	}
	qu.records.Add(q.expectedRecords(qu, e))
	return true
}

// countDoneItems counts the done items that are expected and those that aren't,
// and reports whether any item with an open try, done or not, is listed twice.
func (q *Queries) countDoneItems(qu *query, e *almondstep.WorkAnswered) (expected, dropped int, repeated bool) {
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
			expected++
		case done:
			dropped++
		}
	}
	return expected, dropped, repeated
}

// expectedRecords returns the records of the done items that are expected.
func (q *Queries) expectedRecords(qu *query, e *almondstep.WorkAnswered) []almondstep.Record {
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
	q.recordFirstAnswer(qu, e.Attempt, ia.Outcome)
	if ia.Outcome == almondstep.ItemPending {
		if !slices.Contains(q.scratch.pending, target) {
			q.scratch.pending = append(q.scratch.pending, target)
		}
		return
	}
	qu.closeTry(t)
	q.budget.ObserveShed(ia.Outcome == almondstep.ItemNotRun && ia.Reason == almondstep.ReasonShed)
	switch ia.Outcome {
	case almondstep.ItemDone:
		q.itemDone(qu, e, ia, target, mergeable)
	case almondstep.ItemNotRun:
		q.undoBegun(qu, target)
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

// recordFirstAnswer records in the digest whether a sub-request was still pending
// in its owner's first answer.
func (q *Queries) recordFirstAnswer(qu *query, id almondstep.AttemptID, o almondstep.ItemOutcome) {
	if qu.attempts[id-1].collects > 0 {
		return
	}
	switch o {
	case almondstep.ItemPending:
		q.digestOf(qu.request.service.Name()).ObserveLate(true, qu.flushAfter)
	case almondstep.ItemDone:
		q.digestOf(qu.request.service.Name()).ObserveLate(false, qu.flushAfter)
	default:
	}
}

// itemDone marks a shard as merged and closes its other tries. If the answer's
// records could not be merged, the try has failed.
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
	q.digestOf(qu.request.service.Name()).Observe(took)
	sh := &qu.shards[target]
	sh.state = shardMerged
	qu.merged++
	qu.total += ia.Total
	q.closeOtherTries(qu, target)
}

// shardCrashed stops all further attempts of the query, except in the canary
// stage, which may send one more canary. The shard is missing unless another of
// its tries is open.
func (q *Queries) shardCrashed(qu *query, target int) {
	if qu.stage != stageCanary {
		qu.stopped = true
	}
	if qu.shards[target].openTries() == 0 {
		q.markMissing(qu, target, almondstep.ReasonCrashed)
	}
}

// undoBegun uncounts a try that was counted as begun but didn't run.
func (q *Queries) undoBegun(qu *query, target int) {
	qu.shards[target].begun--
	qu.begun--
}

// tryFailed queues a shard for a retry if it has no open try left. The try must
// have been closed.
func (q *Queries) tryFailed(qu *query, target int, f failure) {
	sh := &qu.shards[target]
	sh.reason = f.reason
	if sh.openTries() > 0 {
		return
	}
	sh.state = shardWaiting
	q.scratch.failed = append(q.scratch.failed, failedTry{target: target, failure: f})
}

// followUp requests what an answer left open: the pending shards from the owner
// and, within the budget, from other replicas; the failed ones from other
// replicas.
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

// followUpCanary leaves the failed shards to the fan-out, and sends another
// canary if one is late.
func (q *Queries) followUpCanary(qu *query, late bool) {
	q.scratch.failed = q.scratch.failed[:0]
	if late && qu.merged == 0 && qu.crashes < crashLimit {
		q.nextCanary(qu)
	}
}

// collect requests the pending items of an attempt from its owner.
func (q *Queries) collect(qu *query, id almondstep.AttemptID) {
	at := &qu.attempts[id-1]
	if at.collects >= maxCollects {
		return
	}
	at.collects++
	q.emit(&almondstep.SendCollect{Owner: at.owner, Query: qu.id, Attempt: id, Remaining: q.remainingAt(qu, at.rtt)})
}

// workFailed handles a Work or Collect that an owner didn't answer.
func (q *Queries) workFailed(qu *query, e *almondstep.WorkFailed) {
	at := qu.attemptOf(e.Attempt, e.Owner)
	if at == nil {
		q.counters.Unsolicited++
		return
	}
	if at.open == 0 {
		q.counters.Late++
		return
	}
	// After a first answer the owner has accepted the Work, so that a Collect that
	// was not run doesn't mean that the items were not run.
	notRun := e.NotRun && !at.resolved
	at.resolved = true
	if !at.unresponsive {
		q.ownerBackoffs.addUnanswered(e.Owner, q.now)
	}
	q.failOpenTries(qu, e.Attempt, failure{reason: almondstep.ReasonUnreachable, notRun: notRun, lostOwner: true})
	if qu.stage == stageCanary {
		q.followUpCanary(qu, false)
	} else {
		q.retryFailed(qu)
	}
	q.finishIfDone(qu)
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
			q.undoBegun(qu, target)
		}
		q.tryFailed(qu, target, f)
	}
}

// digestOf returns the latency digest of a service.
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
