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
	if age := now.Sub(u.loadAt); u.loadAt != 0 && age < loadMaxAge && u.load.Slots > 0 {
		slots = u.load.Slots
	}
	return max(0, u.occupied(now)+1-float64(slots)) / float64(slots)
}

// QueuedPerSlot returns the expected number of requests, per slot, that an upstream must finish
// before it starts one more.
func (p *Picker) QueuedPerSlot(now almondstep.Instant, u *almondstep.Upstream) float64 {
	return p.stateOf(u).queuedPerSlot(now)
}

// occupied returns the expected number of requests at the upstream: what it reported, weighted by
// its age, and this daemon's calls since; at least this daemon's calls in flight.
func (u *upstreamState) occupied(now almondstep.Instant) float64 {
	occupied := float64(len(u.inFlight))
	if age := now.Sub(u.loadAt); u.loadAt != 0 && age < loadMaxAge {
		reported := float64(u.load.Running+u.load.Waiting) * u.reportWeight(age)
		occupied = max(occupied, reported+float64(u.sentSince(u.loadAt)))
	}
	return occupied
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
