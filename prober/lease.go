package prober

import (
	"time"

	"almondstep"
)

const (
	// ZoneLeaseTTL is the TTL with which the zone's lease is requested.
	ZoneLeaseTTL = 5 * time.Second
	// zoneLeaseInterval is the time between two requests for it.
	zoneLeaseInterval = ZoneLeaseTTL / 5
)

// zoneLeaseState is the state of the zone's lease, which the platform grants, at
// this daemon.
type zoneLeaseState struct {
	since       almondstep.Instant
	until       almondstep.Instant
	nextRequest almondstep.Instant
	waiting     bool
}

// zoneLeaseCounts reports whether the zone's lease is a vote in addition to those
// of n witnesses. It counts only if n is even, and only after the former holder's
// last requests have ended.
func (p *Prober) zoneLeaseCounts(now almondstep.Instant, n int) bool {
	if n == 0 || n%2 != 0 || now >= p.zoneLease.until {
		return false
	}
	return now.Sub(p.zoneLease.since) >= ExpiryMargin
}

// takeZoneLease requests the zone's lease while a vote is missing; in normal
// operation no call to the platform is made for it.
func (p *Prober) takeZoneLease(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.zoneLease.waiting || now < p.zoneLease.nextRequest || !p.needsZoneLease(now) {
		return out
	}
	p.zoneLease.waiting = true
	p.zoneLease.nextRequest = now.Add(zoneLeaseInterval)
	return append(out, &almondstep.TakeZoneLease{Zone: p.cfg.Zone, TTL: ZoneLeaseTTL})
}

// needsZoneLease reports whether this daemon lacks a quorum for its own lease, or
// waits for the verdict on a daemon that isn't alive.
func (p *Prober) needsZoneLease(now almondstep.Instant) bool {
	n := len(p.witnesses)
	if !p.listed || p.left || !p.admitted || n == 0 || n%2 != 0 {
		return false
	}
	votes := 0
	for _, id := range p.witnesses {
		if p.voteUntil(id) > now {
			votes++
		}
	}
	if votes < quorum(n) {
		return true
	}
	for _, id := range p.blockers {
		if m := p.members[id]; m != nil && m.verdictEpoch < max(epochOf(m.incarnation), 1) && m.state != almondstep.MemberAlive {
			return true
		}
	}
	return false
}

// ZoneLeaseRead processes the platform's response to a TakeZoneLease.
func (p *Prober) ZoneLeaseRead(now almondstep.Instant, e *almondstep.ZoneLeaseRead) {
	p.zoneLease.waiting = false
	if e.Err != "" {
		return
	}
	if !e.Held {
		p.zoneLease.until = 0
		return
	}
	if now >= p.zoneLease.until {
		p.zoneLease.since = now
	}
	p.zoneLease.until = now.Add(e.Remaining)
}
