package picker

import (
	"time"

	"almondstep"
)

// queuedPerSlot returns the expected number of requests, per slot, that the upstream
// must finish before it starts one more. What it reported counts less with age, until
// loadMaxAge; this daemon's calls since the report are added to it.
func (u *upstreamState) queuedPerSlot(now almondstep.Instant) float64 {
	slots := u.slots
	occupied := float64(len(u.inFlight))
	if age := now.Sub(u.loadAt); u.loadAt != 0 && age < loadMaxAge {
		if u.load.Slots > 0 {
			slots = u.load.Slots
		}
		reported := float64(u.load.Running+u.load.Waiting) * u.reportWeight(age)
		occupied = max(occupied, reported+float64(u.sentSince(u.loadAt)))
	}
	return max(0, occupied+1-float64(slots)) / float64(slots)
}

// reportWeight returns the weight of a reported load of an age, from 1 to 0.
func (u *upstreamState) reportWeight(age time.Duration) float64 {
	return 1 - float64(age)/float64(loadMaxAge)
}

// sentSince returns the number of calls in flight that were sent from at on.
func (u *upstreamState) sentSince(at almondstep.Instant) int {
	n := 0
	for _, sentAt := range u.inFlight {
		if sentAt >= at {
			n++
		}
	}
	return n
}
