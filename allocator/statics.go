package allocator

import "almondstep"

// staticFraction is a lender's static fraction. For roleTime after a change of it, some daemons may
// not know the new value: the lower one is used, and the higher one is reserved.
type staticFraction struct {
	value     float64
	low, high float64
	until     almondstep.Instant
}

func (s staticFraction) used(now almondstep.Instant) float64 {
	if now < s.until {
		return s.low
	}
	return s.value
}

func (s staticFraction) reserved(now almondstep.Instant) float64 {
	if now < s.until {
		return s.high
	}
	return s.value
}

// changedTo returns the fraction after a change to value.
func (s staticFraction) changedTo(now almondstep.Instant, value float64) staticFraction {
	if value == s.value {
		return s
	}
	return staticFraction{value: value, low: min(s.used(now), value), high: max(s.reserved(now), value), until: now.Add(roleTime)}
}

// updateStatics takes over the static fractions of the lenders of all groups.
func (a *Allocator) updateStatics(now almondstep.Instant) {
	statics := make([]map[almondstep.DaemonID]staticFraction, len(a.fleet.groups))
	for n, g := range a.fleet.groups {
		statics[n] = make(map[almondstep.DaemonID]staticFraction)
		for _, p := range g.places {
			id := p.lender.ID
			statics[n][id] = staticFraction{value: p.fraction}
			if n < len(a.statics) {
				if before, ok := a.statics[n][id]; ok {
					statics[n][id] = before.changedTo(now, p.fraction)
				}
			}
		}
	}
	a.statics = statics
}

// static returns the static fraction of a daemon in a group; that of a deputy is 0.
func (a *Allocator) static(n int, id almondstep.DaemonID) staticFraction { return a.statics[n][id] }
