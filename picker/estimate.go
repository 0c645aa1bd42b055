package picker

import (
	"math"
	"time"

	"almondstep"
)

const (
	// A new latency has the weight 1/meanDivisor in the mean and 1/deviationDivisor in
	// the deviation, as in TCP's estimate of the round-trip time.
	meanDivisor      = 8
	deviationDivisor = 4
	// latencyMaxAge is how long an estimate is valid without a new latency, unless the
	// upstream is slow; after that, the group's estimate is used, or one by the
	// upstream's distance.
	latencyMaxAge = 2 * time.Second
	// A call has the weight 1/failureDivisor in the share of failed calls.
	failureDivisor = 6
	// failureDecayTime is the time constant of the decay of the share of failed calls:
	// without new calls, it falls to 1/e in this time.
	failureDecayTime = 3 * time.Second
	// loadMaxAge is how long an upstream's reported load is used.
	loadMaxAge = 300 * time.Millisecond
)

// estimate holds the observed latency, failures and load of an upstream.
type estimate struct {
	// mean and deviation are those of the latency at the pace 100, last updated at
	// latencyAt.
	mean      time.Duration
	deviation time.Duration
	latencyAt almondstep.Instant
	// failedShare is the share of failed calls, last updated at outcomeAt.
	failedShare float64
	outcomeAt   almondstep.Instant
	// load is what the upstream reported at loadAt.
	load   almondstep.UpstreamLoad
	loadAt almondstep.Instant
}

// observeLatency updates the estimate with a latency. The first latency, and one after
// the estimate has expired, replaces it.
func (e *estimate) observeLatency(now almondstep.Instant, took time.Duration) {
	if !e.hasRecentLatency(now) {
		e.mean = took
		e.deviation = took / deviationDivisor
		e.latencyAt = now
		return
	}
	e.latencyAt = now
	delta := took - e.mean
	e.mean += delta / meanDivisor
	e.deviation += (delta.Abs() - e.deviation) / deviationDivisor
}

// observeOutcome updates the share of failed calls.
func (e *estimate) observeOutcome(now almondstep.Instant, failed bool) {
	share := e.failureShare(now)
	target := 0.0
	if failed {
		target = 1
	}
	e.failedShare = share + (target-share)/failureDivisor
	e.outcomeAt = now
}

// failureShare returns the share of failed calls, which decays over time.
func (e *estimate) failureShare(now almondstep.Instant) float64 {
	return e.failedShare * math.Exp(-float64(now.Sub(e.outcomeAt))/float64(failureDecayTime))
}

// hasRecentLatency reports whether a latency was observed within latencyMaxAge.
func (e *estimate) hasRecentLatency(now almondstep.Instant) bool {
	return e.latencyAt != 0 && now.Sub(e.latencyAt) <= latencyMaxAge
}
