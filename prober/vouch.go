package prober

import (
	"slices"
	"time"

	"almondstep"
)

// forever is the expiry of a vote that doesn't lapse.
const forever = almondstep.Instant(1<<63 - 1)

// greetingsPerTick bounds the probes that make a new epoch known to the zone.
const greetingsPerTick = 2

// bootPatience is how long a daemon waits for all its witnesses, if too few of
// them are voters.
const bootPatience = 30 * time.Second

// renewJitter is the part of the time between renewals that is left to chance,
// so that daemons that started together don't all renew at once.
const renewJitter = 10

func (p *Prober) epoch() uint64 { return epochOf(p.incarnation) }

// renew asks the witnesses to vouch on. While the quorum is missing it asks
// more often.
func (p *Prober) renew(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.left {
		return out
	}
	every := RenewEvery
	if _, ok := p.VouchedUntil(now); !ok {
		every = RetryEvery
		p.queue.dropAccusations()
	}
	for _, id := range p.witnesses {
		m := p.members[id]
		if m == nil || m.probe.open || m.hasLeft {
			continue
		}
		if now < m.nextRenew && m.nextRenew.Sub(now) <= every+every/renewJitter {
			continue
		}
		m.nextRenew = now.Add(every + p.rng.upTo(every/renewJitter))
		out = p.send(now, m, true, out)
	}
	return out
}

// greet makes this daemon's epoch known to all daemons of its zone, so that
// those ranked below it stop.
func (p *Prober) greet(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.left {
		return out
	}
	greeted := 0
	for _, m := range p.all {
		if greeted == greetingsPerTick {
			break
		}
		if m.zone != p.cfg.Zone || m.ackEpoch == p.epoch() || m.gone != 0 && m.gone >= epochOf(m.incarnation) {
			continue
		}
		if m.probe.open || m.hasLeft || now < m.nextRenew {
			continue
		}
		m.nextRenew = now.Add(RenewEvery)
		out = p.send(now, m, p.isOwnWitness(m.id), out)
		greeted++
	}
	return out
}

func (p *Prober) isOwnWitness(id almondstep.DaemonID) bool {
	return slices.Contains(p.witnesses, id)
}

// acknowledged takes the answer to a probe: the peer knows the epoch the probe
// carried, and may vouch for it. The vouching counts from when it was asked for.
func (p *Prober) acknowledged(now almondstep.Instant, m *member, sent outstanding, d *almondstep.Digest) {
	if !sent.open || epochOf(sent.incarnation) != p.epoch() || d == nil {
		return
	}
	if m.ackEpoch != p.epoch() {
		m.ackEpoch = p.epoch()
		m.ackAt = now
	}
	if fleetRevision(d) >= p.listedAt && p.listed && sent.sentAt >= almondstep.Instant(wordLasts) {
		m.knowsMe = true
		p.admit(now)
	}
	m.votes = m.votes || d.LeaseConfirmed
	if sent.renews && d.LeaseConfirmed && fleetRevision(d) <= p.fleet {
		m.vouchEpoch = p.epoch()
		m.vouchUntil = max(m.vouchUntil, sent.sentAt.Add(almondstep.WitnessTTL))
	}
}

// admit makes this daemon a voter once a quorum of its witnesses, itself not
// counted, holds a list of VMs that names it. Otherwise a newcomer and the
// daemons that know it could outvote a majority that doesn't. The quorum must be
// voters already, or all others must have answered, so that what this daemon said
// before it was started again is known to one of them; a fleet that starts with
// some of its daemons missing waits bootPatience instead. Only answers asked for
// after wordLasts count: by then nobody goes by the word of an earlier start under
// the same id, and its last requests have ended.
func (p *Prober) admit(now almondstep.Instant) {
	if p.admitted || !p.listed || now < almondstep.Instant(wordLasts) {
		return
	}
	others, know, voters := 0, 0, 0
	for _, id := range p.witnesses {
		m := p.members[id]
		if m == nil {
			continue
		}
		others++
		if m.knowsMe {
			know++
		}
		if m.knowsMe && m.votes {
			voters++
		}
	}
	need := min(quorum(len(p.witnesses)), others)
	patient := now >= almondstep.Instant(bootPatience)
	if know == others || voters >= need || patient && know >= need {
		p.admitted = true
		p.admittedAt = now
	}
}

// VouchedUntil tells until when a quorum vouches for this daemon, and whether
// one does now.
func (p *Prober) VouchedUntil(now almondstep.Instant) (almondstep.Instant, bool) {
	if !p.listed || p.left {
		return 0, false
	}
	var votes []almondstep.Instant
	for _, id := range p.witnesses {
		if until := p.voteOf(id); until > now {
			votes = append(votes, until)
		}
	}
	if p.leaseCounts(now, len(p.witnesses)) {
		votes = append(votes, p.lease.until)
	}
	need := quorum(len(p.witnesses))
	if len(votes) < need {
		return 0, false
	}
	slices.Sort(votes)
	return votes[len(votes)-need], true
}

func (p *Prober) voteOf(id almondstep.DaemonID) almondstep.Instant {
	if id == p.cfg.Self {
		if p.admitted {
			return forever
		}
		return 0
	}
	m := p.members[id]
	if m == nil || m.vouchEpoch != p.epoch() {
		return 0
	}
	return m.vouchUntil
}

// reconsiderSelf begins a new epoch when so many witnesses have said Gone of
// the present one that it can't have a quorum again.
func (p *Prober) reconsiderSelf(now almondstep.Instant) {
	p.admit(now)
	if len(p.witnesses) == 0 {
		return
	}
	refused := 0
	for _, id := range p.witnesses {
		if m := p.members[id]; m != nil && m.refused >= p.epoch() {
			refused++
		}
	}
	if refused <= len(p.witnesses)-quorum(len(p.witnesses)) {
		return
	}
	p.newEpoch()
}
