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
	// answers: long enough for the outdated registry entry to be removed.
	misdirectedBackoff = 5 * time.Second
	// maxUnanswered is the number of consecutive unanswered calls after which an
	// upstream counts as unreachable.
	maxUnanswered = 4
	// unresponsiveAfter is the number of consecutive unanswered calls after which an
	// upstream counts as unresponsive.
	unresponsiveAfter = 2
)

// upstreamState holds this daemon's observations of one upstream.
type upstreamState struct {
	estimate
	// started distinguishes restarts under the same ID.
	started time.Time
	// prior is the latency that is assumed before any observation.
	prior time.Duration
	// rtt is the assumed part of a latency that doesn't depend on the upstream's pace.
	rtt      time.Duration
	pace     paceEstimate
	slowness slowness
	group    *groupEstimate
	slots    int
	// inFlight holds the pending calls and when they were sent.
	inFlight              map[almondstep.CallID]almondstep.Instant
	backoff               time.Duration
	backoffUntil          almondstep.Instant
	consecutiveUnanswered int
	// answeredAt is when the last response was received; 0 if none was.
	answeredAt almondstep.Instant
	cold       coldState
	// listed is used by UpdateDirectory only.
	listed bool
}

// startBackoff starts a backoff, twice as long as the last one.
func (u *upstreamState) startBackoff(now almondstep.Instant) {
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// resetBackoff ends the backoff after a response and resets its length.
func (u *upstreamState) resetBackoff() {
	u.backoff = 0
	u.backoffUntil = 0
	u.consecutiveUnanswered = 0
}

// recordUnanswered records a call without an answer.
func (u *upstreamState) recordUnanswered(now almondstep.Instant) {
	u.consecutiveUnanswered++
	u.observeOutcome(now, true)
	if u.consecutiveUnanswered >= maxUnanswered {
		u.startBackoff(now)
	}
}

// overdue returns by how much the oldest call in flight exceeds the time within which
// nearly all answers arrive; 0 if it doesn't or no latency is known.
func (u *upstreamState) overdue(now almondstep.Instant) time.Duration {
	if !u.hasLatency(now) {
		return 0
	}
	usual := u.highLatency(now)
	most := time.Duration(0)
	for _, at := range u.inFlight {
		most = max(most, now.Sub(at)-usual)
	}
	return most
}

// silentSinceOverdue reports whether a call in flight is overdue, and no response was received
// since it was sent.
func (u *upstreamState) silentSinceOverdue(now almondstep.Instant) bool {
	if !u.hasLatency(now) {
		return false
	}
	usual := u.highLatency(now)
	for _, at := range u.inFlight {
		if now.Sub(at) > usual && u.answeredAt <= at {
			return true
		}
	}
	return false
}

// highLatency returns the time within which nearly all answers arrive.
func (u *upstreamState) highLatency(now almondstep.Instant) time.Duration {
	mean, deviation := u.expectedLatency(now)
	return mean + highLatencyDeviations*deviation
}

// recordLatency updates the estimates of the upstream and its group with a latency, each
// at the pace 100.
func (u *upstreamState) recordLatency(now almondstep.Instant, took time.Duration) {
	typical := u.prior
	if u.group.observed {
		typical = u.group.mean
	}
	took = rescale(took, u.rtt, u.pace.present(now, u.validFor(now)), usualPace)
	u.observeLatency(now, took)
	u.group.observe(took)
	u.assessSlowness(now, typical)
}

// ownLatencyValid reports whether the upstream's own latency is used, rather than that of
// its group.
func (u *upstreamState) ownLatencyValid(now almondstep.Instant) bool {
	return u.latencyAt != 0 && now.Sub(u.latencyAt) <= u.validFor(now) && !u.trialDue(now)
}

// hasLatency reports whether there is a valid latency of the upstream or any latency
// of its group, so that an overdue call can be detected.
func (u *upstreamState) hasLatency(now almondstep.Instant) bool {
	return u.ownLatencyValid(now) || u.group.observed
}

// expectedLatency returns the mean and deviation of the next latency, at the upstream's
// present pace. A trial call is expected to be answered at the pace 100.
func (u *upstreamState) expectedLatency(now almondstep.Instant) (mean, deviation time.Duration) {
	mean, deviation = u.latencyAtUsualPace(now)
	if u.trialDue(now) {
		return mean, deviation
	}
	return u.atPresentPace(now, mean, deviation)
}

// atPresentPace converts a mean and a deviation at the pace 100 into those at the upstream's
// present pace.
func (u *upstreamState) atPresentPace(now almondstep.Instant, mean, deviation time.Duration) (presentMean, presentDeviation time.Duration) {
	pace := u.pace.present(now, u.validFor(now))
	return rescale(mean, u.rtt, usualPace, pace), rescale(deviation, 0, usualPace, pace)
}

// latencyAtUsualPace returns the mean and deviation of the latency at the pace 100: the
// upstream's own if valid, else the group's, else one by the upstream's distance.
func (u *upstreamState) latencyAtUsualPace(now almondstep.Instant) (mean, deviation time.Duration) {
	switch {
	case u.ownLatencyValid(now):
		return u.mean, u.deviation
	case u.group.observed:
		return u.group.mean, u.group.deviation
	default:
		return u.prior, u.prior / priorDeviationDivisor
	}
}
