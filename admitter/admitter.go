package admitter

import (
	"time"

	"almondstep"
)

// Admitter limits the open queries of one partition. A query is open from its
// admission until its release.
type Admitter struct {
	maxOpen    int
	partitions int
	total      pool
	services   map[almondstep.ServiceName]*pool
	infeasible uint64

	catalog     *almondstep.Catalog
	totalShares int
}

// Every infeasibleAdmitInterval-th query whose deadline is too short for the
// typical latency is admitted nevertheless: its answer corrects the latency
// estimate when the service is fast again.
const infeasibleAdmitInterval = 16

// New returns an admitter for at most maxOpen open queries. The daemon has the
// given number of partitions, each with its own admitter; a tenant's MaxOpen is
// divided among them, rounded up.
func New(maxOpen, partitions int) *Admitter {
	maxOpen = max(1, maxOpen)
	return &Admitter{
		maxOpen:    maxOpen,
		partitions: max(1, partitions),
		total:      newPool(maxOpen),
		services:   make(map[almondstep.ServiceName]*pool),
	}
}

// Request describes a query on arrival.
type Request struct {
	Service  almondstep.ServiceName
	Tenant   almondstep.TenantConfig
	Priority int
	// Remaining is the time until the hard deadline.
	Remaining time.Duration
	// TypicalLatency is the usual latency of a sub-request; 0 if unknown.
	TypicalLatency time.Duration
}

// Admit admits a query and returns true, or returns the code of its refusal. Every
// admitted query must be released once.
func (a *Admitter) Admit(c *almondstep.Catalog, r Request) (almondstep.RefusalCode, bool) {
	if r.Remaining <= 0 || !a.feasible(r) {
		return almondstep.CodeDeadline, false
	}
	if a.total.tenants[r.Tenant.Name] >= a.tenantLimit(r.Tenant) {
		return almondstep.CodeOverload, false
	}
	service := a.services[r.Service]
	if service == nil {
		p := newPool(a.maxOpen)
		service = &p
	}
	shares := a.sumShares(c)
	if a.total.refuses(r, shares) || service.refuses(r, shares) {
		return almondstep.CodeOverload, false
	}
	a.services[r.Service] = service
	a.total.add(r.Tenant.Name)
	service.add(r.Tenant.Name)
	return "", true
}

// Release ends an admitted query. The shed parameter reports whether upstreams at
// capacity refused a significant part of it.
func (a *Admitter) Release(s almondstep.ServiceName, t almondstep.TenantName, shed bool) {
	a.total.release(t)
	service := a.services[s]
	service.adapt(shed, a.maxOpen)
	service.release(t)
	if service.open == 0 && service.limit == a.maxOpen {
		delete(a.services, s)
	}
}

// Open returns the number of open queries.
func (a *Admitter) Open() int { return a.total.open }

// Limit returns the current limit of open queries of a service.
func (a *Admitter) Limit(s almondstep.ServiceName) int {
	if service := a.services[s]; service != nil {
		return service.limit
	}
	return a.maxOpen
}

// feasible reports whether the query's deadline leaves time for the typical
// latency, or the query is one of those admitted to correct the estimate.
func (a *Admitter) feasible(r Request) bool {
	if r.Remaining >= r.TypicalLatency {
		return true
	}
	a.infeasible++
	return a.infeasible%infeasibleAdmitInterval == 0
}

// tenantLimit returns this partition's part of the tenant's MaxOpen.
func (a *Admitter) tenantLimit(t almondstep.TenantConfig) int {
	return max(1, (t.MaxOpen+a.partitions-1)/a.partitions)
}

// sumShares returns the sum of all tenants' shares, cached per catalog.
func (a *Admitter) sumShares(c *almondstep.Catalog) int {
	if a.catalog != c {
		a.catalog = c
		a.totalShares = 0
		for _, t := range c.Config().Tenants {
			a.totalShares += t.Share
		}
	}
	return max(1, a.totalShares)
}
