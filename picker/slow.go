package picker

import (
	"time"

	"almondstep"
)

const (
	// slowRatio is the ratio of an upstream's latency to that of its group from which on
	// the upstream is slow.
	slowRatio = 2
	// slowMaxAge is how long the estimate of a slow upstream is valid without a new
	// latency: its estimate must outlive the time between two trials.
	slowMaxAge = 20 * time.Second
	// firstTrialDelay is the time from a slow latency to the first trial call. The delay
	// doubles with each trial that isn't answered at the usual latency, up to
	// maxTrialDelay, within which a recovered upstream is found.
	firstTrialDelay = latencyMaxAge
	maxTrialDelay   = 4 * time.Second
)

// slowness holds when a slow upstream may get a trial call. The zero value is that of an
// upstream that isn't slow.
type slowness struct {
	until      almondstep.Instant
	trialAt    almondstep.Instant
	trialDelay time.Duration
}

// isSlow reports whether the upstream was slow recently.
func (u *upstreamState) isSlow(now almondstep.Instant) bool { return now < u.slowness.until }

// assessSlowness compares the upstream's latency at its usual pace with what is typical,
// in both cases at the pace 100, after a new latency.
func (u *upstreamState) assessSlowness(now almondstep.Instant, typical time.Duration) {
	mean := rescale(u.mean, u.rtt, usualPace, u.pace.meanPace(now, u.validFor(now)))
	if mean <= slowRatio*typical {
		u.slowness = slowness{}
		return
	}
	if !u.isSlow(now) {
		u.slowness.trialDelay = firstTrialDelay
	}
	u.slowness.until = now.Add(slowMaxAge)
	u.slowness.trialAt = now.Add(u.slowness.trialDelay)
}

// trialDue reports whether a slow upstream may get a call as if it weren't slow. Such a
// call is hedged as early as one to a usual upstream; calls that aren't hedged are no trials.
func (u *upstreamState) trialDue(now almondstep.Instant) bool {
	return u.isSlow(now) && now >= u.slowness.trialAt && len(u.inFlight) == 0
}

// startTrial doubles the delay to the next trial.
func (u *upstreamState) startTrial(now almondstep.Instant) {
	u.slowness.trialDelay = min(2*u.slowness.trialDelay, maxTrialDelay)
	u.slowness.trialAt = now.Add(u.slowness.trialDelay)
	u.slowness.until = now.Add(slowMaxAge)
}

// validFor is how long the upstream's own observations are valid.
func (u *upstreamState) validFor(now almondstep.Instant) time.Duration {
	if u.isSlow(now) {
		return slowMaxAge
	}
	return latencyMaxAge
}
