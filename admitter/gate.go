package admitter

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
)

const (
	// maxWaiting is the maximum number of waiting requests of a daemon.
	maxWaiting = 256
	// minCheck is the shortest time until a waiting request is checked again.
	minCheck = time.Millisecond
	// manyShards is the number of shards above which the capacity for waiting requests is
	// determined once each visitInterval, rather than at the end of each call.
	manyShards    = 8
	visitInterval = 3 * time.Millisecond
)

// Gate decides for routed requests when they run, wait or are refused for lack of capacity.
// It is the state of one traffic thread.
type Gate struct {
	services  map[almondstep.ServiceName]*service
	upstreams map[almondstep.UpstreamID]*upstream
	lanes     map[almondstep.ServiceName]*lane
	// entries holds the waiting requests; pressed lists the lanes that have some, in the
	// order in which they got the first.
	entries   map[almondstep.QueryID]*entry
	pressed   []*lane
	processor processor
	random    almondstep.Random
	sequence  uint64
	scratch   []outlook
}

// NewGate returns a gate. The seed is that of the random part of a Retry-After.
func NewGate(seed uint64) *Gate {
	return &Gate{
		services:  make(map[almondstep.ServiceName]*service),
		upstreams: make(map[almondstep.UpstreamID]*upstream),
		lanes:     make(map[almondstep.ServiceName]*lane),
		entries:   make(map[almondstep.QueryID]*entry),
		random:    almondstep.NewRandom(seed),
	}
}

// Offer decides on a request that has arrived. After the verdict Pass the request must be
// ended by Ended. After the verdict Wait it is started by Next, refused by Check, or
// removed by Remove.
func (g *Gate) Offer(now almondstep.Instant, a Ask) Verdict {
	l := g.laneOf(&a)
	queued := len(l.waiting) > 0 || g.processor.limit > 0 && len(g.entries) > 0
	pressed := queued || now < l.pressedUntil
	if !pressed && g.processor.has(a.Work) && (!a.Local || now >= l.loadedUntil) {
		g.processor.started(a.Work)
		return Verdict{}
	}
	o := g.outlook(now, &a)
	blocked := g.processor.wait(a.Work)
	if !pressed && o.wait == 0 && blocked == 0 {
		g.processor.started(a.Work)
		return Verdict{}
	}
	l.shares.arrived(&a)
	if !queued && o.wait == 0 && blocked == 0 {
		l.shares.started(&a)
		g.processor.started(a.Work)
		return Verdict{}
	}
	l.pressedUntil = now.Add(pressureMemory)
	g.sequence++
	e := &entry{Ask: a, lane: l, sequence: g.sequence}
	e.setStarts(o.takes)
	v := g.expect(now, e, o)
	if v.Decision == Refuse {
		return v
	}
	return g.enqueue(now, e, v)
}

// laneOf returns the lane of a request.
func (g *Gate) laneOf(a *Ask) *lane {
	if s := g.services[a.Service]; s != nil {
		return s.lane
	}
	return g.laneNamed(a.Service)
}

// enqueue adds a request to its lane. If too many wait, the last in the order of this lane, one
// of a less urgent class in another lane, or the new one is refused.
func (g *Gate) enqueue(now almondstep.Instant, e *entry, v Verdict) Verdict {
	if len(g.entries) >= maxWaiting {
		last := g.lastWaiting(e)
		refusal := Verdict{Decision: Refuse, Cause: v.Cause, RetryAfter: g.spread(last.latestStart.Sub(now))}
		if last == e {
			return refusal
		}
		g.Remove(last.ID)
		v.Displaced, v.DisplacedVerdict = last.ID, &refusal
	}
	if len(e.lane.waiting) == 0 {
		g.pressed = append(g.pressed, e.lane)
	}
	if g.processor.limit > 0 {
		// The request may fit although those before it don't.
		e.lane.visitedAt = 0
	}
	e.lane.waiting = append(e.lane.waiting, e)
	g.entries[e.ID] = e
	return v
}

// lastWaiting returns the request that gives way to e if too many wait; e itself if none does.
func (g *Gate) lastWaiting(e *entry) *entry {
	if last := e.lane.last(); last != nil && e.lane.order(e, last) <= 0 {
		return last
	}
	least := e
	for _, l := range g.pressed {
		if last := l.last(); l != e.lane && last.Priority > e.Priority && compare(last, least) > 0 {
			least = last
		}
	}
	return least
}

// Next returns the waiting request that runs now, if there is one. It must be ended by
// Ended. Call Next until it returns false, and send the calls of each request before the
// next call.
func (g *Gate) Next(now almondstep.Instant) (almondstep.QueryID, bool) {
	var best *entry
	blocked := false
	for _, l := range g.pressed {
		e, fits := g.startable(now, l)
		if e == nil || best != nil && compare(e, best) > 0 {
			continue
		}
		best, blocked = e, !fits
		if g.processor.limit == 0 {
			// Lanes compete for the processor only.
			break
		}
	}
	if best == nil || blocked {
		return 0, false
	}
	best.lane.start(now, best)
	g.forget(best)
	g.processor.started(best.Work)
	return best.ID, true
}

// startable returns the first request of a lane that has capacity; nil if none has. It also
// returns one, with fits unset, that has lacked capacity of the processor only for so long that
// none after it in the order may pass it.
func (g *Gate) startable(now almondstep.Instant, l *lane) (first *entry, fits bool) {
	if l.visitedAt != 0 && now.Sub(l.visitedAt) < visitInterval && len(l.waiting[0].Route.Shards()) > manyShards {
		return l.blocking, false
	}
	slices.SortFunc(l.waiting, l.order)
	l.visitedAt, l.blocking = now, nil
	var short *Ask
	for _, e := range l.waiting {
		fits := g.processor.has(e.Work)
		if !fits {
			e.blockedAt = cmp.Or(e.blockedAt, now)
		}
		if !fits && now.Sub(e.blockedAt) <= blockAfter || short != nil && short.needsLike(&e.Ask) {
			continue
		}
		switch {
		case g.outlook(now, &e.Ask).wait > 0:
			short = &e.Ask
		case fits:
			l.visitedAt = 0
			return e, true
		default:
			l.blocking = e
			return e, false
		}
	}
	return nil, false
}

// forget removes the traces of an entry outside its lane.
func (g *Gate) forget(e *entry) {
	delete(g.entries, e.ID)
	if len(e.lane.waiting) > 0 {
		return
	}
	for i, l := range g.pressed {
		if l == e.lane {
			g.pressed = append(g.pressed[:i:i], g.pressed[i+1:]...)
			return
		}
	}
}

// Check decides again on a request that waits. After the verdict Refuse it no longer waits.
func (g *Gate) Check(now almondstep.Instant, id almondstep.QueryID) Verdict {
	e := g.entries[id]
	if e == nil {
		return Verdict{}
	}
	v := g.expect(now, e, g.outlook(now, &e.Ask))
	if v.Decision == Refuse && now < e.latestStart {
		// A request before it may still be refused or leave.
		return Verdict{Decision: Wait, Cause: v.Cause, CheckAt: e.latestStart}
	}
	if v.Decision == Refuse {
		e.lane.pressedUntil = now.Add(pressureMemory)
		g.Remove(id)
	}
	return v
}

// Remove removes a waiting request that has ended otherwise.
func (g *Gate) Remove(id almondstep.QueryID) {
	if e := g.entries[id]; e != nil {
		e.lane.remove(e)
		g.forget(e)
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.entries) }
