package hedger

import "time"

const (
	// leastDelay keeps a very quick service from being hedged at every
	// scheduling delay.
	leastDelay = 2 * time.Millisecond
	// fewObservations is the number under which a digest is not relied on.
	fewObservations = 64
)

const (
	// riseShift makes the wait a 512th longer for each late sub-request.
	riseShift = 9
	// fallPerLate is how many sub-requests in time undo a late one, so that the
	// wait settles where 3 in 100 are late.
	fallPerLate = hedgePerMille / (perMille - hedgePerMille)
	perMille    = 1_000
)

// Answered notes whether a sub-request was still pending when its owner
// answered after flush. What an upstream takes is only part of the time: there
// is the owner's queue, too, of which the digest knows nothing. The wait rises
// with each late one and falls with the others.
func (d *Digest) Answered(late bool, flush time.Duration) {
	if d.Count() < fewObservations {
		return
	}
	d.wait = max(d.wait, d.slow)
	switch {
	case !late:
		d.wait -= d.wait >> riseShift / fallPerLate
	case flush > d.wait/2:
		// Where the soft deadline cuts the wait short, it would rise for ever.
		d.wait += d.wait >> riseShift
	}
}

// Delay is how long to wait for a sub-request before it counts as a straggler.
// It is at most half of the time left to the soft deadline, so that a hedge can
// still be in time. Without observations it is a quarter of it.
func Delay(d *Digest, untilSoft time.Duration) time.Duration {
	delay := untilSoft / 4
	if d.Count() >= fewObservations {
		delay = max(d.Slow(), d.wait)
	}
	delay = max(delay, leastDelay)
	return max(0, min(delay, untilSoft/2))
}
