package querier

import (
	"time"

	"almondstep"
	"almondstep/planner"
)

const (
	// ownerBackoffTime is how long an owner that doesn't answer is in backoff, where
	// there is another replica, until one query tries it again.
	ownerBackoffTime = 500 * time.Millisecond
	// unansweredLimit is the number of consecutive Works without any answer that
	// put an owner in backoff; a single one could be a lost message.
	unansweredLimit = 2
	// maxTrackedOwners bounds the table, which is cleared when it is full; a zone
	// has fewer daemons than that.
	maxTrackedOwners = 1_024
)

// ownerBackoffs has, for each owner that has recently left Works unanswered, the
// number of consecutive ones. It covers the time until the view shows that the
// owner is gone: without it every query would first send there and wait.
type ownerBackoffs map[almondstep.DaemonID]*ownerBackoff

type ownerBackoff struct {
	// count is the number of consecutive Works without an answer.
	count int
	// until is the end of the backoff; 0 if there has been none.
	until almondstep.Instant
}

// addUnanswered records a Work without an answer.
func (s ownerBackoffs) addUnanswered(owner almondstep.DaemonID, now almondstep.Instant) {
	known := s[owner]
	if known == nil {
		if len(s) >= maxTrackedOwners {
			clear(s)
		}
		known = &ownerBackoff{}
		s[owner] = known
	}
	known.count++
	if known.count >= unansweredLimit {
		known.until = now.Add(ownerBackoffTime)
	}
}

// inBackoff reports whether an owner is in backoff.
func (s ownerBackoffs) inBackoff(owner almondstep.DaemonID, now almondstep.Instant) bool {
	known := s[owner]
	return known != nil && now < known.until
}

// extend prolongs the backoff of an owner that is being tried again, so that
// other queries avoid it until that try has an outcome.
func (s ownerBackoffs) extend(owner almondstep.DaemonID, now almondstep.Instant) {
	known := s[owner]
	if known != nil && known.count >= unansweredLimit {
		known.until = now.Add(ownerBackoffTime)
	}
}

// pickFirst picks the replica of a shard's first try: one of the equally good
// ones, or, for a few tries, a cold one as warm-up traffic. If its owner is in
// backoff, the best warm replica whose owner is not is picked instead.
func (q *Queries) pickFirst(qu *query, target int) {
	t := &qu.plan.Targets()[target]
	hash := q.hash(qu, target)
	r, ok := q.pickCold(qu, target, hash)
	if !ok {
		r, _ = t.Choose(hash)
	}
	if len(q.ownerBackoffs) > 0 && q.ownerBackoffs.inBackoff(r.Owner(), q.now) {
		r = q.responsiveReplica(t, r)
	}
	q.pick(qu, target, r)
}

// responsiveReplica returns the best warm replica whose owner is not in backoff;
// chosen if there is none.
func (q *Queries) responsiveReplica(t *planner.Target, chosen almondstep.Replica) almondstep.Replica {
	for _, r := range t.Candidates() {
		if r.Temperature() == almondstep.Warm && !q.ownerBackoffs.inBackoff(r.Owner(), q.now) {
			return r
		}
	}
	return chosen
}
