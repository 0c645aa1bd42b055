package allocator

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

const (
	// demandHeadroom is the factor by which a fraction exceeds the demand as long as others don't
	// need it: demand is an average, and varies by chance.
	demandHeadroom = 1.2
	// exceededDemand is the demand above which an organisation counts as above its limit, as a
	// multiple of its rate. It is above 1 since demand varies by chance.
	exceededDemand = 1.5
	// deputyWeight is the weight of a deputy's region when fractions without demand are divided,
	// so that a deputy can answer the first requests when its lender is lost.
	deputyWeight = 0.05
	// lenderState is kept for forgetAfter after the last report.
	forgetAfter = 10 * time.Second
)

// coordinator leases the fractions of one group.
type coordinator struct {
	epoch   uint64
	number  uint64
	lenders map[almondstep.DaemonID]*lenderState
}

// lenderState is what a coordinator knows of a lender or a deputy.
type lenderState struct {
	grants []grant
	// contactAt is a time that is certainly before the lender's last report; 0 if unknown.
	contactAt  almondstep.Instant
	reportedAt almondstep.Instant
	// known is set if the lender holds no lease of another coordinator: it follows this one, or
	// has received no lease since it started.
	known  bool
	demand map[almondstep.OrganisationName]float64
}

// grant is a lease that a lender may use.
type grant struct {
	number        uint64
	at            almondstep.Instant
	until         almondstep.Instant
	otherFraction float64
	fractions     map[almondstep.OrganisationName]float64
}

func newCoordinator(epoch uint64) *coordinator {
	return &coordinator{epoch: epoch, lenders: make(map[almondstep.DaemonID]*lenderState)}
}

// share is one lender or deputy in the division of a limit.
type share struct {
	id     almondstep.DaemonID
	state  *lenderState
	static staticFraction
	// weight divides what nobody has a demand for.
	weight float64
}

// shares lists the lenders and deputies of a group.
func (c *coordinator) shares(g group, statics map[almondstep.DaemonID]staticFraction) []share {
	var all []share
	for _, p := range g.places {
		all = append(all, share{id: p.lender.ID, state: c.lenders[p.lender.ID], static: statics[p.lender.ID], weight: p.fraction})
		if p.deputy.ID != "" {
			all = append(all, share{id: p.deputy.ID, state: c.lenders[p.deputy.ID], weight: p.fraction * deputyWeight})
		}
	}
	return all
}

// lease answers a report with the fractions that the lender may use. If another coordinator may
// still lend the lender's static fraction, the lease is empty and isn't used.
func (a *Allocator) lease(now almondstep.Instant, r *almondstep.QuotaReport) almondstep.QuotaLease {
	c := a.coordinators[r.Group]
	if c == nil {
		return almondstep.QuotaLease{Refused: true}
	}
	g := a.fleet.groups[r.Group]
	_, holds := g.fractionOf(r.From)
	if !holds {
		return almondstep.QuotaLease{Refused: true}
	}
	s := c.reported(now, r)
	if a.stale(now) && !c.reachesMajority(now, g) {
		return almondstep.QuotaLease{Refused: true}
	}
	static, leaseFrom := a.static(r.Group, r.From).used(now), a.static(r.Group, r.From).leaseFrom
	lease := almondstep.QuotaLease{Epoch: c.epoch, Default: static, Complete: now >= leaseFrom && a.knowsMembers() && c.knowsAll(now, g)}
	if now < leaseFrom || !r.Settled && r.Epoch != c.epoch && !lease.Complete {
		return lease
	}
	c.number++
	lease.Number = c.number
	s.grants = append(s.grants, grant{
		number: c.number, at: now, until: now.Add(time.Duration(clockMargin * float64(leaseTime))),
		otherFraction: static, fractions: a.divide(now, c, r, &lease),
	})
	return lease
}

// divide sets the fractions in a lease, and those of organisations above their limit. It returns the
// fractions.
func (a *Allocator) divide(now almondstep.Instant, c *coordinator, r *almondstep.QuotaReport, lease *almondstep.QuotaLease) map[almondstep.OrganisationName]float64 {
	fractions, shares := make(map[almondstep.OrganisationName]float64), c.shares(a.fleet.groups[r.Group], a.statics[r.Group])
	for _, o := range c.active() {
		l, known := a.limits[o]
		if !known || l.single {
			continue
		}
		f := c.fractionFor(now, r.From, shares, o, l)
		fractions[o] = f
		if c.demandOf(o) > exceededDemand*l.rate {
			lease.Exceeded = append(lease.Exceeded, o)
		}
		lease.Fractions = append(lease.Fractions, almondstep.OrganisationShare{Organisation: o, Value: f})
	}
	return fractions
}

