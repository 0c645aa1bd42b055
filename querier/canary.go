package querier

import (
	"almondstep"
	"almondstep/hedger"
)

const (
	// smallFanOut is the number of shards up to which no canary is sent: the
	// fan-out itself can crash no more upstreams than canaries could.
	smallFanOut = 2
	// maxOpenCanaries bounds a query's open canaries and those that crashed together.
	maxOpenCanaries = 4
	// maxCanaries bounds the canaries of one query, including those that failed
	// without a crash or were refused before they began.
	maxCanaries = 8
	// canaryFailureLimit is the number of canaries that failed without a crash after
	// which the query fans out: failures are assumed not to be caused by the request.
	canaryFailureLimit = 3
	// crashLimit is the number of crashes after which a request is quarantined.
	crashLimit = 2
)

// start sends the first sub-requests of a query.
func (q *Queries) start(qu *query) {
	qu.flushAfter = hedger.Delay(q.digestOf(qu.request.service.Name()), qu.soft.Sub(q.now))
	if qu.request.atMostOnce {
		qu.flushAfter = qu.hard.Sub(q.now)
	}
	wanted := len(qu.shards) - qu.missing
	q.budget.Fill(wanted)
	q.counters.Needed += uint64(wanted)
	if wanted <= smallFanOut || q.reputations.good(qu.request.fingerprint) {
		q.fanOut(qu)
		return
	}
	qu.stage = stageCanary
	q.nextCanary(qu)
}

// nextCanary sends one more canary. It returns false if no more are allowed or no
// shard is left. After a crash it waits for the open canaries and returns true
// without sending one.
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

// canaryTarget chooses a shard that has not been requested yet, starting at a
// pseudo-random one; shards with a warm replica are preferred.
func (q *Queries) canaryTarget(qu *query) (int, bool) {
	n := len(qu.shards)
	first := int(q.hash(qu, qu.canaries) % uint64(n))
	cold := -1
	for i := range n {
		target := (first + i) % n
		if qu.shards[target].state != shardWaiting || qu.shards[target].tryCount > 0 {
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

// canaryStep decides how to proceed after an event of the canary stage. It
// returns false if the query has ended.
func (q *Queries) canaryStep(qu *query) bool {
	switch {
	case qu.merged > 0:
		q.reputations.setGood(qu.request.fingerprint)
		q.fanOut(qu)
		return true
	case qu.inFlight > 0:
		return true
	case qu.crashes == 0 && qu.begun >= canaryFailureLimit:
		q.fanOut(qu)
		return true
	case q.nextCanary(qu), q.retryCanary(qu):
		return true
	}
	q.finish(qu, q.codeOf(qu))
	return false
}

// retryCanary sends a canary to another replica of a shard whose canary was
// refused before it ran; it returns false if there is none. By then every shard
// has been requested once: ownership may be changing in a whole zone while
// replicas in other zones are available.
func (q *Queries) retryCanary(qu *query) bool {
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

// fanOut requests every shard that is still waiting; those whose canary failed are
// retried.
func (q *Queries) fanOut(qu *query) {
	qu.stage = stageFanOut
	for target := range qu.shards {
		sh := &qu.shards[target]
		if sh.state != shardWaiting {
			continue
		}
		if sh.tryCount == 0 {
			q.pickFirst(qu, target)
			continue
		}
		q.retryOrMarkMissing(qu, target, failure{reason: sh.reason, notRun: sh.begun == 0})
	}
	q.sendPicks(qu, false)
}

// hash returns a pseudo-random number that depends only on the seed, the query
// and n.
func (q *Queries) hash(qu *query, n int) uint64 {
	return almondstep.HashUint64(q.cfg.Seed ^ uint64(qu.id) ^ almondstep.HashUint64(uint64(n)))
}

// crashed records that the request crashed an upstream, and reports its crashes
// once there are crashLimit of them.
func (q *Queries) crashed(qu *query, upstream almondstep.Address) {
	qu.crashes++
	q.counters.Crashes++
	first, count := q.reputations.addCrash(qu.request.fingerprint, upstream, q.now)
	if count < crashLimit {
		return
	}
	if count == crashLimit {
		q.emit(&almondstep.ReportCrash{Fingerprint: qu.request.fingerprint, Upstream: first})
	}
	q.emit(&almondstep.ReportCrash{Fingerprint: qu.request.fingerprint, Upstream: upstream})
}
