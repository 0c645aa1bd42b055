package admitter

import (
	"time"

	"almondstep"
)

// Admitter counts the open queries of one partition.
type Admitter struct {
	maxOpen    int
	partitions int
	whole      pool
	services   map[almondstep.ServiceName]*pool
	infeasible uint64

	catalog *almondstep.Catalog
	shares  int
}

// probeEvery lets one in so many infeasible queries in, so that a digest that
// has grown slow learns when things are quick again.
const probeEvery = 16

// New gives an admitter for at most maxOpen open queries. The daemon has
// partitions of these; a tenant's bound is divided among them, rounded up.
func New(maxOpen, partitions int) *Admitter {
	maxOpen = max(1, maxOpen)
	return &Admitter{
		maxOpen:    maxOpen,
		partitions: max(1, partitions),
		whole:      newPool(maxOpen),
		services:   make(map[almondstep.ServiceName]*pool),
	}
}

// Request is what is known of a query on arrival.
type Request struct {
	Service  almondstep.ServiceName
	Tenant   almondstep.TenantConfig
	Priority int
	// Remaining is the time until the hard deadline.
	Remaining time.Duration
	// Typical is how long a sub-request usually takes; 0 if unknown.
	Typical time.Duration
}

// Admit takes a query in, or says why not. Every query taken in must be
// released once.
func (a *Admitter) Admit(c *almondstep.Catalog, r Request) (almondstep.RefusalCode, bool) {
	if r.Remaining <= 0 || !a.feasible(r) {
		return almondstep.CodeDeadline, false
	}
	if a.whole.tenants[r.Tenant.Name] >= a.boundOf(r.Tenant) {
		return almondstep.CodeOverload, false
	}
	service := a.services[r.Service]
	if service == nil {
		p := newPool(a.maxOpen)
		service = &p
	}
	shares := a.sharesOf(c)
	if a.whole.refuses(r, shares) || service.refuses(r, shares) {
		return almondstep.CodeOverload, false
	}
	a.services[r.Service] = service
	a.whole.take(r.Tenant.Name)
	service.take(r.Tenant.Name)
	return "", true
}

// Release gives a query's place back. Shed says that upstreams refused a
// noticeable part of it because they were full.
func (a *Admitter) Release(s almondstep.ServiceName, t almondstep.TenantName, shed bool) {
	a.whole.giveBack(t)
	service := a.services[s]
	service.adapt(shed, a.maxOpen)
	service.giveBack(t)
	if service.open == 0 && service.places == a.maxOpen {
		delete(a.services, s)
	}
}

// Open is the number of open queries.
func (a *Admitter) Open() int { return a.whole.open }

// Places is the number of queries of a service that may now be open.
func (a *Admitter) Places(s almondstep.ServiceName) int {
	if service := a.services[s]; service != nil {
		return service.places
	}
	return a.maxOpen
}

func (a *Admitter) feasible(r Request) bool {
	if r.Remaining >= r.Typical {
		return true
	}
	a.infeasible++
	return a.infeasible%probeEvery == 0
}

func (a *Admitter) boundOf(t almondstep.TenantConfig) int {
	return max(1, (t.MaxOpen+a.partitions-1)/a.partitions)
}

// sharesOf adds up the weights of all tenants.
func (a *Admitter) sharesOf(c *almondstep.Catalog) int {
	if a.catalog != c {
		a.catalog = c
		a.shares = 0
		for _, t := range c.Config().Tenants {
			a.shares += t.Share
		}
	}
	return max(1, a.shares)
}
