package prober

import (
	"slices"
	"time"

	"almondstep"
)

// witnessQueriesPerTick bounds the probes per tick by which a daemon queries the
// witnesses of its blockers.
const witnessQueriesPerTick = 2

// reportTTL is how long a witness's expiry report counts after it was requested.
const reportTTL = 2 * time.Second

// witnessSettleTime is how long reports don't count after a change of a daemon's
// witnesses: by its end every lease that the former witnesses confirmed has expired.
const witnessSettleTime = almondstep.WitnessTTL + ExpiryMargin

// decideExpiry makes the verdict final for a member's epoch if a quorum of its
// witnesses has reported its lease expired.
func (p *Prober) decideExpiry(now almondstep.Instant, m *member) {
	epoch := max(epochOf(m.incarnation), 1)
	if m.verdictEpoch >= epoch || now.Sub(m.witnessesAt) < witnessSettleTime {
		return
	}
	if p.countExpiryReports(now, m, epoch) >= quorum(len(m.witnesses)) {
		m.verdictEpoch = epoch
		p.routingChanged = true
	}
}

// countExpiryReports counts the witnesses that report the lease of an epoch expired.
// A report counts for reportTTL only, so that it no longer counts when a witness that
// was restarted, and has lost its state, confirms any lease.
func (p *Prober) countExpiryReports(now almondstep.Instant, m *member, epoch uint64) int {
	n := 0
	for _, id := range m.witnesses {
		report := m.expiryReports[id]
		if id == p.cfg.Self {
			report = expiryReport{epoch: m.expiredEpoch, sentAt: now}
		}
		if report.epoch >= epoch && now.Sub(report.sentAt) <= reportTTL {
			n++
		}
	}
	return n
}

// GrantEnded reports whether a daemon can't hold a grant any more: a quorum of its
// witnesses reports its lease expired, or it has left and its last requests have
// ended. The zone's lease substitutes for one missing vote while it is held.
func (p *Prober) GrantEnded(now almondstep.Instant, id almondstep.DaemonID) bool {
	m := p.members[id]
	if m == nil {
		return true
	}
	if m.hasLeft {
		return now.Sub(m.leftAt) >= ExpiryMargin
	}
	p.decideExpiry(now, m)
	epoch := max(epochOf(m.incarnation), 1)
	if m.verdictEpoch >= epoch {
		return true
	}
	n := len(m.witnesses)
	if !p.zoneLeaseCounts(now, n) || now.Sub(m.witnessesAt) < witnessSettleTime {
		return false
	}
	return p.countExpiryReports(now, m, epoch)+1 >= quorum(n)
}

// GrantEndedByRecentReports reports whether recent reports show that a daemon can't
// hold a grant. An earlier verdict isn't enough: the daemon may have begun a new epoch
// that is not recorded here. A quorum must have confirmed this daemon's lease for longer
// than reportTTL, so that of two daemons that each rely on old reports about the other,
// at most one meets the condition.
func (p *Prober) GrantEndedByRecentReports(now almondstep.Instant, id almondstep.DaemonID) bool {
	if !p.GrantEnded(now, id) {
		return false
	}
	m := p.members[id]
	if m == nil || m.hasLeft {
		return true
	}
	votes := p.countExpiryReports(now, m, max(epochOf(m.incarnation), 1))
	if p.zoneLeaseCounts(now, len(m.witnesses)) {
		votes++
	}
	return votes >= quorum(len(m.witnesses)) && p.quorumSince != 0 && now.Sub(p.quorumSince) > reportTTL
}

// trackQuorum records since when a quorum has confirmed the lease of the present
// epoch.
func (p *Prober) trackQuorum(now almondstep.Instant) {
	if _, ok := p.LeaseValidUntil(now); !ok {
		p.quorumSince = 0
	} else if p.quorumSince == 0 {
		p.quorumSince = now
	}
}

// Acknowledged reports whether a daemon acknowledged this daemon's epoch so long ago
// that every request it may have sent before has ended. It is true for an unknown
// daemon and for this one.
func (p *Prober) Acknowledged(now almondstep.Instant, id almondstep.DaemonID) bool {
	m := p.members[id]
	if m == nil || id == p.cfg.Self {
		return true
	}
	return m.ackEpoch == p.epoch() && now.Sub(m.ackAt) >= ExpiryMargin
}

// Epoch returns this daemon's present epoch; it increases whenever the daemon has
// to acquire ownership again.
func (p *Prober) Epoch() uint64 { return p.epoch() }

// SetBlockers sets the daemons that keep this daemon from a full grant. Their witnesses
// are queried.
func (p *Prober) SetBlockers(ids []almondstep.DaemonID) { p.blockers = ids }

// queryWitnesses probes the witnesses of the blockers.
func (p *Prober) queryWitnesses(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	sent := 0
	for _, id := range p.blockers {
		for _, w := range p.witnessesOfMember(id) {
			m := p.members[w]
			if sent == witnessQueriesPerTick {
				return out
			}
			if m == nil || w == id || !p.mayQuery(now, m) {
				continue
			}
			m.nextQuery = now.Add(ProbeInterval)
			p.queueEpochRumor(p.members[id])
			out = p.sendProbe(now, m, slices.Contains(p.witnesses, w), out)
			sent++
		}
	}
	return out
}

// queueEpochRumor queues a rumor of the member's epoch, for a witness that was
// restarted and has lost it.
func (p *Prober) queueEpochRumor(m *member) {
	if m == nil {
		return
	}
	r := p.rumorOf(m)
	r.Member = almondstep.MemberAlive
	p.queue.add(r)
}

func (p *Prober) mayQuery(now almondstep.Instant, m *member) bool {
	return now >= m.nextQuery && !m.probe.open && m.state == almondstep.MemberAlive
}

func (p *Prober) witnessesOfMember(id almondstep.DaemonID) []almondstep.DaemonID {
	if m := p.members[id]; m != nil {
		return m.witnesses
	}
	return nil
}
