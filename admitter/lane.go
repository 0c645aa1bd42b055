package admitter

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
)

const (
	// pressureMemory is how long a lane counts as short of capacity after a request last
	// had to wait or was refused, and as loaded after an upstream was last seen with a
	// queue. Shares are counted in this time only.
	pressureMemory = time.Second
	// A measured interval between starts has the weight 1/intervalDivisor in the mean.
	intervalDivisor = 8
	maxInterval     = 200 * time.Millisecond
	// similarSpan is the greatest difference of two requests' spans at which the same upstreams
	// count as their capacity: the spans of delegated requests differ by a few milliseconds.
	similarSpan = 10 * time.Millisecond
)

// lane holds the waiting requests of one service, or of the shards that routes have in
// common.
type lane struct {
	name    almondstep.ServiceName
	waiting []*entry
	shares  shares
	// loadedUntil is the end of the time in which upstreams may have a queue above
	// maxQueueWait, as one was seen with it.
	loadedUntil almondstep.Instant
	// pressedUntil is the end of the time in which the lane counts as short of capacity.
	pressedUntil almondstep.Instant
	reported     bool
	// serviceTime is the mean over all upstreams at the usual pace; observed is set once a
	// call has ended.
	serviceTime time.Duration
	observed    bool
	// startedAt is when a waiting request was last started, and interval the mean time
	// between such starts; 0 if unknown.
	startedAt almondstep.Instant
	interval  time.Duration
	// visitedAt is when the waiting requests were last visited without one to start; 0 if one
	// was found since. blocking is the one that none after it may pass since then; nil if none.
	visitedAt almondstep.Instant
	blocking  *entry
}

// entry is a waiting request.
type entry struct {
	Ask
	lane     *lane
	sequence uint64
	// latestStart is when the request must start to end in time, and lastStart when it must
	// start to be answered at all.
	latestStart almondstep.Instant
	lastStart   almondstep.Instant
	// blockedAt is since when the processor lacks capacity for the request, while it is the
	// next in the order; 0 if it doesn't.
	blockedAt almondstep.Instant
}

func newLane(name almondstep.ServiceName) *lane {
	return &lane{name: name, serviceTime: priorServiceTime, shares: newShares()}
}

// served records a service time at the usual pace.
func (l *lane) served(took time.Duration) {
	if !l.observed {
		l.observed, l.serviceTime = true, took
		return
	}
	l.serviceTime += (took - l.serviceTime) / laneTimeDivisor
}

// compare orders requests whatever their lanes and shares: the highest priority first, then
// the earliest latest start.
func compare(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// order compares the turns of two requests of the lane: first by how far their classes are
// below their guaranteed shares, then by priority, by how far their organisations are below
// theirs, and by latest start.
func (l *lane) order(a, b *entry) int {
	if a.Priority != b.Priority {
		return cmp.Or(
			cmp.Compare(l.shares.classDeficit(&b.Ask), l.shares.classDeficit(&a.Ask)),
			cmp.Compare(a.Priority, b.Priority),
		)
	}
	if a.Organisation != b.Organisation {
		order := cmp.Compare(l.shares.organisationDeficit(&b.Ask), l.shares.organisationDeficit(&a.Ask))
		return cmp.Or(order, compare(a, b))
	}
	return compare(a, b)
}

// ahead returns the number of waiting requests whose turn is before that of e.
func (l *lane) ahead(e *entry) int {
	n := 0
	for _, other := range l.waiting {
		if other != e && l.order(other, e) < 0 {
			n++
		}
	}
	return n
}

// last returns the waiting request whose turn is last; nil if none waits.
func (l *lane) last() *entry {
	if len(l.waiting) == 0 {
		return nil
	}
	return slices.MaxFunc(l.waiting, l.order)
}

// remove removes a waiting request.
func (l *lane) remove(e *entry) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *entry) bool { return other == e })
	if l.blocking == e {
		l.blocking, l.visitedAt = nil, 0
	}
	if len(l.waiting) == 0 {
		l.startedAt, l.interval = 0, 0
	}
}

// needsLike reports whether two requests need the same upstreams, so that one has no
// capacity if the other has none.
func (a *Ask) needsLike(b *Ask) bool {
	return a.Local == b.Local && a.Service == b.Service &&
		len(a.Route.Shards()) == len(b.Route.Shards()) &&
		(a.span()-b.span()).Abs() <= similarSpan && a.Route.MinCoverage() == b.Route.MinCoverage() &&
		slices.Equal(a.Route.Spec().Regions, b.Route.Spec().Regions)
}

// start records that a waiting request starts.
func (l *lane) start(now almondstep.Instant, e *entry) {
	if l.startedAt != 0 {
		took := min(maxInterval, now.Sub(l.startedAt))
		if l.interval == 0 {
			l.interval = took
		}
		l.interval += (took - l.interval) / intervalDivisor
	}
	l.startedAt, l.visitedAt = now, 0
	l.shares.started(&e.Ask)
	l.remove(e)
}
