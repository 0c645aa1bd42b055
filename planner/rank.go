package planner

import (
	"cmp"

	"almondstep"
)

// Usable reports whether a replica may get new work under a view.
func Usable(v *almondstep.View, r almondstep.Replica) bool {
	if v.Catalog() == nil || !acceptsWork(&r) {
		return false
	}
	return !v.Catalog().ZoneDrained(r.Zone())
}

// acceptsWork reports whether a replica may get new work, provided that its zone
// isn't drained.
func acceptsWork(r *almondstep.Replica) bool {
	t := r.Temperature()
	return r.Owner() != "" && (t == almondstep.Warm || t == almondstep.Cold)
}

// compare orders replicas: warm ones of any zone before cold ones, then those of the
// daemon's own zone before others, then the nearest first.
func compare(own almondstep.ZoneName, a, b *almondstep.Replica) int {
	if d := tier(own, a) - tier(own, b); d != 0 {
		return d
	}
	return cmp.Compare(a.Distance(), b.Distance())
}

// tier ranks a replica by its temperature and zone; 0 is the best.
func tier(own almondstep.ZoneName, r *almondstep.Replica) int {
	t := 0
	if r.Temperature() != almondstep.Warm {
		t += 2
	}
	if r.Zone() != own {
		t++
	}
	return t
}

// ranker ranks the replicas of many shards under one view. It looks up the drained
// zones once and allocates its results from one slab, since a new plan is made for
// each view while queries wait for it.
type ranker struct {
	own          almondstep.ZoneName
	drainedZones []almondstep.ZoneName
	noCatalog    bool
	slab         []almondstep.Replica
}

func newRanker(v *almondstep.View) *ranker {
	k := &ranker{own: v.Zone()}
	if v.Catalog() == nil {
		k.noCatalog = true
		return k
	}
	for _, z := range v.Catalog().Config().Zones {
		if z.Drained {
			k.drainedZones = append(k.drainedZones, z.Name)
		}
	}
	return k
}

// usable is Usable with the view's drained zones looked up before.
func (k *ranker) usable(r *almondstep.Replica) bool {
	if k.noCatalog || !acceptsWork(r) {
		return false
	}
	for _, z := range k.drainedZones {
		if z == r.Zone() {
			return false
		}
	}
	return true
}

// reserve ensures that the slab has room for n more; results from a former slab stay
// valid.
func (k *ranker) reserve(n int) {
	if cap(k.slab)-len(k.slab) < n {
		k.slab = make([]almondstep.Replica, 0, n)
	}
}

// rank returns the usable replicas, best first, and the number of those as good as
// the first. A shard has few replicas, so it uses an insertion sort.
func (k *ranker) rank(replicas []almondstep.Replica) ([]almondstep.Replica, int) {
	k.reserve(len(replicas))
	first := len(k.slab)
	for i := range replicas {
		if k.usable(&replicas[i]) {
			k.slab = append(k.slab, replicas[i])
			k.moveUp(k.slab[first:])
		}
	}
	ranked := k.slab[first:len(k.slab):len(k.slab)]
	equals := 0
	for equals < len(ranked) && compare(k.own, &ranked[0], &ranked[equals]) == 0 {
		equals++
	}
	return ranked, equals
}

// moveUp moves the last replica to its position among the sorted ones before it.
func (k *ranker) moveUp(ranked []almondstep.Replica) {
	for i := len(ranked) - 1; i > 0; i-- {
		a, b := &ranked[i-1], &ranked[i]
		if cmp.Or(compare(k.own, a, b), cmp.Compare(a.Upstream(), b.Upstream())) <= 0 {
			return
		}
		*a, *b = *b, *a
	}
}
