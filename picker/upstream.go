package picker

import (
	"time"

	"almondstep"
)

const (
	// minBackoff and maxBackoff bound the backoff for an unreachable upstream; it
	// doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// misdirectedBackoff is the backoff for an address at which another upstream
	// answers; by its end the outdated entry has been removed.
	misdirectedBackoff = 5 * time.Second
	// maxUnanswered is the number of consecutive unanswered calls after which an
	// upstream counts as unreachable.
	maxUnanswered = 4
)

// upstreamState holds this daemon's observations of one upstream.
type upstreamState struct {
	estimate
	started         time.Time
	prior           time.Duration
	group           *groupEstimate
	slots           int
	inFlight        map[almondstep.CallID]almondstep.Instant
	backoff         time.Duration
	backoffUntil    almondstep.Instant
	unansweredInRow int
	coldUntil       almondstep.Instant
	listed          bool
}

// unreachable starts a backoff.
func (u *upstreamState) unreachable(now almondstep.Instant) {
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

func (u *upstreamState) reached() {
	u.backoff = 0
	u.backoffUntil = 0
	u.unansweredInRow = 0
}

// unanswered counts a call without an answer.
func (u *upstreamState) unanswered(now almondstep.Instant) {
	u.unansweredInRow++
	u.observeOutcome(now, true)
	if u.unansweredInRow >= maxUnanswered {
		u.unreachable(now)
	}
}

// overdue is by how much the oldest call in flight exceeds the usual time; 0 if it
// doesn't.
func (u *upstreamState) overdue(now almondstep.Instant) time.Duration {
	if !u.hasLatency(now) {
		return 0
	}
	usual := u.usual(now)
	most := time.Duration(0)
	for _, at := range u.inFlight {
		most = max(most, now.Sub(at)-usual)
	}
	return most
}

// usual is the time within which nearly all answers arrive.
func (u *upstreamState) usual(now almondstep.Instant) time.Duration {
	mean, deviation := u.expectedLatency(now)
	return mean + usualDeviations*deviation
}

// hasLatency reports whether there is a recent latency of the upstream or any latency
// of its group, so that an overdue call can be recognised.
func (u *upstreamState) hasLatency(now almondstep.Instant) bool { return u.known(now) || u.group.seen }

// expectedLatency returns the mean and deviation of the next latency: the upstream's
// own if recent, else the group's, else one by the upstream's distance.
func (u *upstreamState) expectedLatency(now almondstep.Instant) (mean, deviation time.Duration) {
	switch {
	case u.known(now):
		return u.mean, u.deviation
	case u.group.seen:
		return u.group.mean, u.group.deviation
	default:
		return u.prior, u.prior / priorDeviationDivisor
	}
}
