package querier

import "almondstep"

// timerFired handles a deadline or the timer for owners that haven't answered.
func (q *Queries) timerFired(qu *query, e *almondstep.QueryTimer) {
	switch e.Purpose {
	case almondstep.TimerSoft:
		qu.softPassed = true
		q.finishIfDone(qu)
	case almondstep.TimerHard:
		q.finish(qu, almondstep.CodeDeadline)
	case almondstep.TimerHedge:
		q.handleOverdueOwners(qu)
	}
}

// handleOverdueOwners hedges the shards of owners that have not answered at all,
// or, in the canary stage, sends another canary.
func (q *Queries) handleOverdueOwners(qu *query) {
	qu.timerIsSet = false
	s := &q.scratch
	late := false
	sent := len(qu.attempts)
	for i := range sent {
		at := &qu.attempts[i]
		if at.open == 0 || at.resolved || at.unresponsive || at.due > q.now {
			continue
		}
		at.unresponsive = true
		q.ownerBackoffs.addUnanswered(at.owner, q.now)
		late = true
		for _, item := range at.items {
			if target, t := qu.openTry(almondstep.AttemptID(i+1), item); t != nil {
				s.pending = append(s.pending, target)
			}
		}
	}
	if qu.stage == stageCanary {
		q.followUpCanary(qu, late)
	} else {
		q.hedge(qu, s.pending, true)
	}
	s.pending = s.pending[:0]
	q.resetOwnerTimer(qu)
}

// resetOwnerTimer sets the timer again for owners that are not due yet.
func (q *Queries) resetOwnerTimer(qu *query) {
	next := almondstep.Instant(0)
	for i := range qu.attempts {
		at := &qu.attempts[i]
		if at.open == 0 || at.resolved || at.unresponsive {
			continue
		}
		if next == 0 || at.due < next {
			next = at.due
		}
	}
	if next > 0 {
		q.setOwnerTimer(qu, next)
	}
}

// viewChanged ends the queries whose request is quarantined in the new view.
// Drained zones and leaving upstreams need no handling here: retries and hedges
// are always picked from the newest view.
func (q *Queries) viewChanged() {
	for i := len(q.openList) - 1; i >= 0; i-- {
		qu := q.openList[i]
		if q.view.Quarantined(qu.request.fingerprint) {
			q.finish(qu, almondstep.CodeQuarantined)
		}
	}
}

// claimAnswered starts the request if its idempotency key was granted, or
// refuses it.
func (q *Queries) claimAnswered(qu *query, e *almondstep.ClaimAnswered) {
	if qu.stage != stageClaim {
		q.counters.Repeated++
		return
	}
	switch e.Outcome {
	case almondstep.ClaimGranted:
		q.start(qu)
	case almondstep.ClaimTaken:
		q.finishUnknown(qu, almondstep.CodeKeyTaken)
	default:
		q.finishNotRun(qu, almondstep.CodeNoPlatform)
	}
}
