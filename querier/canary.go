package querier

import (
	"almondstep"
	"almondstep/hedger"
)

const (
	// smallFanOut is the number of shards that needs no canary: it would itself
	// be as large as the fan-out.
	smallFanOut = 2
	// maxOpenCanaries bounds the shards asked before one has answered.
	maxOpenCanaries = 4
	// maxCanaries bounds the canaries of one query, those included that failed
	// without a crash or were refused before they began.
	maxCanaries = 8
	// enoughFailures is the number of canaries that failed without a crash after
	// which the rest is asked for: the failures don't come from the request.
	enoughFailures = 3
	// crashLimit is the number of crashes that make a request quarantined.
	crashLimit = 2
)

// start sends the first sub-requests of a query.
func (q *Queries) start(qu *query) {
	qu.flushAfter = hedger.Delay(q.digestOf(qu.ask.service.Name()), qu.soft.Sub(q.now))
	if qu.ask.once {
		qu.flushAfter = qu.hard.Sub(q.now)
	}
	wanted := len(qu.shards) - qu.missing
	q.budget.Earn(wanted)
	q.counters.Needed += uint64(wanted)
	if wanted <= smallFanOut || q.reputations.good(qu.ask.fingerprint) {
		q.fanOut(qu)
		return
	}
	qu.stage = stageCanary
	q.nextCanary(qu)
}

// nextCanary asks for one more shard, if that is allowed; false if not.
func (q *Queries) nextCanary(qu *query) bool {
	if qu.canaries >= maxCanaries || qu.inFlight+qu.crashes >= maxOpenCanaries {
		return false
	}
	if qu.crashes > 0 && qu.inFlight > 0 {
		return true
	}
	target, ok := q.canaryTarget(qu)
	if !ok {
		return false
	}
	qu.canaries++
	q.counters.Canaries++
	q.pickFirst(qu, target)
	q.sendPicks(qu, false)
	return true
}

// canaryTarget chooses a shard not asked yet, starting at a random one; a warm
// replica goes before a cold one.
func (q *Queries) canaryTarget(qu *query) (int, bool) {
	n := len(qu.shards)
	first := int(q.hash(qu, qu.canaries) % uint64(n))
	cold := -1
	for i := range n {
		target := (first + i) % n
		if qu.shards[target].state != shardWaiting || qu.shards[target].count > 0 {
			continue
		}
		if qu.plan.Targets()[target].Candidates()[0].Temperature() == almondstep.Warm {
			return target, true
		}
		if cold < 0 {
			cold = target
		}
	}
	return cold, cold >= 0
}

// canaryStep decides after an event of the canary stage. It returns false if
// the query has ended.
func (q *Queries) canaryStep(qu *query) bool {
	switch {
	case qu.merged > 0:
		q.reputations.setGood(qu.ask.fingerprint)
		q.fanOut(qu)
		return true
	case qu.inFlight > 0:
		return true
	case qu.crashes == 0 && qu.begun >= enoughFailures:
		q.fanOut(qu)
		return true
	case q.nextCanary(qu), q.canaryElsewhere(qu):
		return true
	}
	q.finish(qu, q.codeOf(qu))
	return false
}

// canaryElsewhere asks another replica of a shard whose canary was refused before
// it ran; false if there is none. Every shard has been refused once by then: the
// owners of a whole zone may be changing, while those of other zones are well.
func (q *Queries) canaryElsewhere(qu *query) bool {
	if qu.crashes > 0 || qu.canaries >= maxCanaries {
		return false
	}
	for target := range qu.shards {
		sh := &qu.shards[target]
		if sh.state != shardWaiting || sh.begun > 0 {
			continue
		}
		if !q.retry(qu, target, failure{reason: sh.reason, notRun: true}) {
			continue
		}
		qu.canaries++
		q.counters.Canaries++
		q.sendPicks(qu, false)
		return true
	}
	return false
}

// fanOut asks for every shard that isn't asked for yet.
func (q *Queries) fanOut(qu *query) {
	qu.stage = stageFanOut
	for target := range qu.shards {
		sh := &qu.shards[target]
		if sh.state != shardWaiting {
			continue
		}
		if sh.count == 0 {
			q.pickFirst(qu, target)
			continue
		}
		q.retryOrGiveUp(qu, target, failure{reason: sh.reason, notRun: sh.begun == 0})
	}
	q.sendPicks(qu, false)
}

// hash draws a number that depends on the seed, the query and n alone.
func (q *Queries) hash(qu *query, n int) uint64 {
	return almondstep.Mix(q.cfg.Seed ^ uint64(qu.id) ^ almondstep.Mix(uint64(n)))
}

// crashed notes that the request took an upstream down, and reports it once it
// is known to do so.
func (q *Queries) crashed(qu *query, upstream almondstep.Address) {
	qu.crashes++
	q.counters.Crashes++
	first, count := q.reputations.addCrash(qu.ask.fingerprint, upstream, q.now)
	if count < crashLimit {
		return
	}
	if count == crashLimit {
		q.emit(&almondstep.ReportCrash{Fingerprint: qu.ask.fingerprint, Upstream: first})
	}
	q.emit(&almondstep.ReportCrash{Fingerprint: qu.ask.fingerprint, Upstream: upstream})
}