// reported records a report. A grant that the lender has confirmed replaces those before it, and
// shows that the report was sent after it.
func (c *coordinator) reported(now almondstep.Instant, r *almondstep.QuotaReport) *lenderState {
	s := c.lenders[r.From]
	if s == nil {
		s = &lenderState{}
		c.lenders[r.From] = s
	}
	s.reportedAt = now
	s.known = r.Fresh || r.Epoch == c.epoch && r.Lease != 0
	s.demand = make(map[almondstep.OrganisationName]float64, len(r.Demand))
	for _, d := range r.Demand {
		s.demand[d.Organisation] = d.Value
	}
	if r.Epoch == c.epoch {
		for i, g := range s.grants {
			if g.number == r.Lease {
				s.contactAt = g.at
				s.grants = s.grants[i:]
				break
			}
		}
	}
	for id, s := range c.lenders {
		s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return now >= g.until })
		if now.Sub(s.reportedAt) > forgetAfter {
			delete(c.lenders, id)
		}
	}
	return s
}

// knowsAll reports whether all lenders and deputies of a group have reported recently, and none of
// them holds a lease of another coordinator. After a restart of all daemons no fraction is in use
// then that this coordinator hasn't granted.
func (c *coordinator) knowsAll(now almondstep.Instant, g group) bool {
	for _, p := range g.places {
		for _, id := range []almondstep.DaemonID{p.lender.ID, p.deputy.ID} {
			s := c.lenders[id]
			if id != "" && (s == nil || !s.known || now.Sub(s.reportedAt) >= leaseTime) {
				return false
			}
		}
	}
	return true
}

// reachesMajority reports whether lenders with more than half of the static fractions report. A
// coordinator with an old directory that reaches fewer may be cut off, and the others may have divided
// the limits anew.
func (c *coordinator) reachesMajority(now almondstep.Instant, g group) bool {
	sum := 0.0
	for _, p := range g.places {
		if s := c.lenders[p.lender.ID]; s != nil && now.Sub(s.reportedAt) < leaseTime {
			sum += p.fraction
		}
	}
	return sum > 0.5
}

// active lists the organisations with demand, or with fractions that a lender may still use.
func (c *coordinator) active() []almondstep.OrganisationName {
	all := make(map[almondstep.OrganisationName]struct{})
	for _, s := range c.lenders {
		for o := range s.demand {
			all[o] = struct{}{}
		}
		for _, g := range s.grants {
			for o, f := range g.fractions {
				if f != g.otherFraction {
					all[o] = struct{}{}
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// demandOf is the demand for an organisation's quota in all regions, in requests per second.
func (c *coordinator) demandOf(o almondstep.OrganisationName) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(c.lenders)) {
		sum += c.lenders[id].demand[o]
	}
	return sum
}

// inContact reports whether a lender follows this coordinator, which may then lend its static
// fraction to others.
func (s share) inContact(now almondstep.Instant) bool {
	return s.state != nil && s.state.contactAt != 0 && now < s.state.contactAt.Add(leaseTime)
}

// reserved is the fraction of a limit that a lender may be using until any grant that is made now
// has ended.
func (s share) reserved(now almondstep.Instant, o almondstep.OrganisationName) float64 {
	used := 0.0
	if s.state != nil {
		for _, g := range s.state.grants {
			if now >= g.until {
				continue
			}
			f, ok := g.fractions[o]
			if !ok {
				f = g.otherFraction
			}
			used = max(used, f)
		}
	}
	if !s.inContact(now) {
		used = max(used, s.static.reserved(now))
	}
	return used
}

// fractionFor returns the fraction of a limit for a lender: its fair share, as far as others don't
// use it yet.
func (c *coordinator) fractionFor(now almondstep.Instant, id almondstep.DaemonID, shares []share, o almondstep.OrganisationName, l limit) float64 {
	free, left, weights := 1.0, 1.0, 0.0
	var own share
	var wants []float64
	want := 0.0
	for _, s := range shares {
		if s.id != id {
			free -= s.reserved(now, o)
		} else {
			own = s
		}
		if s.id != id && !s.inContact(now) {
			left -= s.reserved(now, o)
			continue
		}
		w := 0.0
		if s.state != nil {
			w = min(1, s.state.demand[o]*demandHeadroom/l.rate)
		}
		if s.id == id {
			want = w
		}
		weights += s.weight
		wants = append(wants, w)
	}
	return max(0, min(free, fairShare(max(0, left), want, wants, own.weight, weights)))
}

// fairShare divides total by max-min fairness among wants and returns the part of the one that
// wants want. What nobody wants is divided by weight.
func fairShare(total, want float64, wants []float64, weight, weights float64) float64 {
	slices.Sort(wants)
	rest := total
	for i, w := range wants {
		level := rest / float64(len(wants)-i)
		if w >= level {
			return min(want, level)
		}
		rest -= w
	}
	if weights > 0 {
		want += rest * weight / weights
	}
	return want
}
