package querier

import "almondstep"

const (
	// trickleIn is in how many first tries of a shard one may go to a cold
	// replica.
	trickleIn = 16
	// urgentTrickleIn is the same for the class served first, which has the most
	// to lose by a slow try.
	urgentTrickleIn = 256
	// maxTrickle bounds the first tries of one query that go to cold replicas, so
	// that a query over many shards doesn't wait for many slow ones while a whole
	// zone warms.
	maxTrickle = 2
)

// trickle chooses a cold replica for a few first tries. Without them a cold
// upstream whose shards have warm replicas elsewhere would never get the work
// that warms it. A canary is not among them, since the whole query waits for it.
// How much it bears is for its owner to say: what is too much
// comes back at once as not run, and a straggler is hedged like any other.
//
// Example: a zone is back, and each shard has one cold replica there and two
// warm ones elsewhere. Of 160 first tries of a routine search, about 10 would go
// to the cold replicas; maxTrickle makes that 2.
func (q *Queries) trickle(qu *query, target int, hash uint64) (almondstep.Replica, bool) {
	if qu.stage != stageFanOut || qu.ask.once || qu.trickled >= maxTrickle {
		return almondstep.Replica{}, false
	}
	in := uint64(trickleIn)
	if qu.ask.class.Priority() == 0 {
		in = urgentTrickleIn
	}
	if hash%in != 0 {
		return almondstep.Replica{}, false
	}
	r, ok := qu.plan.Targets()[target].Trickle(hash / in)
	if ok {
		qu.trickled++
	}
	return r, ok
}
