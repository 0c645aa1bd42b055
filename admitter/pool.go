package admitter

import "almondstep"

const (
	// reserveParts is the number of parts into which a limit is divided for
	// reservations.
	reserveParts = 4
	// minLimit is the lowest limit of a service, however much its upstreams shed.
	minLimit = 2
	// A service's limit falls by 1/decreaseDivisor in a round with too many
	// sheds and rises by 1/increaseDivisor in one without.
	decreaseDivisor = 8
	increaseDivisor = 16
	// Up to 1/shedToleranceDivisor of a round's queries may have sheds without
	// lowering the limit.
	shedToleranceDivisor = 8
)

// pool limits the open queries of one service, or of all services together, and
// divides the limit among classes and tenants.
type pool struct {
	limit   int
	open    int
	tenants map[almondstep.TenantName]int
	// round counts the queries that have ended in the present round, sheds those
	// of which a significant part was shed; peak is the maximum of open in the
	// round.
	round int
	sheds int
	peak  int
}

func newPool(limit int) pool {
	return pool{limit: limit, tenants: make(map[almondstep.TenantName]int)}
}

// refuses reports whether the pool has no room for a query of this class and
// tenant. The argument shares is the sum of all tenants' shares.
func (p *pool) refuses(r Request, shares int) bool {
	if p.open >= p.limitFor(r.Priority) {
		return true
	}
	crowded := p.open >= p.limit*(reserveParts-1)/reserveParts
	return crowded && p.tenants[r.Tenant.Name] >= max(1, p.limit*r.Tenant.Share/shares)
}

// limitFor returns the limit for a class: the pool's limit less a quarter for each
// class above, but at least a quarter and at least 1.
func (p *pool) limitFor(priority int) int {
	left := max(1, reserveParts-max(0, priority))
	return max(1, p.limit*left/reserveParts)
}

func (p *pool) add(t almondstep.TenantName) {
	p.open++
	p.peak = max(p.peak, p.open)
	p.tenants[t]++
}

func (p *pool) release(t almondstep.TenantName) {
	p.open--
	p.tenants[t]--
	if p.tenants[t] <= 0 {
		delete(p.tenants, t)
	}
}

// adapt counts a query that has ended and at the end of a round updates the limit:
// down from the peak of open queries if upstreams shed, up again if they don't. A
// round has as many queries as were open at its peak, but at most the limit: about
// the time in which each open query is replaced once.
func (p *pool) adapt(shed bool, maxLimit int) {
	p.round++
	if shed {
		p.sheds++
	}
	if p.round < min(p.limit, p.peak) {
		return
	}
	switch {
	case p.sheds*shedToleranceDivisor > p.round:
		used := min(p.limit, p.peak)
		p.limit = max(minLimit, used-max(1, used/decreaseDivisor))
	case p.limit < maxLimit:
		p.limit = min(maxLimit, p.limit+max(1, p.limit/increaseDivisor))
	}
	p.round = 0
	p.sheds = 0
	p.peak = p.open
}
