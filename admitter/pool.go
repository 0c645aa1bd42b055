package admitter

import "almondstep"

const (
	// quarters is the number of parts in which places are reserved.
	quarters = 4
	// leastPlaces is what a service keeps however much its upstreams shed.
	leastPlaces = 2
	// fallIn and riseIn are the parts by which a service's places fall in a round
	// with sheds and rise in one without.
	fallIn = 8
	riseIn = 16
	// toleratedIn is the part of a round's queries that may have sheds.
	toleratedIn = 8
)

// pool is a number of places for open queries, shared by classes and tenants.
type pool struct {
	places  int
	open    int
	tenants map[almondstep.TenantName]int
	// round counts the queries that have ended since the places changed, sheds
	// those of which a part was shed; peak is the most that were open meanwhile.
	round int
	sheds int
	peak  int
}

func newPool(places int) pool {
	return pool{places: places, tenants: make(map[almondstep.TenantName]int)}
}

// refuses says whether there is no place for a query of this class and tenant.
func (p *pool) refuses(r Request, shares int) bool {
	if p.open >= p.placesFor(r.Priority) {
		return true
	}
	crowded := p.open >= p.places*(quarters-1)/quarters
	return crowded && p.tenants[r.Tenant.Name] >= max(1, p.places*r.Tenant.Share/shares)
}

// placesFor leaves a quarter of the places to each class above, but always one.
func (p *pool) placesFor(priority int) int {
	left := max(1, quarters-max(0, priority))
	return max(1, p.places*left/quarters)
}

func (p *pool) take(t almondstep.TenantName) {
	p.open++
	p.peak = max(p.peak, p.open)
	p.tenants[t]++
}

func (p *pool) giveBack(t almondstep.TenantName) {
	p.open--
	p.tenants[t]--
	if p.tenants[t] <= 0 {
		delete(p.tenants, t)
	}
}

// adapt moves the places after a query has ended: down from what was open, if
// upstreams shed; up again if they don't. A round is as many queries as were
// open, so that each has begun after the last change.
func (p *pool) adapt(shed bool, most int) {
	p.round++
	if shed {
		p.sheds++
	}
	if p.round < min(p.places, p.peak) {
		return
	}
	switch {
	case p.sheds*toleratedIn > p.round:
		now := min(p.places, p.peak)
		p.places = max(leastPlaces, now-max(1, now/fallIn))
	case p.places < most:
		p.places = min(most, p.places+max(1, p.places/riseIn))
	}
	p.round = 0
	p.sheds = 0
	p.peak = p.open
}
