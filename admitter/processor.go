package admitter

import (
	"time"

	"almondstep"
)

const (
	// maxLag is the time from the arrival of a request to its handling above which the
	// processor counts as saturated.
	maxLag = 30 * time.Millisecond
	// lateMemory is the time within which events must be handled late twice, at least
	// adaptInterval apart, before calls are limited. A VM with a part of a core stands still for
	// tens of milliseconds also when it isn't saturated.
	lateMemory = time.Second
	// limitMemory is the time after the end of a limit within which the first late event sets
	// it again.
	limitMemory = 10 * time.Second
	// adaptInterval is the shortest time between two changes of the limit.
	adaptInterval = 100 * time.Millisecond
	// The limit falls by 1/lagDecrease of the open calls and rises by 1/lagIncrease.
	lagDecrease = 6
	lagIncrease = 16
	// minOpenCalls is the lowest limit, so that a slow processor always has some work.
	minOpenCalls = 8
	// The limit ends when it is limitEnd times the open calls.
	limitEnd = 2
	// blockAfter is how long the next request in the order may lack capacity of the
	// processor before smaller ones no longer pass it.
	blockAfter = 20 * time.Millisecond
)

// processor limits the calls of the open requests while events are handled late.
type processor struct {
	// open is the number of calls that the open requests need.
	open int
	// limit is the maximum of open; 0 sets none.
	limit     int
	adaptedAt almondstep.Instant
	// lateAt is when events were last seen to be handled late, and limitedAt when the limit
	// last rose or ended; 0 if never.
	lateAt    almondstep.Instant
	limitedAt almondstep.Instant
	// reported is whether a limit was in effect when it was last reported.
	reported bool
	// interval is the mean time in which one call's work ended, last updated at endedAt.
	interval time.Duration
	endedAt  almondstep.Instant
}

// observe adapts the limit to the time between a request's arrival and its handling.
func (p *processor) observe(now almondstep.Instant, lag time.Duration) {
	if p.limit == 0 && lag <= maxLag || now.Sub(p.adaptedAt) < adaptInterval {
		return
	}
	p.adaptedAt = now
	if lag > maxLag {
		again := within(now, p.lateAt, lateMemory) || within(now, p.limitedAt, limitMemory)
		if p.lateAt = now; p.limit == 0 && !again {
			return
		}
		used := p.open
		if p.limit > 0 {
			used = min(used, p.limit)
		}
		p.limit = max(minOpenCalls, used-max(1, used/lagDecrease))
		return
	}
	p.limitedAt = now
	p.limit += max(1, p.limit/lagIncrease)
	if p.limit > limitEnd*max(p.open, minOpenCalls) {
		p.limit = 0
	}
}

// within reports whether an event was less than d ago; at is 0 if it never happened.
func within(now, at almondstep.Instant, d time.Duration) bool { return at != 0 && now.Sub(at) <= d }

// has reports whether there is capacity for so many calls more. A request that needs more
// than the limit runs while half of the limit is unused.
func (p *processor) has(work int) bool {
	return p.limit == 0 || p.open+work <= p.limit || limitEnd*p.open <= p.limit
}

// wait returns the time until there is capacity for so many calls more; 0 only if there is now,
// also while no interval is known.
func (p *processor) wait(work int) time.Duration {
	if p.has(work) {
		return 0
	}
	over := p.open - max(p.limit/limitEnd, p.limit-work)
	return max(minCheck, time.Duration(max(1, over))*p.interval)
}

// started counts the calls that a request needs.
func (p *processor) started(work int) { p.open += work }

// ended subtracts the calls that a request needed.
func (p *processor) ended(now almondstep.Instant, work int) {
	p.open = max(0, p.open-work)
	if p.endedAt != 0 && work > 0 {
		took := min(maxInterval, now.Sub(p.endedAt)) / time.Duration(work)
		p.interval += (took - p.interval) / intervalDivisor
	}
	p.endedAt = now
}
