package querier

import "almondstep"

// timerFired handles a deadline, or looks after owners that haven't answered.
func (q *Queries) timerFired(qu *query, e *almondstep.QueryTimer) {
	switch e.What {
	case almondstep.TimerSoft:
		qu.softPassed = true
		q.settle(qu)
	case almondstep.TimerHard:
		q.finish(qu, almondstep.CodeDeadline)
	case almondstep.TimerHedge:
		q.ownersDue(qu)
	}
}

// ownersDue hedges the shards of owners that have not answered at all.
func (q *Queries) ownersDue(qu *query) {
	qu.timerIsSet = false
	s := &q.scratch
	late := false
	sent := len(qu.attempts)
	for i := range sent {
		at := &qu.attempts[i]
		if at.open == 0 || at.heard || at.silent || at.due > q.now {
			continue
		}
		at.silent = true
		q.silences.add(at.owner, q.now)
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
	q.watchRest(qu)
}

// watchRest sets the timer again for owners that are not due yet.
func (q *Queries) watchRest(qu *query) {
	next := almondstep.Instant(0)
	for i := range qu.attempts {
		at := &qu.attempts[i]
		if at.open == 0 || at.heard || at.silent {
			continue
		}
		if next == 0 || at.due < next {
			next = at.due
		}
	}
	if next > 0 {
		q.watchOwners(qu, next)
	}
}

// viewChanged ends the queries whose request has been quarantined meanwhile.
// Zones out and upstreams leaving need no more than the newest view: a further
// attempt is always picked from that.
func (q *Queries) viewChanged() {
	for i := len(q.listed) - 1; i >= 0; i-- {
		qu := q.listed[i]
		if q.view.Quarantined(qu.ask.fingerprint) {
			q.finish(qu, almondstep.CodeQuarantined)
		}
	}
}

// claimAnswered begins the one run of a request, or refuses it.
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
