package prober

import (
	"slices"
	"time"

	"almondstep"
)

// inquiriesPerTick bounds the probes by which a deputy asks for a verdict.
const inquiriesPerTick = 2

// wordLasts is how long a witness's word counts after it was asked for.
const wordLasts = 2 * time.Second

// settleFor is how long a change of a daemon's witnesses must be known before
// they are counted: what the former ones vouched for has then ended.
const settleFor = almondstep.WitnessTTL + GoneMargin

// judge makes the verdict on a member final for its epoch if a quorum of its
// witnesses has said Gone.
func (p *Prober) judge(now almondstep.Instant, m *member) {
	epoch := max(epochOf(m.incarnation), 1)
	if m.gone >= epoch || now.Sub(m.witnessesAt) < settleFor {
		return
	}
	if p.saying(now, m, epoch) >= quorum(len(m.witnesses)) {
		m.gone = epoch
		p.changed = true
	}
}

// saying counts the witnesses that say Gone of an epoch. A word counts for
// wordLasts only, so that none is left by the time a witness that was started
// again, and has forgotten it, vouches for anyone.
func (p *Prober) saying(now almondstep.Instant, m *member, epoch uint64) int {
	n := 0
	for _, id := range m.witnesses {
		said := m.goneBy[id]
		if id == p.cfg.Self {
			said = statement{epoch: m.saidGone, asked: now}
		}
		if said.epoch >= epoch && now.Sub(said.asked) <= wordLasts {
			n++
		}
	}
	return n
}

// Cleared says whether a daemon can't hold a grant any more: a quorum of its
// witnesses says Gone, or it has left and its last requests have ended. The
// zone's lease stands in for one missing vote, for as long as it is held.
func (p *Prober) Cleared(now almondstep.Instant, id almondstep.DaemonID) bool {
	m := p.members[id]
	if m == nil {
		return true
	}
	if m.hasLeft {
		return now.Sub(m.leftAt) >= GoneMargin
	}
	p.judge(now, m)
	epoch := max(epochOf(m.incarnation), 1)
	if m.gone >= epoch {
		return true
	}
	n := len(m.witnesses)
	if !p.leaseCounts(now, n) || now.Sub(m.witnessesAt) < settleFor {
		return false
	}
	return p.saying(now, m, epoch)+1 >= quorum(n)
}

// ClearedNow says whether a daemon can't hold a grant by words that are still
// young, rather than by a former verdict: the daemon may have begun a new epoch
// that hasn't been heard of here. It needs a quorum that has vouched for this
// daemon for as long as a word counts, so that of two daemons that each go by old
// words about the other, at most one can.
func (p *Prober) ClearedNow(now almondstep.Instant, id almondstep.DaemonID) bool {
	if !p.Cleared(now, id) {
		return false
	}
	m := p.members[id]
	if m == nil || m.hasLeft {
		return true
	}
	votes := p.saying(now, m, max(epochOf(m.incarnation), 1))
	if p.leaseCounts(now, len(m.witnesses)) {
		votes++
	}
	return votes >= quorum(len(m.witnesses)) && p.vouchedSince != 0 && now.Sub(p.vouchedSince) > wordLasts
}

// noteQuorum remembers since when a quorum has vouched for the present epoch.
func (p *Prober) noteQuorum(now almondstep.Instant) {
	if _, ok := p.VouchedUntil(now); !ok {
		p.vouchedSince = 0
	} else if p.vouchedSince == 0 {
		p.vouchedSince = now
	}
}

// Acknowledged says whether a daemon has known this daemon's epoch for so long
// that what it may have sent before has ended.
func (p *Prober) Acknowledged(now almondstep.Instant, id almondstep.DaemonID) bool {
	m := p.members[id]
	if m == nil || id == p.cfg.Self {
		return true
	}
	return m.ackEpoch == p.epoch() && now.Sub(m.ackAt) >= GoneMargin
}

// Epoch numbers the times this daemon has begun the ownership rules anew.
func (p *Prober) Epoch() uint64 { return p.epoch() }

// SetBlockers names the daemons whose verdict this daemon waits for.
func (p *Prober) SetBlockers(ids []almondstep.DaemonID) { p.blockers = ids }

// inquire asks the witnesses of the daemons that block a grant here.
func (p *Prober) inquire(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	asked := 0
	for _, id := range p.blockers {
		for _, w := range p.witnessesOfMember(id) {
			m := p.members[w]
			if asked == inquiriesPerTick {
				return out
			}
			if m == nil || w == id || !p.shouldAsk(now, m) {
				continue
			}
			m.nextInquiry = now.Add(ProbeEvery)
			p.tellEpoch(p.members[id])
			out = p.send(now, m, slices.Contains(p.witnesses, w), out)
			asked++
		}
	}
	return out
}

// tellEpoch lets a witness that was started again know which epoch is meant.
func (p *Prober) tellEpoch(m *member) {
	if m == nil {
		return
	}
	r := p.rumorOf(m)
	r.Member = almondstep.MemberAlive
	p.queue.add(r)
}

func (p *Prober) shouldAsk(now almondstep.Instant, m *member) bool {
	return now >= m.nextInquiry && !m.probe.open && m.state == almondstep.MemberAlive
}

func (p *Prober) witnessesOfMember(id almondstep.DaemonID) []almondstep.DaemonID {
	if m := p.members[id]; m != nil {
		return m.witnesses
	}
	return nil
}
