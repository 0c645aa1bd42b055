package hedger

import "time"

const (
	// leastDelay keeps a very quick service from being hedged at every
	// scheduling delay.
	leastDelay = 2 * time.Millisecond
	// fewObservations is the number under which a digest is not relied on.
	fewObservations = 64
)

// Delay is how long to wait for a sub-request before it counts as a straggler.
// It is at most half of the time left to the soft deadline, so that a hedge can
// still be in time. Without observations it is a quarter of it.
func Delay(d *Digest, untilSoft time.Duration) time.Duration {
	delay := untilSoft / 4
	if d.Count() >= fewObservations {
		delay = d.Slow()
	}
	delay = max(delay, leastDelay)
	return max(0, min(delay, untilSoft/2))
}
