package prober

import (
	"slices"
	"time"

	"almondstep"
)

// noExpiry is the end of a vote that doesn't expire: a daemon's vote for itself.
const noExpiry = almondstep.Instant(1<<63 - 1)

// announcementsPerTick bounds the probes per tick that announce a new epoch to the
// zone.
const announcementsPerTick = 2

// bootTimeout is how long a daemon waits for all its witnesses after its start, if
// too few of them are voters.
const bootTimeout = 30 * time.Second

// renewJitterDivisor divides a renewal interval into its maximum jitter. Without
// jitter, daemons that started together would all renew at the same time.
const renewJitterDivisor = 10

func (p *Prober) epoch() uint64 { return epochOf(p.incarnation) }

// renew renews the lease with the witnesses, more often while the quorum is missing.
func (p *Prober) renew(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.left {
		return out
	}
	every := RenewInterval
	if _, ok := p.LeaseValidUntil(now); !ok {
		every = RenewRetryInterval
		p.queue.dropSuspicions()
	}
	for _, id := range p.witnesses {
		m := p.members[id]
		if m == nil || m.probe.open || m.hasLeft {
			continue
		}
		if now < m.nextRenewal && m.nextRenewal.Sub(now) <= every+every/renewJitterDivisor {
			continue
		}
		m.nextRenewal = now.Add(every + p.rng.upTo(every/renewJitterDivisor))
		out = p.sendProbe(now, m, true, out)
	}
	return out
}

// announceEpoch makes this daemon's epoch known to all daemons of its zone, so that
// those ranked below it stop using its upstreams.
func (p *Prober) announceEpoch(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.left {
		return out
	}
	sent := 0
	for _, m := range p.all {
		if sent == announcementsPerTick {
			break
		}
		if m.zone != p.cfg.Zone || m.ackEpoch == p.epoch() || m.verdictEpoch != 0 && m.verdictEpoch >= epochOf(m.incarnation) {
			continue
		}
		if m.probe.open || m.hasLeft || now < m.nextRenewal {
			continue
		}
		m.nextRenewal = now.Add(RenewInterval)
		out = p.sendProbe(now, m, p.isOwnWitness(m.id), out)
		sent++
	}
	return out
}

func (p *Prober) isOwnWitness(id almondstep.DaemonID) bool {
	return slices.Contains(p.witnesses, id)
}

// probeAcknowledged processes the answer to a probe: the peer has recorded the epoch
// that the probe contained, and may have confirmed this daemon's lease. The lease
// counts from when the probe was sent.
func (p *Prober) probeAcknowledged(now almondstep.Instant, m *member, sent pendingProbe, d *almondstep.Digest) {
	if !sent.open || epochOf(sent.incarnation) != p.epoch() || d == nil {
		return
	}
	if m.ackEpoch != p.epoch() {
		m.ackEpoch = p.epoch()
		m.ackAt = now
	}
	if fleetRevision(d) >= p.listedRevision && p.listed && sent.sentAt >= almondstep.Instant(reportTTL) {
		m.listsSelf = true
		p.admit(now)
	}
	m.isVoter = m.isVoter || d.LeaseConfirmed
	if sent.renews && d.LeaseConfirmed && fleetRevision(d) <= p.fleetRevision {
		m.confirmedEpoch = p.epoch()
		m.confirmedUntil = max(m.confirmedUntil, sent.sentAt.Add(almondstep.WitnessTTL))
	}
}

// admit makes this daemon a voter once a quorum of its witnesses, itself not
// counted, has a list of VMs that contains it. Otherwise a new daemon and those whose
// lists contain it could outvote a majority with the old list. The quorum must consist
// of voters, or all others must have answered, so that one of them has received what
// this daemon reported before it was restarted; a fleet that starts with some of its
// daemons missing waits for bootTimeout instead. Only answers requested at least
// reportTTL after the start count: by then no report of an earlier process with the
// same id is valid any more, and the last requests of that process have ended.
func (p *Prober) admit(now almondstep.Instant) {
	if p.admitted || !p.listed || now < almondstep.Instant(reportTTL) {
		return
	}
	others, listing, voters := 0, 0, 0
	for _, id := range p.witnesses {
		m := p.members[id]
		if m == nil {
			continue
		}
		others++
		if m.listsSelf {
			listing++
		}
		if m.listsSelf && m.isVoter {
			voters++
		}
	}
	need := min(quorum(len(p.witnesses)), others)
	timedOut := now >= almondstep.Instant(bootTimeout)
	if listing == others || voters >= need || timedOut && listing >= need {
		p.admitted = true
		p.admittedAt = now
	}
}

// LeaseValidUntil returns until when a quorum confirms this daemon's lease, and
// whether one does now.
func (p *Prober) LeaseValidUntil(now almondstep.Instant) (almondstep.Instant, bool) {
	if !p.listed || p.left {
		return 0, false
	}
	var votes []almondstep.Instant
	for _, id := range p.witnesses {
		if until := p.voteUntil(id); until > now {
			votes = append(votes, until)
		}
	}
	if p.zoneLeaseCounts(now, len(p.witnesses)) {
		votes = append(votes, p.zoneLease.until)
	}
	need := quorum(len(p.witnesses))
	if len(votes) < need {
		return 0, false
	}
	slices.Sort(votes)
	return votes[len(votes)-need], true
}

// voteUntil returns until when a witness confirms the lease of the present epoch; 0 if
// it doesn't.
func (p *Prober) voteUntil(id almondstep.DaemonID) almondstep.Instant {
	if id == p.cfg.Self {
		if p.admitted {
			return noExpiry
		}
		return 0
	}
	m := p.members[id]
	if m == nil || m.confirmedEpoch != p.epoch() {
		return 0
	}
	return m.confirmedUntil
}

// checkOwnEpoch begins a new epoch when so many witnesses have reported the lease of
// the present one expired that it can't have a quorum again. It calls admit first,
// since bootTimeout may have passed.
func (p *Prober) checkOwnEpoch(now almondstep.Instant) {
	p.admit(now)
	if len(p.witnesses) == 0 {
		return
	}
	refused := 0
	for _, id := range p.witnesses {
		if m := p.members[id]; m != nil && m.refusedEpoch >= p.epoch() {
			refused++
		}
	}
	if refused <= len(p.witnesses)-quorum(len(p.witnesses)) {
		return
	}
	p.startEpoch()
}
