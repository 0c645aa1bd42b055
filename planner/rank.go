package planner

import (
	"cmp"

	"almondstep"
)

// Usable says whether a replica may get new work under a view at all.
func Usable(v *almondstep.View, r almondstep.Replica) bool {
	if v.Catalog() == nil || !alive(&r) {
		return false
	}
	return !v.Catalog().ZoneDrained(r.Zone())
}

// alive says whether a replica could get work if its zone is in service.
func alive(r *almondstep.Replica) bool {
	t := r.Temperature()
	return r.Owner() != "" && (t == almondstep.Warm || t == almondstep.Cold)
}

// compare orders replicas: a warm one anywhere goes before a cold one, the own
// zone before the others, and then the nearest first.
func compare(own almondstep.ZoneName, a, b *almondstep.Replica) int {
	if d := tier(own, a) - tier(own, b); d != 0 {
		return d
	}
	return cmp.Compare(a.Distance(), b.Distance())
}

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

// ranker ranks the replicas of many shards under one view. It looks the zones
// that are out up once, and cuts its results from one slab, since a plan is made
// anew for each view and queries wait for it meanwhile.
type ranker struct {
	own  almondstep.ZoneName
	out  []almondstep.ZoneName
	none bool
	slab []almondstep.Replica
}

func newRanker(v *almondstep.View) *ranker {
	k := &ranker{own: v.Zone()}
	if v.Catalog() == nil {
		k.none = true
		return k
	}
	for _, z := range v.Catalog().Config().Zones {
		if z.Drained {
			k.out = append(k.out, z.Name)
		}
	}
	return k
}

func (k *ranker) usable(r *almondstep.Replica) bool {
	if k.none || !alive(r) {
		return false
	}
	for _, z := range k.out {
		if z == r.Zone() {
			return false
		}
	}
	return true
}

// reserve makes room in the slab; what was cut from the former one stays.
func (k *ranker) reserve(n int) {
	if cap(k.slab)-len(k.slab) < n {
		k.slab = make([]almondstep.Replica, 0, n)
	}
}

// rank sorts the usable replicas, best first, and counts those as good as the
// first. There are few for each shard, so it inserts each at its place.
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

// moveUp moves the last replica to its place among the sorted ones before it.
func (k *ranker) moveUp(ranked []almondstep.Replica) {
	for i := len(ranked) - 1; i > 0; i-- {
		a, b := &ranked[i-1], &ranked[i]
		if cmp.Or(compare(k.own, a, b), cmp.Compare(a.Upstream(), b.Upstream())) <= 0 {
			return
		}
		*a, *b = *b, *a
	}
}
