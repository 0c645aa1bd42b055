package hedger

import "time"

const (
	// minDelay prevents hedges of a very fast service that only a scheduling delay would
	// cause.
	minDelay = 2 * time.Millisecond
	// minObservations is the number of observations below which a digest isn't used.
	minObservations = 64
)

const (
	// riseShift makes each late sub-request increase the delay by 1/512.
	riseShift = 9
	// fallPerLate is the number of sub-requests in time that together offset a late one,
	// so that the delay settles where 3 in 100 are late.
	fallPerLate = hedgePerMille / (perMille - hedgePerMille)
	perMille    = 1_000
)

// ObserveLate records whether a sub-request was still pending when its owner answered
// after flush, and adjusts the delay: it rises with each late sub-request and falls
// with each other one. The latencies in the digest alone don't suffice for the delay,
// because they exclude the time in the owner's queue.
func (d *Digest) ObserveLate(late bool, flush time.Duration) {
	if d.Count() < minObservations {
		return
	}
	d.delay = max(d.delay, d.slow)
	switch {
	case !late:
		d.delay -= d.delay >> riseShift / fallPerLate
	case flush > d.delay/2:
		// Without this condition the delay would rise without bound where the soft
		// deadline limits flush.
		d.delay += d.delay >> riseShift
	}
}

// Delay is how long to wait for a sub-request before it counts as a straggler.
// It is at most half of the time left until the soft deadline, so that a hedge can
// still be in time. Without enough observations it is a quarter of that time.
func Delay(d *Digest, untilSoft time.Duration) time.Duration {
	delay := untilSoft / 4
	if d.Count() >= minObservations {
		delay = max(d.Slow(), d.delay)
	}
	delay = max(delay, minDelay)
	return max(0, min(delay, untilSoft/2))
}
