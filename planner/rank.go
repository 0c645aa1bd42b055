package planner

import (
	"cmp"
	"slices"

	"almondstep"
)

// Usable says whether a replica may get new work under a view at all.
func Usable(v *almondstep.View, r almondstep.Replica) bool {
	if r.Owner() == "" || v.Catalog() == nil {
		return false
	}
	if r.Temperature() != almondstep.Warm && r.Temperature() != almondstep.Cold {
		return false
	}
	return !v.Catalog().ZoneOut(r.Zone())
}

// tier orders replicas before their distance does: a warm one anywhere goes
// before a cold one, and the own zone goes before the others.
func tier(v *almondstep.View, r almondstep.Replica) int {
	t := 0
	if r.Temperature() != almondstep.Warm {
		t += 2
	}
	if r.Zone() != v.Zone() {
		t++
	}
	return t
}

// rank sorts the usable replicas, best first, and counts those as good as the
// first.
func rank(v *almondstep.View, replicas []almondstep.Replica) ([]almondstep.Replica, int) {
	usable := make([]almondstep.Replica, 0, len(replicas))
	for _, r := range replicas {
		if Usable(v, r) {
			usable = append(usable, r)
		}
	}
	slices.SortFunc(usable, func(a, b almondstep.Replica) int {
		return cmp.Or(compare(v, a, b), cmp.Compare(a.Upstream(), b.Upstream()))
	})
	equals := 0
	for equals < len(usable) && compare(v, usable[0], usable[equals]) == 0 {
		equals++
	}
	return usable, equals
}

func compare(v *almondstep.View, a, b almondstep.Replica) int {
	return cmp.Or(cmp.Compare(tier(v, a), tier(v, b)), cmp.Compare(a.Distance(), b.Distance()))
}
