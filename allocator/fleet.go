package allocator

import (
	"cmp"
	"slices"
	"strconv"

	"almondstep"
	"almondstep/ranker"
)

// daemonsPerGroup is the number of daemons for each of which the organisations are divided into
// one more group, so that the load of a lender doesn't rise with the fleet.
const daemonsPerGroup = 128

// place is a region of a group: its lender, the lender's deputy, and its static fraction of every
// limit. The deputy has no ID if the region has only one daemon.
type place struct {
	region   almondstep.RegionName
	lender   almondstep.Member
	deputy   almondstep.Member
	fraction float64
}

// group is a set of organisations with lenders and a coordinator of its own. The first place is
// that of the coordinator.
type group struct{ places []place }

// fleet is what the daemons' entries determine: every daemon with the same entries gets the same.
type fleet struct {
	ids    []almondstep.DaemonID
	region almondstep.RegionName
	groups []group
}

// newFleet assigns the roles of the daemons, for the daemon self.
func newFleet(members []almondstep.Member, self almondstep.DaemonID) *fleet {
	f := &fleet{}
	byRegion := make(map[almondstep.RegionName][]almondstep.Member)
	for _, m := range members {
		f.ids = append(f.ids, m.ID)
		byRegion[m.Region] = append(byRegion[m.Region], m)
		if m.ID == self {
			f.region = m.Region
		}
	}
	slices.Sort(f.ids)
	for n := range (len(members) + daemonsPerGroup - 1) / daemonsPerGroup {
		f.groups = append(f.groups, newGroup(n, byRegion, len(members)))
	}
	return f
}

func newGroup(n int, byRegion map[almondstep.RegionName][]almondstep.Member, daemons int) group {
	var g group
	key := "quota/" + strconv.Itoa(n) + "/"
	for region, members := range byRegion {
		p := place{region: region, fraction: float64(len(members)) / float64(daemons)}
		p.lender, p.deputy = choose(key, n, members)
		g.places = append(g.places, p)
	}
	slices.SortFunc(g.places, func(a, b place) int {
		return cmp.Or(cmp.Compare(score(key, string(a.lender.ID)), score(key, string(b.lender.ID))), cmp.Compare(a.region, b.region))
	})
	return g
}

// choose returns the lender of a region and its deputy: the largest daemons, those of equal size
// in rendezvous order. The deputy is in another zone if the region has one. Group n has the n-th
// largest, so that groups don't share lenders in a region that has enough daemons.
func choose(key string, n int, members []almondstep.Member) (lender, deputy almondstep.Member) {
	scores := make(map[almondstep.DaemonID]uint64, len(members))
	for _, m := range members {
		scores[m.ID] = score(key, string(m.ID))
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b almondstep.Member) int {
		if a.Cores != b.Cores {
			return cmp.Compare(b.Cores, a.Cores)
		}
		return cmp.Or(cmp.Compare(scores[a.ID], scores[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	at := n % len(order)
	lender = order[at]
	order = slices.Delete(order, at, at+1)
	for _, m := range order {
		if m.Zone != lender.Zone {
			return lender, m
		}
	}
	if len(order) > 0 {
		deputy = order[at%len(order)]
	}
	return lender, deputy
}

func score(key, name string) uint64 { return ranker.Hash(key + name) }

// groupOf returns the number of an organisation's group.
func (f *fleet) groupOf(o almondstep.OrganisationName) int {
	return int(ranker.Hash(string(o)) % uint64(len(f.groups)))
}

// placeIn returns the place of this daemon's region in a group.
func (f *fleet) placeIn(group int) place {
	for _, p := range f.groups[group].places {
		if p.region == f.region {
			return p
		}
	}
	return place{}
}

// coordinator returns the coordinator of the group.
func (g group) coordinator() almondstep.Member { return g.places[0].lender }

// lenders lists the lenders of all regions.
func (g group) lenders() []almondstep.Member {
	var all []almondstep.Member
	for _, p := range g.places {
		all = append(all, p.lender)
	}
	return all
}

// fractionOf returns the static fraction of a daemon and whether it is a lender or a deputy.
func (g group) fractionOf(id almondstep.DaemonID) (fraction float64, holds bool) {
	for _, p := range g.places {
		switch id {
		case p.lender.ID:
			return p.fraction, true
		case p.deputy.ID:
			return 0, true
		}
	}
	return 0, false
}
