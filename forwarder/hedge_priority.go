package forwarder

import (
	"almondstep"
	"almondstep/budgeter"
)

// hedgePriorityTime is how long budget for hedges of a shard is kept for the requests that
// need the shard, after such a hedge was denied: they try again every hedgeRetryDelay.
const hedgePriorityTime = 2 * hedgeRetryDelay

// neededShards holds, for each shard of which a needed hedge was denied, until when hedges
// that aren't needed are withheld. The budget of a shard is its own, so only hedges of the
// same shard, of different requests, compete.
type neededShards map[almondstep.ServiceName]almondstep.Instant

// takeBudget takes one extra call from the budget. Hedges for requests that have their
// minimum coverage already are sent after those without which a request has no answer.
func (f *Forwarder) takeBudget(now almondstep.Instant, r *request, s *shard, kind budgeter.CallKind) bool {
	needed := !r.overShards() || !r.covers(r.included())
	if kind == budgeter.Hedge && !needed && now < f.needed[s.service] {
		return false
	}
	taken := f.budget.Take(now, s.service, r.budgetDivisor(s.service), kind)
	switch {
	case kind != budgeter.Hedge || !needed:
	case taken:
		delete(f.needed, s.service)
	default:
		f.needed[s.service] = now.Add(hedgePriorityTime)
	}
	return taken
}

// retain removes the shards whose time is over.
func (n neededShards) retain(now almondstep.Instant) {
	for s, until := range n {
		if now >= until {
			delete(n, s)
		}
	}
}
