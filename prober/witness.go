package prober

import (
	"almondstep"
	"almondstep/ranker"
)

// witnessesMax is how many witnesses a daemon has in a large zone.
const witnessesMax = 7

// quorumOfMax is the quorum of witnessesMax. It is above a plain majority so
// that two quorums still share a witness if the two sides' lists of VMs differ
// in two of the seven.
const quorumOfMax = 5

// quorum is how many of n votes are needed.
func quorum(n int) int {
	if n >= witnessesMax {
		return quorumOfMax
	}
	return n/2 + 1
}

// witnessesOf lists the witnesses of a daemon of this zone: the first seven for
// its id, itself excluded, or all daemons of a zone that has fewer others.
func (p *Prober) witnessesOf(id almondstep.DaemonID) []almondstep.DaemonID {
	if p.mates.Len() <= witnessesMax {
		return p.mates.IDs()
	}
	order := p.mates.Order("witness/" + string(id))
	w := make([]almondstep.DaemonID, 0, witnessesMax)
	for _, o := range order {
		if o != id && len(w) < witnessesMax {
			w = append(w, o)
		}
	}
	return w
}

// vouch answers a renewal. It is refused for an epoch this daemon has said Gone
// of, or has heard Gone of before it ever vouched; to a daemon with an older
// list of VMs; and while this daemon is not yet admitted.
func (p *Prober) vouch(now almondstep.Instant, m *member, d *almondstep.Digest) bool {
	epoch := epochOf(d.Incarnation)
	if epoch < epochOf(m.incarnation) || m.hasLeft || !p.admitted || m.zone != p.cfg.Zone {
		return false
	}
	if m.saidGone >= epoch {
		return false
	}
	if m.renewedEpoch < epoch && m.warned >= epoch {
		return false
	}
	m.renewedAt = now
	if fleetRevision(d) < p.fleet {
		return false
	}
	m.renewedEpoch = epoch
	return true
}

// lapseCharges says Gone of the daemons that have not renewed in time. It is
// never taken back for their present epoch.
func (p *Prober) lapseCharges(now almondstep.Instant) {
	if !p.admitted {
		return
	}
	for _, m := range p.charges {
		epoch := max(epochOf(m.incarnation), 1)
		if m.saidGone >= epoch || m.hasLeft {
			continue
		}
		last := max(m.renewedAt, m.epochAt, m.knownAt, p.admittedAt, p.pausedAt)
		if now.Sub(last) < almondstep.WitnessTTL+GoneMargin {
			continue
		}
		m.saidGone = epoch
		p.judge(now, m)
	}
}

// hearGone notes which daemons the sender says are gone. A sender with a newer
// list of VMs may count other witnesses, so its word is no vote until this daemon
// has that list too; but it is a warning at once, in case this daemon said the
// same before it was started again.
func (p *Prober) hearGone(now, sent almondstep.Instant, from *member, d *almondstep.Digest) {
	if from.zone != p.cfg.Zone {
		return
	}
	for _, g := range d.ExpiredLeases {
		epoch := epochOf(g.Incarnation)
		if g.Daemon == p.cfg.Self {
			from.refused = max(from.refused, epoch)
			continue
		}
		if m := p.members[g.Daemon]; m != nil {
			p.learn(now, m, g.Incarnation)
			m.warned = max(m.warned, epoch)
			if fleetRevision(d) <= p.fleet && sent != notAsked {
				m.goneBy[from.id] = statement{epoch: epoch, asked: sent}
				p.judge(now, m)
			}
		}
	}
}

// Rank gives the zone's daemons that may hold a grant, listed or only heard of.
func (p *Prober) Rank() *ranker.Ranker {
	ids := append([]almondstep.DaemonID(nil), p.mates.IDs()...)
	for _, m := range p.all {
		if !m.listed && m.zone == p.cfg.Zone {
			ids = append(ids, m.id)
		}
	}
	return ranker.New(ids)
}
