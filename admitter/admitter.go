package admitter

import (
	"time"

	"almondstep"
)

// Admitter counts the open queries of one partition.
type Admitter struct {
	maxOpen    int
	partitions int
	open       int
	tenants    map[almondstep.TenantName]int
	infeasible uint64

	catalog *almondstep.Catalog
	shares  int
}

const (
	// quarters is the number of parts in which open places are reserved.
	quarters = 4
	// probeEvery lets one in so many infeasible queries in, so that a digest
	// that has grown slow learns when things are quick again.
	probeEvery = 16
)

// New gives an admitter for at most maxOpen open queries. The daemon has
// partitions of these; a tenant's bound is divided among them, rounded up.
func New(maxOpen, partitions int) *Admitter {
	return &Admitter{
		maxOpen:    max(1, maxOpen),
		partitions: max(1, partitions),
		tenants:    make(map[almondstep.TenantName]int),
	}
}

// Request is what is known of a query on arrival.
type Request struct {
	Tenant   almondstep.TenantText
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
	if a.open >= a.placesFor(r.Priority) {
		return almondstep.CodeOverload, false
	}
	mine := a.tenants[r.Tenant.Name]
	if mine >= a.boundOf(r.Tenant) {
		return almondstep.CodeOverload, false
	}
	if a.crowded() && mine >= a.shareOf(c, r.Tenant) {
		return almondstep.CodeOverload, false
	}
	a.open++
	a.tenants[r.Tenant.Name] = mine + 1
	return "", true
}

// Release gives a query's place back.
func (a *Admitter) Release(t almondstep.TenantName) {
	a.open--
	a.tenants[t]--
	if a.tenants[t] <= 0 {
		delete(a.tenants, t)
	}
}

// Open is the number of open queries.
func (a *Admitter) Open() int { return a.open }

func (a *Admitter) feasible(r Request) bool {
	if r.Remaining >= r.Typical {
		return true
	}
	a.infeasible++
	return a.infeasible%probeEvery == 0
}

// placesFor leaves a quarter of the places to each class above, but always one.
func (a *Admitter) placesFor(priority int) int {
	left := max(1, quarters-max(0, priority))
	return max(1, a.maxOpen*left/quarters)
}

func (a *Admitter) boundOf(t almondstep.TenantText) int {
	return max(1, (t.MaxOpen+a.partitions-1)/a.partitions)
}

func (a *Admitter) crowded() bool {
	return a.open >= a.maxOpen*(quarters-1)/quarters
}

// shareOf is the tenant's part of the places by its weight among all tenants,
// at least one.
func (a *Admitter) shareOf(c *almondstep.Catalog, t almondstep.TenantText) int {
	if a.catalog != c {
		a.catalog = c
		a.shares = 0
		for _, other := range c.Text().Tenants {
			a.shares += other.Share
		}
	}
	return max(1, a.maxOpen*t.Share/max(1, a.shares))
}
