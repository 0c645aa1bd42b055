package querier

import "almondstep"

// finishIfDone ends a query if no more answers are expected, if its request has
// been quarantined, or if the soft deadline has passed and the coverage suffices.
// Before that it continues the canary stage or replans, if either is due.
func (q *Queries) finishIfDone(qu *query) {
	if qu.stage == stageClaim {
		return
	}
	if qu.crashes > 0 && q.reputations.quarantined(qu.request.fingerprint, q.now) {
		q.finish(qu, almondstep.CodeQuarantined)
		return
	}
	if qu.stage == stageCanary && !q.canaryStep(qu) {
		return
	}
	if qu.merged == len(qu.shards) {
		q.finish(qu, "")
		return
	}
	if q.replan(qu) {
		return
	}
	if qu.inFlight == 0 && qu.stage == stageFanOut {
		q.finish(qu, q.codeOf(qu))
		return
	}
	if qu.softPassed && qu.merged > 0 && qu.coverage() >= qu.request.class.MinCoverage() {
		q.finish(qu, almondstep.CodeDeadline)
	}
}

func (qu *query) coverage() float64 {
	return float64(qu.merged) / float64(len(qu.shards))
}

// codeOf returns why a query without open tries isn't complete.
func (q *Queries) codeOf(qu *query) almondstep.RefusalCode {
	if qu.begun > 0 && qu.request.atMostOnce {
		return almondstep.CodeFailed
	}
	if qu.begun > 0 {
		return almondstep.CodeMissingShards
	}
	for i := range qu.shards {
		if qu.shards[i].reason == almondstep.ReasonShed {
			return almondstep.CodeShed
		}
	}
	return almondstep.CodeNoReplica
}

// finish ends a query with the records merged so far.
func (q *Queries) finish(qu *query, code almondstep.RefusalCode) {
	switch {
	case qu.merged == len(qu.shards):
		q.reputations.setGood(qu.request.fingerprint)
		q.end(qu, almondstep.OutcomeComplete, "")
	case qu.begun == 0:
		q.end(qu, almondstep.OutcomeNotRun, code)
	case qu.request.atMostOnce:
		q.end(qu, almondstep.OutcomeUnknown, code)
	default:
		q.end(qu, almondstep.OutcomePartial, code)
	}
}

// finishNotRun ends a query of which nothing has run.
func (q *Queries) finishNotRun(qu *query, code almondstep.RefusalCode) {
	q.counters.Refused++
	q.end(qu, almondstep.OutcomeNotRun, code)
}

// finishUnknown ends a request that may have been run by an earlier one with the
// same idempotency key.
func (q *Queries) finishUnknown(qu *query, code almondstep.RefusalCode) {
	q.end(qu, almondstep.OutcomeUnknown, code)
}

// end replies, cancels what is still open and removes the query.
func (q *Queries) end(qu *query, outcome almondstep.Outcome, code almondstep.RefusalCode) {
	q.emit(&almondstep.ReplyCaller{ID: qu.id, Answer: &almondstep.Answer{
		Query:    qu.id,
		Outcome:  outcome,
		Code:     code,
		Message:  messages[code],
		Coverage: coverageOf(qu, code),
		Total:    qu.total,
		Records:  qu.records.Kept(),
		Took:     q.now.Sub(qu.arrived),
		Attempts: qu.sent,
		Needed:   len(qu.shards),
	}})
	q.cancelAll(qu)
	q.remove(qu)
}

// refuse answers a request that was not admitted.
func (q *Queries) refuse(id almondstep.QueryID, r refusal) {
	q.counters.Refused++
	if r.message == "" {
		r.message = messages[r.code]
	}
	q.emit(&almondstep.ReplyCaller{ID: id, Answer: &almondstep.Answer{
		Query:   id,
		Outcome: almondstep.OutcomeNotRun,
		Code:    r.code,
		Message: r.message,
		Records: []almondstep.Record{},
	}})
}

// coverageOf returns the coverage of an answer: the number of merged shards and
// the missing ones.
func coverageOf(qu *query, code almondstep.RefusalCode) almondstep.Coverage {
	c := almondstep.Coverage{
		Complete: qu.merged == len(qu.shards),
		Included: qu.merged,
		Wanted:   len(qu.shards),
	}
	if qu.merged > 0 {
		c.Version = qu.plan.Version()
	}
	if c.Complete {
		return c
	}
	c.Missing = make([]almondstep.MissingShard, 0, c.Wanted-c.Included)
	for i := range qu.shards {
		if qu.shards[i].state != shardMerged {
			c.Missing = append(c.Missing, missingShard(qu, i, code))
		}
	}
	return c
}

func missingShard(qu *query, target int, code almondstep.RefusalCode) almondstep.MissingShard {
	s := qu.plan.Targets()[target].Shard()
	sh := &qu.shards[target]
	reason := sh.reason
	switch {
	case code == almondstep.CodeQuarantined && sh.state != shardMissing:
		reason = almondstep.ReasonQuarantined
	case code == almondstep.CodeDeadline && sh.state == shardRequested:
		reason = almondstep.ReasonDeadline
	case reason == "":
		reason = orReason(reasons[code], almondstep.ReasonDeadline)
	}
	from, to := s.Range()
	return almondstep.MissingShard{
		Service: s.Service(),
		Shard:   s.Index(),
		Of:      s.ShardCount(),
		From:    from,
		To:      to,
		Reason:  reason,
	}
}

// reasons maps the code of an ended query to the reason of shards that were
// still without one.
var reasons = map[almondstep.RefusalCode]almondstep.Reason{
	almondstep.CodeKeyTaken:      almondstep.ReasonFailed,
	almondstep.CodeNoPlatform:    almondstep.ReasonFailed,
	almondstep.CodeMissingShards: almondstep.ReasonFailed,
	almondstep.CodeFailed:        almondstep.ReasonFailed,
	almondstep.CodeShed:          almondstep.ReasonShed,
	almondstep.CodeNoReplica:     almondstep.ReasonNoReplica,
}

// messages has the human-readable message for each code.
var messages = map[almondstep.RefusalCode]string{
	almondstep.CodeNoConfiguration: "this daemon has no configuration yet; nothing was run",
	almondstep.CodeUnknownTenant:   "the operators' text has no such tenant",
	almondstep.CodeUnknownClass:    "the operators' text has no such class",
	almondstep.CodeUnknownOp:       "the service has no such operation",
	almondstep.CodeOverload:        "too many queries are open; nothing was run, try again later",
	almondstep.CodeDeadline:        "the deadline came first",
	almondstep.CodeQuarantined:     "the request has crashed upstreams and is not sent for now",
	almondstep.CodeNoReplica:       "no replica can be asked now",
	almondstep.CodeKeyTaken:        "an earlier request with this idempotency key may have run",
	almondstep.CodeNoPlatform:      "the idempotency key could not be claimed; nothing was run",
	almondstep.CodeShed:            "all upstreams refused before they began; nothing was run",
	almondstep.CodeFailed:          "the request may have run; its answer was lost",
	almondstep.CodeMissingShards:   "some shards could not be had; coverage lists them",
}
