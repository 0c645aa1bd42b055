package querier

import "almondstep"

const (
	// One in warmUpRatio first tries of a shard may go to a cold replica.
	warmUpRatio = 16
	// urgentWarmUpRatio is the same for the class of the highest priority, for
	// which a slow try is worst.
	urgentWarmUpRatio = 256
	// maxColdTries bounds the first tries of one query that go to cold replicas, so
	// that a query over many shards doesn't wait for many slow ones while a whole
	// zone warms up.
	maxColdTries = 2
)

// pickCold chooses a cold replica for a few first tries, as warm-up traffic.
// Without it a cold upstream whose shards have warm replicas elsewhere would
// never get the requests that warm it up. Canaries are no warm-up traffic, since
// the whole query waits for them. The upstream's owner limits the warm-up traffic:
// it refuses any excess at once as not run, and a straggler is hedged like any
// other.
//
// Example: a zone has returned to service, and each shard has one cold replica
// there and two warm ones elsewhere. Of 160 first tries of a routine search,
// about 10 would go to the cold replicas; maxColdTries makes that 2.
func (q *Queries) pickCold(qu *query, target int, hash uint64) (almondstep.Replica, bool) {
	if qu.stage != stageFanOut || qu.request.atMostOnce || qu.coldTries >= maxColdTries {
		return almondstep.Replica{}, false
	}
	ratio := uint64(warmUpRatio)
	if qu.request.class.Priority() == 0 {
		ratio = urgentWarmUpRatio
	}
	if hash%ratio != 0 {
		return almondstep.Replica{}, false
	}
	r, ok := qu.plan.Targets()[target].ColdReplica(hash / ratio)
	if ok {
		qu.coldTries++
	}
	return r, ok
}
