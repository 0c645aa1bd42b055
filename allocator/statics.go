package allocator

import (
	"slices"

	"almondstep"
)

// staticFraction is a lender's static fraction. For roleTime after a change of it, some daemons may
// not know the new value: the lower one is used, and the higher one is reserved.
type staticFraction struct {
	value     float64
	low, high float64
	until     almondstep.Instant
	// leaseFrom is from when the lender gets leases: some daemons may not know yet that it has
	// replaced a lender that still runs, which may hold a lease. 0 if it always may.
	leaseFrom almondstep.Instant
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
	return staticFraction{
		value: value, low: min(s.used(now), value), high: max(s.reserved(now), value), until: now.Add(roleTime),
		leaseFrom: s.leaseFrom,
	}
}

// updateStatics takes over the static fractions of the lenders of all groups.
func (a *Allocator) updateStatics(now almondstep.Instant) {
	statics := make([]map[almondstep.DaemonID]staticFraction, len(a.fleet.groups))
	for n, g := range a.fleet.groups {
		leaseFrom := almondstep.Instant(0)
		if n < len(a.statics) && a.replaced(a.statics[n], g) {
			leaseFrom = now.Add(roleTime)
		}
		statics[n] = make(map[almondstep.DaemonID]staticFraction)
		for _, p := range g.places {
			id := p.lender.ID
			statics[n][id] = staticFraction{value: p.fraction, leaseFrom: leaseFrom}
			if n < len(a.statics) {
				if before, ok := a.statics[n][id]; ok {
					statics[n][id] = before.changedTo(now, p.fraction)
				}
			}
		}
	}
	a.statics = statics
}

// replaced reports whether one of the lenders before is none any more, but is still in the fleet.
func (a *Allocator) replaced(before map[almondstep.DaemonID]staticFraction, g group) bool {
	for id := range before {
		fraction, _ := g.fractionOf(id)
		if _, runs := slices.BinarySearch(a.fleet.ids, id); runs && fraction == 0 {
			return true
		}
	}
	return false
}

// static returns the static fraction of a daemon in a group; that of a deputy is 0.
func (a *Allocator) static(n int, id almondstep.DaemonID) staticFraction { return a.statics[n][id] }
