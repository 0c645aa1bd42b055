package querier

import (
	"time"

	"almondstep"
)

// ownerMargin is how much later than asked an owner's answer may come before
// the owner counts as silent, besides the way there and back.
const ownerMargin = 4 * time.Millisecond

// pick is one try about to be sent.
type pick struct {
	target   int
	group    int
	upstream almondstep.Address
	distance time.Duration
}

// scratch is memory used within one event.
type scratch struct {
	picks   []pick
	owners  []almondstep.DaemonID
	counts  []int
	groups  map[almondstep.DaemonID]int
	pending []int
	failed  []failedTry
	cancels []cancel
}

func newScratch() scratch {
	return scratch{groups: make(map[almondstep.DaemonID]int)}
}

// pick notes a try that sendPicks will send.
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

// sendPicks sends one Work to each owner of the noted tries.
func (q *Queries) sendPicks(qu *query, hedge bool) {
	s := &q.scratch
	if len(s.picks) == 0 {
		return
	}
	first := len(qu.attempts)
	q.cutAttempts(qu)
	farthest := time.Duration(0)
	for i := range s.picks {
		p := &s.picks[i]
		farthest = max(farthest, p.distance)
		q.addTry(qu, p, first+p.group)
	}
	const ways = 2
	way := ways * farthest
	due := q.now.Add(qu.flushAfter + way + ownerMargin)
	for i := first; i < len(qu.attempts); i++ {
		qu.attempts[i].due = due
		qu.attempts[i].way = way
	}
	q.emitWorks(qu, first, hedge)
	q.watchOwners(qu, due)
	clear(s.groups)
	s.picks, s.owners, s.counts = s.picks[:0], s.owners[:0], s.counts[:0]
}

// cutAttempts adds an attempt for each owner, with items cut from one slab.
func (q *Queries) cutAttempts(qu *query) {
	s := &q.scratch
	slab := make([]almondstep.Item, len(s.picks))
	for i, owner := range s.owners {
		n := s.counts[i]
		qu.attempts = append(qu.attempts, attempt{owner: owner, items: slab[:0:n], sent: q.now})
		slab = slab[n:]
	}
}

func (q *Queries) addTry(qu *query, p *pick, place int) {
	at := &qu.attempts[place]
	sh := &qu.shards[p.target]
	sh.tries[sh.count] = try{attempt: almondstep.AttemptID(place + 1), item: uint32(len(at.items)), open: true}
	sh.count++
	sh.begun++
	sh.state = shardAsked
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
	remaining := q.remainingAt(qu, qu.attempts[first].way)
	for i := range n {
		at := &qu.attempts[first+i]
		works[i] = almondstep.Work{
			Query:       qu.id,
			Attempt:     almondstep.AttemptID(first + i + 1),
			Version:     qu.plan.Version(),
			Class:       qu.ask.class.Name(),
			Priority:    qu.ask.class.Priority(),
			Tenant:      qu.ask.tenant.Name,
			Text:        qu.ask.text,
			Limit:       qu.ask.limit,
			Operation:   qu.ask.operation,
			Idempotent:  !qu.ask.once,
			Fingerprint: qu.ask.fingerprint,
			Remaining:   remaining,
			FlushAfter:  min(qu.flushAfter, remaining),
			Hedge:       hedge,
			Items:       at.items,
		}
		q.silences.tried(at.owner, q.now)
		sends[i] = almondstep.SendWork{Owner: at.owner, Work: &works[i]}
		q.emit(&sends[i])
	}
}

// remainingAt is the time that an owner has: it answers that much before the
// hard deadline that its last word is still in the answer.
func (q *Queries) remainingAt(qu *query, way time.Duration) time.Duration {
	const atMostAQuarter = 4
	remaining := max(0, qu.hard.Sub(q.now))
	return remaining - min(way+ownerMargin, remaining/atMostAQuarter)
}

// watchOwners sets one timer for all owners asked so far, if none is set.
func (q *Queries) watchOwners(qu *query, due almondstep.Instant) {
	if qu.timerIsSet || qu.ask.once || due >= qu.hard {
		return
	}
	qu.timerIsSet = true
	q.setTimer(qu, almondstep.TimerHedge, due)
}

func (q *Queries) setTimer(qu *query, what almondstep.TimerKind, at almondstep.Instant) {
	q.emit(&almondstep.SetQueryTimer{ID: qu.id, What: what, After: at.Sub(q.now)})
}
