package prober

import (
	"almondstep"
	"almondstep/ranker"
)

// maxWitnesses is how many witnesses a daemon has in a large zone.
const maxWitnesses = 7

// maxWitnessesQuorum is the quorum of maxWitnesses. It is above a simple majority so
// that two quorums still share a witness if the lists of VMs of two daemons differ in
// two of the seven.
const maxWitnessesQuorum = 5

// quorum returns how many of n votes are needed.
func quorum(n int) int {
	if n >= maxWitnesses {
		return maxWitnessesQuorum
	}
	return n/2 + 1
}

// witnessesOf returns the witnesses of a daemon of this zone: the first seven in the
// rendezvous order of its id, itself excluded, or all daemons of a zone that has at
// most seven.
func (p *Prober) witnessesOf(id almondstep.DaemonID) []almondstep.DaemonID {
	if p.zoneDaemons.Len() <= maxWitnesses {
		return p.zoneDaemons.IDs()
	}
	order := p.zoneDaemons.Order("witness/" + string(id))
	w := make([]almondstep.DaemonID, 0, maxWitnesses)
	for _, o := range order {
		if o != id && len(w) < maxWitnesses {
			w = append(w, o)
		}
	}
	return w
}

// confirmLease decides on a renewal. It is refused for an epoch whose lease this
// daemon has declared expired, or for which it received such a report before it ever
// confirmed the lease; to a daemon with an older list of VMs; and while this daemon
// is not yet admitted.
func (p *Prober) confirmLease(now almondstep.Instant, m *member, d *almondstep.Digest) bool {
	epoch := epochOf(d.Incarnation)
	if epoch < epochOf(m.incarnation) || m.hasLeft || !p.admitted || m.zone != p.cfg.Zone {
		return false
	}
	if m.expiredEpoch >= epoch {
		return false
	}
	if m.renewedEpoch < epoch && m.warnedEpoch >= epoch {
		return false
	}
	m.renewedAt = now
	if fleetRevision(d) < p.fleetRevision {
		return false
	}
	m.renewedEpoch = epoch
	return true
}

// expireLeases declares expired the leases of the daemons that have not renewed in
// time. This is never revoked for their present epoch.
func (p *Prober) expireLeases(now almondstep.Instant) {
	if !p.admitted {
		return
	}
	for _, m := range p.witnessed {
		epoch := max(epochOf(m.incarnation), 1)
		if m.expiredEpoch >= epoch || m.hasLeft {
			continue
		}
		last := max(m.renewedAt, m.epochAt, m.knownAt, p.admittedAt, p.pausedAt)
		if now.Sub(last) < almondstep.WitnessTTL+ExpiryMargin {
			continue
		}
		m.expiredEpoch = epoch
		p.decideExpiry(now, m)
	}
}

// applyExpiredLeases records whose leases the sender reports expired. A sender with a
// newer list of VMs may count other witnesses, so its report is no vote until this
// daemon has that list too. Each report sets warnedEpoch at once, in case this daemon
// made the same report before it was restarted.
func (p *Prober) applyExpiredLeases(now, sent almondstep.Instant, from *member, d *almondstep.Digest) {
	if from.zone != p.cfg.Zone {
		return
	}
	for _, l := range d.ExpiredLeases {
		epoch := epochOf(l.Incarnation)
		if l.Daemon == p.cfg.Self {
			from.refusedEpoch = max(from.refusedEpoch, epoch)
			continue
		}
		if m := p.members[l.Daemon]; m != nil {
			p.raiseIncarnation(now, m, l.Incarnation)
			m.warnedEpoch = max(m.warnedEpoch, epoch)
			if fleetRevision(d) <= p.fleetRevision && sent != unknownSendTime {
				m.expiryReports[from.id] = expiryReport{epoch: epoch, sentAt: sent}
				p.decideExpiry(now, m)
			}
		}
	}
}

// GrantRanker returns a ranker of the zone's daemons that may hold a grant: those in
// the list of VMs, those recently removed from it, and those known only from messages.
func (p *Prober) GrantRanker() *ranker.Ranker {
	ids := append([]almondstep.DaemonID(nil), p.zoneDaemons.IDs()...)
	for _, m := range p.all {
		if !m.listed && m.zone == p.cfg.Zone {
			ids = append(ids, m.id)
		}
	}
	return ranker.New(ids)
}
