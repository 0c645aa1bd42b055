package allocator

import (
	"time"

	"almondstep"
)

const (
	// leaseTime is how long a lease is valid, counted from the sending of the report.
	leaseTime = time.Second
	// clockMargin covers clocks that run at different speeds, as a factor.
	clockMargin = 1.05
	// quietTime is how long after its last report to a coordinator a lender may assume that this
	// coordinator still lends a part of the lender's static fraction: contact counts for one
	// leaseTime, and a lease that is granted at its end lasts another.
	quietTime = time.Duration(2 * clockMargin * float64(leaseTime))
	// roleTime is how long a daemon that becomes a lender uses no static fraction: its predecessor
	// may learn of the change later.
	roleTime = 6 * time.Second
	// maxStaleTime is how long a static fraction is used while the directory is stale: afterwards
	// other daemons may have removed this one from theirs, and use its fraction. A daemon's entry
	// is removed 51 s after its last renewal at the earliest.
	maxStaleTime = 40 * time.Second
)

// holder is the state of a lender or a deputy in one group.
type holder struct {
	static float64
	// since is when the daemon got the role. initial is set if that was at its start.
	since   almondstep.Instant
	initial bool
	buckets map[almondstep.OrganisationName]*bucket
	// home is set if the daemon is the coordinator, which holds the single buckets, and homeFrom is
	// from when it may use them.
	home     bool
	homeFrom almondstep.Instant
	// quietUntil is until when the static fraction may be used by others.
	quietUntil almondstep.Instant

	// epoch and number identify the last lease of the present coordinator; 0 if there is none.
	epoch  uint64
	number uint64
	// leaseFrom is the sending of the report to which the last lease is the reply. There is none
	// while fractions is nil.
	leaseFrom     almondstep.Instant
	fractions     map[almondstep.OrganisationName]float64
	otherFraction float64
	// exceeded has the organisations whose demand is above their limit, as of the last lease.
	exceeded map[almondstep.OrganisationName]bool

	reporting reporting
}

// newHolder returns a holder without a lease. A daemon whose entry the registry didn't have at its
// start has just joined, so that its predecessor may learn of that later, or may not know of the
// others until they have written their entries again. A role that is assigned at
// the start of the process
// may be older, so that a coordinator may know the daemon's previous process.
func newHolder(now almondstep.Instant, first bool, startedAt almondstep.Instant, hadEntry bool) *holder {
	h := &holder{since: now, initial: first, buckets: make(map[almondstep.OrganisationName]*bucket)}
	h.quietUntil = now.Add(roleTime)
	if first && hadEntry {
		h.quietUntil = startedAt.Add(quietTime)
	}
	return h
}

// setStatic sets the static fraction. A larger one may be in use by others for a while if the
// daemon becomes a lender.
func (h *holder) setStatic(now almondstep.Instant, fraction float64) {
	if h.static == 0 && fraction > 0 && now > h.since {
		h.quietUntil = max(h.quietUntil, now.Add(roleTime))
	}
	h.static = fraction
}

func (h *holder) settled(now almondstep.Instant) bool { return now >= h.quietUntil }

// leasedUntil is when the last lease ends.
func (h *holder) leasedUntil() almondstep.Instant {
	if h.fractions == nil {
		return 0
	}
	return h.leaseFrom.Add(leaseTime)
}

// leasedFraction is that of the last lease, whether it is valid or not.
func (h *holder) leasedFraction(o almondstep.OrganisationName) float64 {
	if f, ok := h.fractions[o]; ok {
		return f
	}
	return h.otherFraction
}

// fraction returns the fraction of an organisation's limit that the holder may use.
func (h *holder) fraction(now almondstep.Instant, o almondstep.OrganisationName, static float64, stale bool) float64 {
	switch {
	case now < h.leasedUntil():
		return h.leasedFraction(o)
	case stale:
		return 0
	case h.settled(now):
		return static
	case h.fractions == nil:
		return 0
	}
	return min(static, h.leasedFraction(o))
}

