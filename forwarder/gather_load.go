package forwarder

import (
	"math"
	"time"

	"almondstep"
)

const (
	// shardCallTime is the processor time of one call to a shard on a core of usual speed:
	// a request over 90 shards takes 7 ms (docs/PLATFORM.md).
	shardCallTime = 78 * time.Microsecond
	// callRateTime is the time constant over which the rate of calls is averaged.
	callRateTime = 500 * time.Millisecond
	// backlogTime is the time within which a gatherer must be able to process the answers
	// to all its open calls. An upstream's pause of 250 to 300 ms keeps calls open that
	// long without load.
	backlogTime = 250 * time.Millisecond
)

// gatherLoad estimates the share of this daemon's processor time that its calls to shards
// take. It is zero if cores is unknown.
type gatherLoad struct {
	// cores is the processor time available, in cores; 0 if unknown.
	cores float64
	// rate is the number of calls per second, as of at.
	rate float64
	at   almondstep.Instant
}

// countCall counts a call to a shard.
func (l *gatherLoad) countCall(now almondstep.Instant) {
	l.rate = l.rateAt(now) + 1/callRateTime.Seconds()
	l.at = now
}

func (l *gatherLoad) rateAt(now almondstep.Instant) float64 {
	return l.rate * math.Exp(-float64(now.Sub(l.at))/float64(callRateTime))
}

// share returns the share of the capacity in use, above 1 if it is exceeded: the greater of
// what the rate of calls and what the open calls need.
func (l *gatherLoad) share(now almondstep.Instant, openCalls int) float64 {
	if l.cores <= 0 {
		return 0
	}
	need := max(l.rateAt(now), float64(openCalls)/backlogTime.Seconds())
	return need * shardCallTime.Seconds() / l.cores
}
