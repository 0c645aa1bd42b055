package picker

import (
	"math"
	"time"

	"almondstep"
)

const (
	// usualPace is the pace, in percent, of an upstream that works as usual.
	usualPace = 100
	// paceDecayTime is the time constant with which the present pace falls back to the
	// upstream's usual pace after a report: the pace changes many times a second.
	paceDecayTime = 150 * time.Millisecond
	// A reported pace has the weight 1/paceDivisor in the upstream's usual pace.
	paceDivisor = 8
)

// paceEstimate holds what an upstream reported about its pace.
type paceEstimate struct {
	// usual is the mean of the reported paces, and reported the last one, of reportedAt.
	usual, reported float64
	reportedAt      almondstep.Instant
}

// observe updates the estimate with a report; 0 is an unknown pace, which is ignored.
func (e *paceEstimate) observe(now almondstep.Instant, pace int) {
	if pace == 0 {
		return
	}
	if e.reportedAt == 0 || now.Sub(e.reportedAt) > latencyMaxAge {
		// A single report may be of a short change, so it counts half.
		e.usual = (usualPace + float64(pace)) / 2
	}
	e.usual += (float64(pace) - e.usual) / paceDivisor
	e.reported, e.reportedAt = float64(pace), now
}

// meanPace is the upstream's usual pace, in percent; 100 if no report is valid, which
// it is for validFor.
func (e *paceEstimate) meanPace(now almondstep.Instant, validFor time.Duration) float64 {
	if e.reportedAt == 0 || now.Sub(e.reportedAt) > validFor {
		return usualPace
	}
	return e.usual
}

// present is the expected pace now, in percent: the reported one, which falls to the
// usual one with age.
func (e *paceEstimate) present(now almondstep.Instant, validFor time.Duration) float64 {
	usual := e.meanPace(now, validFor)
	if e.reportedAt == 0 {
		return usual
	}
	weight := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(paceDecayTime))
	return usual + weight*(e.reported-usual)
}

// rescale converts a latency that was measured or is expected at the pace from into the
// one at the pace to. The part spent on the network, at most rtt, doesn't depend on the
// pace.
func rescale(latency, rtt time.Duration, from, to float64) time.Duration {
	network := min(rtt, latency)
	return network + time.Duration(float64(latency-network)*to/from)
}
