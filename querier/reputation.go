package querier

import (
	"time"

	"almondstep"
)

// quarantineTime is how long this daemon itself refuses a request that has
// crashed upstreams; it covers the time until the view has the quarantine.
const quarantineTime = 10 * time.Second

// reputations records the past behavior of requests in bounded memory: two
// generations of maps, of which the older is dropped when the younger is full.
// A lookup moves an entry to the younger one.
type reputations struct {
	limit   int
	younger map[almondstep.Fingerprint]reputation
	older   map[almondstep.Fingerprint]reputation
}

// reputation is the recorded behavior of one request.
type reputation struct {
	good    bool
	crashes int
	// firstUpstream is the upstream of the first crash, lastCrash the time of the
	// last.
	firstUpstream almondstep.Address
	lastCrash     almondstep.Instant
}

func newReputations(limit int) reputations {
	const generations = 2
	return reputations{
		limit:   max(1, limit/generations),
		younger: make(map[almondstep.Fingerprint]reputation),
	}
}

// good reports whether the request has run before without a crash.
func (r *reputations) good(f almondstep.Fingerprint) bool {
	return r.get(f).good
}

// quarantined reports whether the request has crashed upstreams too often and
// too recently to be sent again.
func (r *reputations) quarantined(f almondstep.Fingerprint, now almondstep.Instant) bool {
	known := r.get(f)
	return known.crashes >= crashLimit && now.Sub(known.lastCrash) < quarantineTime
}

func (r *reputations) setGood(f almondstep.Fingerprint) {
	known := r.get(f)
	if known.crashes == 0 && !known.good {
		r.put(f, reputation{good: true})
	}
}

// addCrash counts a crash and returns the upstream of the first one and the
// number of crashes.
func (r *reputations) addCrash(f almondstep.Fingerprint, upstream almondstep.Address, now almondstep.Instant) (almondstep.Address, int) {
	known := r.get(f)
	if known.crashes >= crashLimit && now.Sub(known.lastCrash) >= quarantineTime {
		known.crashes = 0
	}
	if known.crashes == 0 {
		known.firstUpstream = upstream
	}
	known.good = false
	known.crashes++
	known.lastCrash = now
	r.put(f, known)
	return known.firstUpstream, known.crashes
}

func (r *reputations) get(f almondstep.Fingerprint) reputation {
	known, ok := r.younger[f]
	if ok {
		return known
	}
	known, ok = r.older[f]
	if ok {
		r.put(f, known)
	}
	return known
}

func (r *reputations) put(f almondstep.Fingerprint, known reputation) {
	if _, ok := r.younger[f]; !ok && len(r.younger) >= r.limit {
		r.older = r.younger
		r.younger = make(map[almondstep.Fingerprint]reputation)
	}
	r.younger[f] = known
}
