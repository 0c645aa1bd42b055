package picker

import (
	"math"
	"time"

	"almondstep"
)

const (
	// meanGain and deviationGain are the divisors that give the weights of a new
	// latency; they are those of TCP's round-trip estimate.
	meanGain      = 8
	deviationGain = 4
	// fadeAfter is how long an estimate is valid without a new latency; after that,
	// the group's estimate applies or the one for the upstream's distance.
	fadeAfter = 2 * time.Second
	// failureGain is the divisor that gives the weight of one call in the share of
	// failed calls.
	failureGain = 6
	// failureFade is the time in which a share of failures without new calls
	// falls to a third.
	failureFade = 3 * time.Second
	// loadMaxAge is how long an upstream's reported load is used.
	loadMaxAge = 300 * time.Millisecond
)

// estimate holds the observed latency, failures and load of an upstream.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	seenAt    almondstep.Instant
	failures  float64
	failedAt  almondstep.Instant
	load      almondstep.UpstreamLoad
	loadAt    almondstep.Instant
}

// observeLatency updates the estimate with a latency. After fadeAfter without
// observations it counts like the first one.
func (e *estimate) observeLatency(now almondstep.Instant, took time.Duration) {
	if !e.known(now) {
		e.mean = took
		e.deviation = took / deviationGain
		e.seenAt = now
		return
	}
	e.seenAt = now
	off := took - e.mean
	e.mean += off / meanGain
	e.deviation += (off.Abs() - e.deviation) / deviationGain
}

// observeOutcome updates the share of failed calls.
func (e *estimate) observeOutcome(now almondstep.Instant, failed bool) {
	share := e.failureShare(now)
	target := 0.0
	if failed {
		target = 1
	}
	e.failures = share + (target-share)/failureGain
	e.failedAt = now
}

func (e *estimate) failureShare(now almondstep.Instant) float64 {
	return e.failures * math.Exp(-float64(now.Sub(e.failedAt))/float64(failureFade))
}

// known reports whether the latency was observed within fadeAfter.
func (e *estimate) known(now almondstep.Instant) bool {
	return e.seenAt != 0 && now.Sub(e.seenAt) <= fadeAfter
}

// queuedPerSlot is the number of queued requests per slot that the upstream last
// reported.
func (e *estimate) queuedPerSlot(now almondstep.Instant) float64 {
	if e.loadAt == 0 || now.Sub(e.loadAt) > loadMaxAge {
		return 0
	}
	return float64(e.load.Waiting) / float64(max(1, e.load.Slots))
}
