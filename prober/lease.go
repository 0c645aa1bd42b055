package prober

import (
	"time"

	"almondstep"
)

const (
	// LeaseTTL is how long the zone's lease is asked for.
	LeaseTTL = 5 * time.Second
	// leaseEvery is the time between two requests for it.
	leaseEvery = LeaseTTL / 5
)

// zoneLease is this daemon's hold on the zone's lease at the platform.
type zoneLease struct {
	since   almondstep.Instant
	until   almondstep.Instant
	next    almondstep.Instant
	waiting bool
}

// leaseCounts says whether the lease is one more vote of n. It counts only where
// n is even, and only once the former holder's last requests have ended.
func (p *Prober) leaseCounts(now almondstep.Instant, n int) bool {
	if n == 0 || n%2 != 0 || now >= p.lease.until {
		return false
	}
	return now.Sub(p.lease.since) >= GoneMargin
}

// takeLease asks for the lease while a vote is missing: no call to the platform
// is made for it in normal times.
func (p *Prober) takeLease(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.lease.waiting || now < p.lease.next || !p.needsLease(now) {
		return out
	}
	p.lease.waiting = true
	p.lease.next = now.Add(leaseEvery)
	return append(out, &almondstep.TakeZoneLease{Zone: p.cfg.Zone, TTL: LeaseTTL})
}

func (p *Prober) needsLease(now almondstep.Instant) bool {
	n := len(p.witnesses)
	if !p.listed || p.left || !p.admitted || n == 0 || n%2 != 0 {
		return false
	}
	votes := 0
	for _, id := range p.witnesses {
		if p.voteOf(id) > now {
			votes++
		}
	}
	if votes < quorum(n) {
		return true
	}
	for _, id := range p.blockers {
		if m := p.members[id]; m != nil && m.gone < max(epochOf(m.incarnation), 1) && m.state != almondstep.MemberAlive {
			return true
		}
	}
	return false
}

// LeaseRead takes the platform's answer.
func (p *Prober) LeaseRead(now almondstep.Instant, e *almondstep.ZoneLeaseRead) {
	p.lease.waiting = false
	if e.Err != "" {
		return
	}
	if !e.Held {
		p.lease.until = 0
		return
	}
	if now >= p.lease.until {
		p.lease.since = now
	}
	p.lease.until = now.Add(e.Remaining)
}
