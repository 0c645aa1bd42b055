package admitter

import (
	"time"

	"almondstep"
)

const (
	// maxQueueWait is the time that a call may wait at an upstream that still counts as
	// having capacity. It covers the round trip before the next call, during which an
	// upstream without a queue would be idle.
	maxQueueWait = 10 * time.Millisecond
	// maxKnownQueue bounds the length of a queue that is inferred from one observation.
	maxKnownQueue = time.Second
	// priorServiceTime is the service time that is assumed before any call has ended.
	priorServiceTime = 10 * time.Millisecond
	// serviceTimeMaxAge is how long an upstream's own service time is used without a new
	// observation; then that of its lane is used.
	serviceTimeMaxAge = 2 * time.Second
	// A service time has the weight 1/serviceTimeDivisor in the mean of its upstream and
	// 1/laneTimeDivisor in that of its lane. A daemon calls an upstream rarely: with 1/8, one
	// that had become slow counted as capacity for a second.
	serviceTimeDivisor = 4
	laneTimeDivisor    = 8
	// stallFactor times the service time, and at least minStall, without an answer mark an
	// upstream with calls in flight as paused.
	stallFactor = 5
	minStall    = 50 * time.Millisecond
	// An upstream is no capacity for lostFor after a refused connection or after
	// maxUnanswered unanswered calls in a row.
	lostFor       = 500 * time.Millisecond
	maxUnanswered = 2
	// usualPace is the pace, in percent, of a machine at its usual speed.
	usualPace = 100
	// unseenQueueFactor times the service time is the latency above which an upstream that
	// reports no load is assumed to have a queue.
	unseenQueueFactor = 2
)

// upstream is what this daemon knows of the load of one upstream.
type upstream struct {
	run    almondstep.UpstreamRun
	region almondstep.RegionName
	// slots is 0 if unknown.
	slots    int
	inFlight int
	// queueEnds is when a further call would start at the upstream, as last seen or
	// inferred.
	queueEnds almondstep.Instant
	// progressAt is when the last call ended, or the first one in flight was sent.
	progressAt almondstep.Instant
	lostUntil  almondstep.Instant
	unanswered int
	leaving    bool
	// serviceTime is the mean at the usual pace, last observed at serviceTimeAt.
	serviceTime   time.Duration
	serviceTimeAt almondstep.Instant
	pace          int
	lane          *lane
}

// usable reports whether the upstream can get requests of a route.
func (u *upstream) usable(now almondstep.Instant, r *almondstep.Route) bool {
	return !u.leaving && now >= u.lostUntil && r.Allows(u.region)
}

// expected returns the service time at the upstream's present pace.
func (u *upstream) expected(now almondstep.Instant) time.Duration {
	if u.serviceTimeAt != 0 && now.Sub(u.serviceTimeAt) <= serviceTimeMaxAge {
		return u.atPace(u.serviceTime)
	}
	return u.atPace(u.lane.serviceTime)
}

func (u *upstream) atPace(d time.Duration) time.Duration {
	if u.pace <= 0 {
		return d
	}
	return d * time.Duration(u.pace) / usualPace
}

// interval returns the time between the starts of calls at an upstream that is fully used.
func (u *upstream) interval(now almondstep.Instant) time.Duration {
	return u.expected(now) / time.Duration(max(1, u.slots))
}

// wait returns the time until a further call would start at the upstream; 0 if it has a
// free slot or isn't known to have none.
func (u *upstream) wait(now almondstep.Instant) time.Duration {
	wait := max(0, u.queueEnds.Sub(now))
	if u.slots > 0 && u.inFlight >= u.slots {
		wait = max(wait, time.Duration(u.inFlight+1-u.slots)*u.interval(now))
	}
	if u.inFlight > 0 && now.Sub(u.progressAt) > max(minStall, stallFactor*u.expected(now)) {
		wait = max(wait, maxQueueWait+u.expected(now))
	}
	return wait
}

// sent records a call that this daemon sends.
func (u *upstream) sent(now almondstep.Instant) {
	if u.inFlight == 0 {
		u.progressAt = now
	}
	u.inFlight++
	if u.queueEnds > now {
		u.queueEnds = u.queueEnds.Add(u.interval(now))
	}
}

// ended records the end of a call. took is the time that the upstream needed.
func (u *upstream) ended(now almondstep.Instant, took time.Duration, e *almondstep.CallEnded) {
	before := u.inFlight
	u.inFlight = max(0, u.inFlight-1)
	u.leaving = u.leaving || e.Leaving
	if e.Response != nil {
		u.unanswered = 0
		u.progressAt = now
	}
	if e.Load != nil {
		u.reported(now, e.Load)
	}
	switch e.Result {
	case almondstep.CallDone:
		u.served(now, took, before, e.Load)
	case almondstep.CallShed:
		u.progressAt = now
		least := now.Add(unseenQueueFactor * max(u.expected(now), maxQueueWait))
		if e.Load != nil {
			least = now.Add(u.interval(now))
		}
		u.queueEnds = max(u.queueEnds, least)
	case almondstep.CallRefused:
		u.lost(now.Add(lostFor))
	case almondstep.CallBroken, almondstep.CallTimeout:
		u.unanswered++
		if u.unanswered >= maxUnanswered {
			u.lost(now.Add(lostFor))
		}
	default:
	}
}

// lost records that the upstream is no capacity until an instant, or a later one that is known.
func (u *upstream) lost(until almondstep.Instant) { u.lostUntil = max(u.lostUntil, until) }

// reported records the load that the upstream reported.
func (u *upstream) reported(now almondstep.Instant, l *almondstep.UpstreamLoad) {
	if l.Slots > 0 {
		u.slots = l.Slots
	}
	u.pace = l.Pace
	queued := max(0, l.Running+l.Waiting+1-max(1, u.slots))
	u.queueEnds = now.Add(min(maxKnownQueue, time.Duration(queued)*u.interval(now)))
}

// served records the latency of an answered call. The time in the upstream's queue is
// removed from it: as reported, or as caused by the calls of this daemon.
func (u *upstream) served(now almondstep.Instant, took time.Duration, inFlight int, l *almondstep.UpstreamLoad) {
	slots := max(1, u.slots)
	queued := max(0, inFlight-slots)
	if l != nil {
		queued = max(0, l.Waiting)
	}
	took = max(time.Microsecond, took) * time.Duration(slots) / time.Duration(slots+queued)
	weight := time.Duration(serviceTimeDivisor)
	if known := u.expected(now); l == nil && u.lane.observed && took > unseenQueueFactor*known {
		u.queueEnds = max(u.queueEnds, now.Add(min(maxKnownQueue, took-known)))
		// A slower upstream is learned too, but more slowly than a queue ends.
		weight *= unseenQueueFactor
	}
	if u.pace > 0 {
		took = took * usualPace / time.Duration(u.pace)
	}
	u.lane.served(took)
	if u.serviceTimeAt == 0 || now.Sub(u.serviceTimeAt) > serviceTimeMaxAge {
		u.serviceTime = u.lane.serviceTime
		if l != nil {
			u.serviceTime = took
		}
	}
	u.serviceTime += (took - u.serviceTime) / weight
	u.serviceTimeAt = now
}
