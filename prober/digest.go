package prober

import "almondstep"

// goneMax bounds the verdicts in one digest.
const goneMax = 16

// digest describes this daemon to m; m may be nil.
func (p *Prober) digest(now almondstep.Instant, m *member) almondstep.Digest {
	d := almondstep.Digest{
		From:        p.cfg.Self,
		Addr:        p.cfg.Addr,
		Zone:        p.cfg.Zone,
		Incarnation: p.incarnation,
		Rumors:      p.queue.take(p.tellLimit()),
	}
	if p.cfg.Documents != nil {
		d.Documents = p.cfg.Documents(now)
	}
	if m == nil {
		return d
	}
	if m.accused != 0 && m.accused == m.incarnation && !m.hasLeft {
		d.Rumors = append(d.Rumors, p.accusation(m))
	}
	if m.zone == p.cfg.Zone {
		d.ExpiredLeases = p.goneList(m)
	}
	return d
}

// accusation tells a member that it was called suspect or dead, so that it can
// refute with a higher incarnation.
func (p *Prober) accusation(m *member) almondstep.Rumor {
	r := p.rumorOf(m)
	r.Member = almondstep.MemberSuspect
	return r
}

// goneList names the daemons that this one no longer vouches for; if the
// receiver is among them, it comes first.
func (p *Prober) goneList(to *member) []almondstep.ExpiredLease {
	var gone []almondstep.ExpiredLease
	if to.isGone() {
		gone = append(gone, goneDaemon(to))
	}
	for _, m := range p.all {
		if m != to && m.isGone() && m.listed && !m.hasLeft && len(gone) < goneMax {
			gone = append(gone, goneDaemon(m))
		}
	}
	return gone
}

// isGone says whether this daemon has said Gone of the member's newest epoch.
func (m *member) isGone() bool {
	return m.saidGone != 0 && m.saidGone >= epochOf(m.incarnation)
}

func goneDaemon(m *member) almondstep.ExpiredLease {
	return almondstep.ExpiredLease{Daemon: m.id, Incarnation: newEpoch(m.saidGone)}
}

// notAsked is when a digest that came unasked was asked for.
const notAsked = almondstep.Instant(-1)

// absorb takes what a digest says of daemons; sent is when it was asked for.
// Rumors about upstreams and requests are the controller's.
func (p *Prober) absorb(now, sent almondstep.Instant, d *almondstep.Digest) {
	if d.From == p.cfg.Self {
		return
	}
	m := p.ensure(now, d.From, d.Addr, d.Zone)
	theirs, known := epochOf(d.Incarnation), epochOf(m.incarnation)
	if theirs > known || theirs == known && !m.hasLeft {
		p.alive(now, m, d.Incarnation)
	}
	for i := range d.Rumors {
		if d.Rumors[i].Kind == almondstep.RumorMember {
			p.hearMember(now, &d.Rumors[i])
		}
	}
	p.hearGone(now, sent, m, d)
}

// alive takes a message from the member itself as evidence. Only a higher
// incarnation refutes the suspicion for others.
func (p *Prober) alive(now almondstep.Instant, m *member, incarnation uint64) {
	refutes := incarnation > m.incarnation
	p.learn(now, m, incarnation)
	if p.turn(now, m, almondstep.MemberAlive) && refutes {
		p.announce(m, false)
	}
}

// fleetRevision is the revision of the list of VMs that the sender holds.
func fleetRevision(d *almondstep.Digest) almondstep.Revision {
	for _, s := range d.Documents {
		if s.Name == almondstep.DocumentFleet {
			return s.Revision
		}
	}
	return 0
}
