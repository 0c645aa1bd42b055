package planner

import "almondstep"

// Attempt is the upstream and owner of an earlier attempt at a shard.
type Attempt struct {
	Upstream almondstep.Address
	Owner    almondstep.DaemonID
}

// RepickRequest describes what a further attempt at a shard needs.
type RepickRequest struct {
	Shard    almondstep.Shard
	Version  almondstep.Version
	Attempts []Attempt
	// WarmOnly excludes cold replicas. It is set for hedges, and for retries of
	// attempts that may have begun.
	WarmOnly bool
	// OtherUpstream excludes every upstream tried, since it may be the straggler.
	OtherUpstream bool
	// OtherOwner excludes every owner tried, since it may be lost.
	OtherOwner bool
	// Hash spreads the choice over equally good replicas.
	Hash uint64
}

// Repick returns a replica for a further attempt from the newest view, which may
// contain changes that the plan doesn't: leaving upstreams, drained zones and new
// owners. An upstream isn't tried twice through the same owner; one tried through
// another owner ranks after those not tried. It returns false if no replica meets the
// request.
func Repick(v *almondstep.View, w RepickRequest) (almondstep.Replica, bool) {
	for _, p := range v.Placements(w.Shard.Service()) {
		if p.Version() != w.Version || p.ShardCount() != w.Shard.ShardCount() {
			continue
		}
		if r, ok := repickFrom(v, &w, p.Replicas(w.Shard.Index())); ok {
			return r, true
		}
	}
	return almondstep.Replica{}, false
}

// HasReplica reports whether any replica that may get new work serves a shard at a
// version.
func HasReplica(v *almondstep.View, s almondstep.Shard, version almondstep.Version) bool {
	_, ok := Repick(v, RepickRequest{Shard: s, Version: version})
	return ok
}

func repickFrom(v *almondstep.View, w *RepickRequest, replicas []almondstep.Replica) (almondstep.Replica, bool) {
	var chosen almondstep.Replica
	var chosenTried bool
	equals := uint64(0)
	for _, r := range replicas {
		tried, ok := w.allows(v, r)
		if !ok {
			continue
		}
		switch order := w.compare(v, r, tried, chosen, chosenTried); {
		case equals == 0 || order < 0:
			chosen, chosenTried, equals = r, tried, 1
		case order == 0:
			equals++
			// Reservoir sampling: each of n equals is kept with probability 1/n.
			if almondstep.HashUint64(w.Hash+equals)%equals == 0 {
				chosen, chosenTried = r, tried
			}
		}
	}
	return chosen, equals > 0
}

// allows reports whether a replica may be used, and whether its upstream was tried
// before.
func (w *RepickRequest) allows(v *almondstep.View, r almondstep.Replica) (tried, ok bool) {
	if !Usable(v, r) || (w.WarmOnly && r.Temperature() != almondstep.Warm) {
		return false, false
	}
	for _, t := range w.Attempts {
		sameUpstream := t.Upstream == r.Upstream()
		sameOwner := t.Owner == r.Owner()
		if sameUpstream && (sameOwner || w.OtherUpstream) {
			return false, false
		}
		if sameOwner && w.OtherOwner {
			return false, false
		}
		tried = tried || sameUpstream
	}
	return tried, true
}

func (w *RepickRequest) compare(v *almondstep.View, a almondstep.Replica, aTried bool, b almondstep.Replica, bTried bool) int {
	if aTried != bTried {
		if aTried {
			return 1
		}
		return -1
	}
	return compare(v.Zone(), &a, &b)
}
