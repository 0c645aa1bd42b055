package querier

import (
	"time"

	"almondstep"
	"almondstep/planner"
)

const (
	// avoidTime is how long an owner that gives no answer is left alone, where
	// there is another replica, until one query tries it again.
	avoidTime = 500 * time.Millisecond
	// silenceLimit is the number of Works in a row without any answer that make
	// an owner avoided; one could be a lost message.
	silenceLimit = 2
	// maxSilentOwners bounds the table; a zone has fewer daemons.
	maxSilentOwners = 1_024
)

// silences counts, for each owner that has lately given no answer, how often
// in a row. It bridges the time until the view shows that the owner is gone:
// without it every query would send there first, and wait.
type silences map[almondstep.DaemonID]*silence

type silence struct {
	count int
	until almondstep.Instant
}

// add notes a Work without an answer.
func (s silences) add(owner almondstep.DaemonID, now almondstep.Instant) {
	known := s[owner]
	if known == nil {
		if len(s) >= maxSilentOwners {
			clear(s)
		}
		known = &silence{}
		s[owner] = known
	}
	known.count++
	if known.count >= silenceLimit {
		known.until = now.Add(avoidTime)
	}
}

// avoid says whether an owner is to be left alone.
func (s silences) avoid(owner almondstep.DaemonID, now almondstep.Instant) bool {
	known := s[owner]
	return known != nil && now < known.until
}

// tried notes that an owner that was left alone is being tried again: other
// queries leave it alone until that has an outcome.
func (s silences) tried(owner almondstep.DaemonID, now almondstep.Instant) {
	known := s[owner]
	if known != nil && known.count >= silenceLimit {
		known.until = now.Add(avoidTime)
	}
}

// pickFirst picks the replica of a shard's first try: one of the equally good
// ones, or, if its owner is silent, the next best warm one of another owner.
func (q *Queries) pickFirst(qu *query, target int) {
	t := &qu.plan.Targets()[target]
	hash := q.hash(qu, target)
	r, ok := q.trickle(qu, target, hash)
	if !ok {
		r, _ = t.Choose(hash)
	}
	if len(q.silences) > 0 && q.silences.avoid(r.Owner(), q.now) {
		r = q.heard(t, r)
	}
	q.pick(qu, target, r)
}

func (q *Queries) heard(t *planner.Target, chosen almondstep.Replica) almondstep.Replica {
	for _, r := range t.Candidates() {
		if r.Temperature() == almondstep.Warm && !q.silences.avoid(r.Owner(), q.now) {
			return r
		}
	}
	return chosen
}
