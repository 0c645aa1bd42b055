package picker

import (
	"math"
	"time"

	"almondstep"
)

const (
	// meanGain and deviationGain are the weights of a new latency, those of TCP's
	// round-trip estimate.
	meanGain      = 8
	deviationGain = 4
	// fadeAfter is how long an estimate holds without a new latency; after that
	// it returns to what is expected of any upstream as near.
	fadeAfter = 2 * time.Second
	// failureGain is the weight of one call in the share of failed calls.
	failureGain = 6
	// failureFade is the time in which a share of failures without new calls
	// falls to a third.
	failureFade = 3 * time.Second
	// loadHolds is how long an upstream's word on its queue is relied on.
	loadHolds = 300 * time.Millisecond
)

// estimate is what was seen of an upstream's latency and failures.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	seenAt    almondstep.Instant
	failures  float64
	failedAt  almondstep.Instant
	load      almondstep.UpstreamLoad
	loadAt    almondstep.Instant
}

// answered takes a latency in. After a pause in which nothing was seen the new
// latency counts like the first one.
func (e *estimate) answered(now almondstep.Instant, took time.Duration) {
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

// outcome takes in whether a call failed.
func (e *estimate) outcome(now almondstep.Instant, failed bool) {
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

// known says that the latency was seen lately.
func (e *estimate) known(now almondstep.Instant) bool {
	return e.seenAt != 0 && now.Sub(e.seenAt) <= fadeAfter
}

// waiting is the number of requests that the upstream last said are queued for
// each of its slots.
func (e *estimate) waiting(now almondstep.Instant) float64 {
	if e.loadAt == 0 || now.Sub(e.loadAt) > loadHolds {
		return 0
	}
	return float64(e.load.Waiting) / float64(max(1, e.load.Slots))
}
