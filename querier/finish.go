package querier

import "almondstep"

// settle ends a query if nothing more is to come, or if what there is
// suffices.
func (q *Queries) settle(qu *query) {
	if qu.stage == stageClaim {
		return
	}
	if qu.crashes > 0 && q.reputations.quarantined(qu.ask.fingerprint, q.now) {
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
	if qu.softPassed && qu.merged > 0 && qu.coverage() >= qu.ask.class.MinCoverage() {
		q.finish(qu, almondstep.CodeDeadline)
	}
}

func (qu *query) coverage() float64 {
	return float64(qu.merged) / float64(len(qu.shards))
}

// codeOf says why a query that has nothing more to wait for isn't complete.
func (q *Queries) codeOf(qu *query) almondstep.RefusalCode {
	if qu.begun > 0 && qu.ask.once {
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

// finish ends a query with what has been merged.
func (q *Queries) finish(qu *query, code almondstep.RefusalCode) {
	switch {
	case qu.merged == len(qu.shards):
		q.reputations.setGood(qu.ask.fingerprint)
		q.end(qu, almondstep.OutcomeComplete, "")
	case qu.begun == 0:
		q.end(qu, almondstep.OutcomeNotRun, code)
	case qu.ask.once:
		q.end(qu, almondstep.OutcomeUnknown, code)
	default:
		q.end(qu, almondstep.OutcomePartial, code)
	}
}

// finishNotRun ends a query of which nothing has begun.
func (q *Queries) finishNotRun(qu *query, code almondstep.RefusalCode) {
	q.counters.Refused++
	q.end(qu, almondstep.OutcomeNotRun, code)
}

// finishUnknown ends a request that an earlier one with its key may have run.
func (q *Queries) finishUnknown(qu *query, code almondstep.RefusalCode) {
	q.end(qu, almondstep.OutcomeUnknown, code)
}

// end replies, cancels what is still open and forgets the query.
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

// refuse answers a request that was never taken in.
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

// coverageOf lists what is included and what is missing. It counts only what
// was merged.
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
	case code == almondstep.CodeDeadline && sh.state == shardAsked:
		reason = almondstep.ReasonDeadline
	case reason == "":
		reason = orReason(reasons[code], almondstep.ReasonDeadline)
	}
	from, to := s.Range()
	return almondstep.MissingShard{
		Service: s.Service(),
		Shard:   s.Index(),
		Of:      s.Of(),
		From:    from,
		To:      to,
		Reason:  reason,
	}
}

// reasons say why a shard is missing that was not asked for when a query ended.
var reasons = map[almondstep.RefusalCode]almondstep.Reason{
	almondstep.CodeKeyTaken:      almondstep.ReasonFailed,
	almondstep.CodeNoPlatform:    almondstep.ReasonFailed,
	almondstep.CodeMissingShards: almondstep.ReasonFailed,
	almondstep.CodeFailed:        almondstep.ReasonFailed,
	almondstep.CodeShed:          almondstep.ReasonShed,
	almondstep.CodeNoReplica:     almondstep.ReasonNoReplica,
}

// messages say for people what the codes say for programs.
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
