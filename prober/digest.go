package prober

import "almondstep"

// maxExpiredLeases bounds the expired leases reported in one digest.
const maxExpiredLeases = 16

// digest returns the digest to be sent to m; m may be nil.
func (p *Prober) digest(now almondstep.Instant, m *member) almondstep.Digest {
	d := almondstep.Digest{
		From:        p.cfg.Self,
		Addr:        p.cfg.Addr,
		Zone:        p.cfg.Zone,
		Incarnation: p.incarnation,
		Rumors:      p.queue.take(p.sendLimit()),
	}
	if p.cfg.Documents != nil {
		d.Documents = p.cfg.Documents(now)
	}
	if m == nil {
		return d
	}
	if m.accusedIncarnation != 0 && m.accusedIncarnation == m.incarnation && !m.hasLeft {
		d.Rumors = append(d.Rumors, p.suspicionOf(m))
	}
	if m.zone == p.cfg.Zone {
		d.ExpiredLeases = p.expiredLeases(m)
	}
	return d
}

// suspicionOf returns a rumor that informs a member that it was reported suspect
// or dead, so that it can refute with a higher incarnation.
func (p *Prober) suspicionOf(m *member) almondstep.Rumor {
	r := p.rumorOf(m)
	r.Member = almondstep.MemberSuspect
	return r
}

// expiredLeases lists the daemons whose leases this one has declared expired; if the
// receiver is among them, it comes first.
func (p *Prober) expiredLeases(to *member) []almondstep.ExpiredLease {
	var expired []almondstep.ExpiredLease
	if to.leaseExpired() {
		expired = append(expired, expiredLease(to))
	}
	for _, m := range p.all {
		if m != to && m.leaseExpired() && m.listed && !m.hasLeft && len(expired) < maxExpiredLeases {
			expired = append(expired, expiredLease(m))
		}
	}
	return expired
}

// leaseExpired reports whether this daemon has declared the lease of the member's
// newest epoch expired.
func (m *member) leaseExpired() bool {
	return m.expiredEpoch != 0 && m.expiredEpoch >= epochOf(m.incarnation)
}

func expiredLease(m *member) almondstep.ExpiredLease {
	return almondstep.ExpiredLease{Daemon: m.id, Incarnation: firstIncarnation(m.expiredEpoch)}
}

// unknownSendTime is the send time of the request for a digest that came unrequested
// or whose probe is no longer pending. It equals distributor.Unrequested.
const unknownSendTime = almondstep.Instant(-1)

// applyDigest applies what a digest reports about daemons; sent is when the digest
// was requested. The controller handles rumors about upstreams and requests.
func (p *Prober) applyDigest(now, sent almondstep.Instant, d *almondstep.Digest) {
	if d.From == p.cfg.Self {
		return
	}
	m := p.ensure(now, d.From, d.Addr, d.Zone)
	theirs, known := epochOf(d.Incarnation), epochOf(m.incarnation)
	if theirs > known || theirs == known && !m.hasLeft {
		p.markAlive(now, m, d.Incarnation)
	}
	for i := range d.Rumors {
		if d.Rumors[i].Kind == almondstep.RumorMember {
			p.applyMemberRumor(now, &d.Rumors[i])
		}
	}
	p.applyExpiredLeases(now, sent, m, d)
}

// markAlive marks a member alive after a message from the member itself. Only a
// higher incarnation refutes the suspicion for others.
func (p *Prober) markAlive(now almondstep.Instant, m *member, incarnation uint64) {
	refutes := incarnation > m.incarnation
	p.raiseIncarnation(now, m, incarnation)
	if p.setState(now, m, almondstep.MemberAlive) && refutes {
		p.spreadState(m, false)
	}
}

// fleetRevision returns the revision of the sender's list of VMs.
func fleetRevision(d *almondstep.Digest) almondstep.Revision {
	for _, s := range d.Documents {
		if s.Name == almondstep.DocumentFleet {
			return s.Revision
		}
	}
	return 0
}