// accept takes over a lease, unless an older coordinator may still lend the static fraction or a
// later lease has been received. It reports whether the coordinator is a new one.
func (h *holder) accept(sent almondstep.Instant, settled bool, l *almondstep.QuotaLease) (changed bool) {
	switch {
	case l.Epoch != h.epoch && (!settled && !l.Complete || l.Number == 0):
		h.epoch, h.number = 0, 0
		return false
	case l.Epoch == h.epoch && l.Number <= h.number:
		return false
	}
	changed = h.epoch != l.Epoch
	h.epoch, h.number, h.leaseFrom = l.Epoch, l.Number, sent
	h.otherFraction = l.Default
	h.fractions = make(map[almondstep.OrganisationName]float64, len(l.Fractions))
	for _, f := range l.Fractions {
		h.fractions[f.Organisation] = f.Value
	}
	h.exceeded = make(map[almondstep.OrganisationName]bool, len(l.Exceeded))
	for _, o := range l.Exceeded {
		h.exceeded[o] = true
	}
	return changed
}

// stale reports whether the directory has been stale for so long that others may not count on this
// daemon any more.
func (a *Allocator) stale(now almondstep.Instant) bool {
	return a.staleFrom != 0 && now.Sub(a.staleFrom) > maxStaleTime
}

// refillAll brings all buckets of this daemon up to date, and creates those of new organisations.
func (a *Allocator) refillAll(now almondstep.Instant) {
	if len(a.holders) == 0 {
		return
	}
	for o := range a.limits {
		if h := a.holders[a.fleet.groupOf(o)]; h != nil {
			a.refill(now, h, o)
		}
	}
}

// refill brings a bucket up to date; it returns nil if this daemon holds none of the organisation.
func (a *Allocator) refill(now almondstep.Instant, h *holder, o almondstep.OrganisationName) *bucket {
	l := a.limits[o]
	static := a.static(a.fleet.groupOf(o), a.cfg.Self).used(now)
	fraction := h.fraction(now, o, static, a.stale(now))
	// For a while after a change between one bucket and several, others may not know of it: the
	// holder uses the smaller of both fractions.
	changed := now < a.modes[o].settledFrom
	switch {
	case l.single && !h.home:
		delete(h.buckets, o)
		return nil
	case l.single && !changed:
		fraction = h.homeFraction(now)
	case !l.single && changed && !h.home:
		fraction = 0
	}
	lender := h.static > 0
	b := h.buckets[o]
	extra := l.extra(l.depth, lender)
	if isNew := b == nil; isNew || l.windowed != (b.window != nil) {
		b = newBucket(now, l, a.cfg.Window)
		switch {
		case changed || !isNew:
		case now.Sub(h.since) > a.cfg.Window && !l.single:
			// The organisation is new: nothing of its limit has been used.
			b.setFull(l.inflow(fraction, extra))
		case h.initial:
			b.setInitial(l.extra(l.initial, lender))
		}
		h.buckets[o] = b
	}
	b.refill(now, l, fraction, extra)
	return b
}

// setHome sets whether the daemon holds the single buckets. A predecessor may learn of a change
// later.
func (h *holder) setHome(now almondstep.Instant, home bool) {
	if home && !h.home {
		h.homeFrom = now.Add(roleTime)
		if h.initial && now == h.since {
			h.homeFrom = h.quietUntil
		}
	}
	h.home = home
}

// homeFraction is the fraction of a limit with a single bucket. Nobody leases it.
func (h *holder) homeFraction(now almondstep.Instant) float64 {
	if now >= h.homeFrom {
		return 1
	}
	return 0
}

// lend answers an ask, of another daemon or of this one.
func (a *Allocator) lend(now almondstep.Instant, ask almondstep.QuotaAsk) almondstep.QuotaAnswer {
	l, known := a.limits[ask.Organisation]
	if !known {
		return almondstep.QuotaAnswer{Unknown: true}
	}
	h := a.holders[a.fleet.groupOf(ask.Organisation)]
	if h == nil {
		return almondstep.QuotaAnswer{Unknown: true}
	}
	b := a.refill(now, h, ask.Organisation)
	if b == nil {
		return almondstep.QuotaAnswer{Unknown: true}
	}
	if ask.Return {
		b.giveBack()
		return almondstep.QuotaAnswer{Granted: true}
	}
	if !ask.Redirected {
		b.count(now, l)
	}
	granted, wait := b.take(now)
	leased := now < h.leasedUntil()
	spare := leased && !h.exceeded[ask.Organisation]
	if !leased && !h.settled(now) && b.fraction == 0 {
		// After a start another lender may be ahead of this one.
		wait, spare = max(wait, h.quietUntil.Sub(now)), true
	}
	return almondstep.QuotaAnswer{Granted: granted, RetryAfter: wait, Elsewhere: !granted && !l.single && !ask.Redirected && spare}
}
