package querier

import (
	"time"

	"almondstep"
)

// ownerMargin is how long after the requested flush time plus the round-trip
// time an owner's answer may arrive before the owner counts as unresponsive.
const ownerMargin = 4 * time.Millisecond

// pick is one try to be sent.
type pick struct {
	// target is the index of the shard in the plan's targets.
	target int
	// group is the index of the owner in scratch.owners.
	group    int
	upstream almondstep.Address
	distance time.Duration
}

// scratch is memory reused by each event.
type scratch struct {
	// picks has the tries to be sent, owners their owners, counts the number of
	// tries of each owner, and groups the index of each in owners.
	picks  []pick
	owners []almondstep.DaemonID
	counts []int
	groups map[almondstep.DaemonID]int
	// pending has the shards whose tries are late, as indexes of targets.
	pending []int
	failed  []failedTry
	cancels []canceledItem
}

func newScratch() scratch {
	return scratch{groups: make(map[almondstep.DaemonID]int)}
}

// pick queues a try for sendPicks.
func (q *Queries) pick(qu *query, target int, r almondstep.Replica) {
	qu.shards[target].picked = true
	s := &q.scratch
	group, ok := s.groups[r.Owner()]
	if !ok {
		group = len(s.owners)
		s.groups[r.Owner()] = group
		s.owners = append(s.owners, r.Owner())
		s.counts = append(s.counts, 0)
	}
	s.counts[group]++
	s.picks = append(s.picks, pick{target: target, group: group, upstream: r.Upstream(), distance: r.Distance()})
}

// sendPicks sends one Work to each owner of the queued tries.
func (q *Queries) sendPicks(qu *query, hedge bool) {
	s := &q.scratch
	if len(s.picks) == 0 {
		return
	}
	first := len(qu.attempts)
	q.addAttempts(qu)
	farthest := time.Duration(0)
	for i := range s.picks {
		p := &s.picks[i]
		farthest = max(farthest, p.distance)
		q.addTry(qu, p, first+p.group)
	}
	const directions = 2
	rtt := directions * farthest
	due := q.now.Add(qu.flushAfter + rtt + ownerMargin)
	for i := first; i < len(qu.attempts); i++ {
		qu.attempts[i].due = due
		qu.attempts[i].rtt = rtt
	}
	q.emitWorks(qu, first, hedge)
	q.setOwnerTimer(qu, due)
	clear(s.groups)
	s.picks, s.owners, s.counts = s.picks[:0], s.owners[:0], s.counts[:0]
}

// addAttempts adds an attempt for each owner, with their items allocated from
// one slab.
func (q *Queries) addAttempts(qu *query) {
	s := &q.scratch
	slab := make([]almondstep.Item, len(s.picks))
	for i, owner := range s.owners {
		n := s.counts[i]
		qu.attempts = append(qu.attempts, attempt{owner: owner, items: slab[:0:n], sent: q.now})
		slab = slab[n:]
	}
}

func (q *Queries) addTry(qu *query, p *pick, index int) {
	at := &qu.attempts[index]
	sh := &qu.shards[p.target]
	sh.tries[sh.tryCount] = try{attempt: almondstep.AttemptID(index + 1), item: uint32(len(at.items)), open: true}
	sh.tryCount++
	sh.begun++
	sh.state = shardRequested
	sh.picked = false
	at.items = append(at.items, almondstep.Item{Shard: qu.plan.Targets()[p.target].Shard(), Upstream: p.upstream})
	at.open++
	qu.inFlight++
	qu.begun++
	qu.sent++
	q.counters.Attempts++
}

func (q *Queries) emitWorks(qu *query, first int, hedge bool) {
	n := len(qu.attempts) - first
	works := make([]almondstep.Work, n)
	sends := make([]almondstep.SendWork, n)
	remaining := q.remainingAt(qu, qu.attempts[first].rtt)
	for i := range n {
		at := &qu.attempts[first+i]
		works[i] = almondstep.Work{
			Query:       qu.id,
			Attempt:     almondstep.AttemptID(first + i + 1),
			Version:     qu.plan.Version(),
			Class:       qu.request.class.Name(),
			Priority:    qu.request.class.Priority(),
			Tenant:      qu.request.tenant.Name,
			Text:        qu.request.text,
			Limit:       qu.request.limit,
			Operation:   qu.request.operation,
			Idempotent:  !qu.request.atMostOnce,
			Fingerprint: qu.request.fingerprint,
			Remaining:   remaining,
			FlushAfter:  min(qu.flushAfter, remaining),
			Hedge:       hedge,
			Items:       at.items,
		}
		q.ownerBackoffs.extend(at.owner, q.now)
		sends[i] = almondstep.SendWork{Owner: at.owner, Work: &works[i]}
		q.emit(&sends[i])
	}
}

// remainingAt returns the time that an owner has for its last answer, which must
// arrive before the hard deadline to be merged. It is the time left, less the
// round-trip time and a margin, but at least three quarters of it.
func (q *Queries) remainingAt(qu *query, rtt time.Duration) time.Duration {
	const maxMarginDivisor = 4
	remaining := max(0, qu.hard.Sub(q.now))
	return remaining - min(rtt+ownerMargin, remaining/maxMarginDivisor)
}

// setOwnerTimer sets one timer for all owners with a Work, unless one is set, the
// request is not idempotent or the hard deadline comes first.
func (q *Queries) setOwnerTimer(qu *query, due almondstep.Instant) {
	if qu.timerIsSet || qu.request.atMostOnce || due >= qu.hard {
		return
	}
	qu.timerIsSet = true
	q.setTimer(qu, almondstep.TimerHedge, due)
}

func (q *Queries) setTimer(qu *query, what almondstep.TimerKind, at almondstep.Instant) {
	q.emit(&almondstep.SetQueryTimer{ID: qu.id, Purpose: what, After: at.Sub(q.now)})
}
