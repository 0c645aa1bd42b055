package prober

import "almondstep"

// indirectProbes is how many other daemons probe a member before it becomes suspect.
const indirectProbes = 2

// unreachableAfter is the number of consecutive direct probes that must fail before
// this daemon sends no more work to a daemon that others can reach.
const unreachableAfter = 2

// proxiedProbe is a probe that this daemon sends on behalf of a peer. Its outcome
// answers the peer's call.
type proxiedProbe struct {
	call   almondstep.CallID
	target almondstep.DaemonID
}

// probeNext sends one random probe per ProbeInterval, and one per DeadProbeInterval
// to a daemon that is considered dead or unreachable. Members are probed in rounds,
// each in a random order, which bounds the time until a daemon is probed.
func (p *Prober) probeNext(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.nextProbe == 0 {
		p.nextProbe = now.Add(p.rng.upTo(ProbeInterval))
		p.nextDeadProbe = now.Add(DeadProbeInterval)
	}
	if now >= p.nextDeadProbe {
		p.nextDeadProbe = now.Add(DeadProbeInterval)
		for _, m := range p.pick(1, func(m *member) bool { return m.state == almondstep.MemberDead || m.unreachable }) {
			out = p.sendProbe(now, m, false, out)
		}
	}
	if now < p.nextProbe {
		return out
	}
	p.nextProbe = now.Add(ProbeInterval)
	if m := p.nextInRound(); m != nil {
		out = p.sendProbe(now, m, false, out)
	}
	return out
}

// nextInRound returns the next member of the round that is to be probed, and begins a
// new round after the last; nil if there is none.
func (p *Prober) nextInRound() *member {
	for tries := 0; tries < 2; tries++ {
		for len(p.round) > 0 {
			m := p.round[0]
			p.round = p.round[1:]
			if p.members[m.id] == m && m.state <= almondstep.MemberSuspect && !m.probe.open {
				return m
			}
		}
		p.round = append(p.round[:0:0], p.all...)
		shuffle(&p.rng, p.round)
	}
	return nil
}

// sendProbe probes a member, unless an earlier probe is still open.
func (p *Prober) sendProbe(now almondstep.Instant, m *member, renews bool, out []almondstep.Effect) []almondstep.Effect {
	if m.probe.open {
		return out
	}
	m.probe = pendingProbe{open: true, sentAt: now, incarnation: p.incarnation, renews: renews}
	d := p.digest(now, m)
	d.RenewLease = renews
	return append(out, &almondstep.SendProbe{To: m.id, Addr: m.addr, Digest: d, Timeout: ProbeTimeout})
}

// ProbeSentAt returns when the direct probe was sent whose outcome is e; negative if
// unknown or e is the outcome of an indirect probe.
func (p *Prober) ProbeSentAt(e *almondstep.ProbeEnded) almondstep.Instant {
	m := p.members[e.To]
	if m == nil || !m.probe.open || e.Target != "" {
		return unknownSendTime
	}
	return m.probe.sentAt
}

// CallObserved processes the outcome of a traffic call to a daemon. A failed call
// doesn't change the daemon's state, but triggers a probe at once. A successful one
// ends a suspicion here.
func (p *Prober) CallObserved(now almondstep.Instant, e *almondstep.PeerObserved, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Daemon]
	if m == nil || m.hasLeft {
		return out
	}
	if !e.OK {
		return p.sendProbe(now, m, false, out)
	}
	if m.state == almondstep.MemberSuspect {
		p.setState(now, m, almondstep.MemberAlive)
	}
	return out
}

// ProbeArrived applies the digest of a peer's probe. AnswerProbe answers the probe and
// must be called only after the resulting view is published, since the peer relies on
// it.
func (p *Prober) ProbeArrived(now almondstep.Instant, e *almondstep.ProbeArrived) {
	p.applyDigest(now, unknownSendTime, &e.Digest)
}

// AnswerProbe answers a peer's probe. If the probe has a target, it is probed first.
func (p *Prober) AnswerProbe(now almondstep.Instant, e *almondstep.ProbeArrived, out []almondstep.Effect) []almondstep.Effect {
	if e.Target != "" {
		return p.probeForPeer(now, e, out)
	}
	m := p.members[e.Digest.From]
	d := p.digest(now, m)
	if p.cfg.Zones != nil {
		d.Zones = p.cfg.Zones(now)
	}
	if e.Digest.RenewLease && m != nil {
		d.LeaseConfirmed = p.confirmLease(now, m, &e.Digest)
		d.ExpiredLeases = p.expiredLeases(m)
	}
	return append(out, &almondstep.ReplyProbe{Call: e.Call, OK: true, Digest: d})
}

// probeForPeer probes the target on behalf of a peer that can't reach it.
func (p *Prober) probeForPeer(now almondstep.Instant, e *almondstep.ProbeArrived, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Target]
	if m == nil {
		return append(out, &almondstep.ReplyProbe{Call: e.Call, Digest: p.digest(now, nil)})
	}
	p.proxied = append(p.proxied, proxiedProbe{call: e.Call, target: e.Target})
	return p.sendProbe(now, m, false, out)
}

// ProbeEnded processes the outcome of a probe that this daemon sent.
func (p *Prober) ProbeEnded(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	if e.Digest != nil {
		p.applyDigest(now, p.ProbeSentAt(e), e.Digest)
	}
	if e.Target != "" {
		return p.indirectEnded(now, e, out)
	}
	m := p.members[e.To]
	if m == nil {
		return out
	}
	sent := m.probe
	m.probe = pendingProbe{}
	out = p.answerProxied(now, e, out)
	if !e.OK {
		p.retryRenewal(now, m, sent)
		return p.probeIndirectly(now, m, out)
	}
	m.indirect.failed = 0
	p.setUnreachable(m, false)
	p.probeAcknowledged(now, m, sent, e.Digest)
	return out
}

// retryRenewal schedules a failed renewal for the next tick: the lease is valid long
// enough for two more attempts.
func (p *Prober) retryRenewal(now almondstep.Instant, m *member, sent pendingProbe) {
	if sent.renews && m.state == almondstep.MemberAlive {
		m.nextRenewal = min(m.nextRenewal, now.Add(almondstep.TickInterval))
	}
}

// answerProxied answers the peers that requested a probe of the daemon e is about.
func (p *Prober) answerProxied(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	kept := p.proxied[:0]
	for _, r := range p.proxied {
		if r.target != e.To {
			kept = append(kept, r)
			continue
		}
		out = append(out, &almondstep.ReplyProbe{Call: r.call, OK: e.OK, Digest: p.digest(now, nil)})
	}
	p.proxied = kept
	return out
}

// probeIndirectly requests other daemons to probe a member that didn't answer. If there
// is none to request, the member becomes suspect.
func (p *Prober) probeIndirectly(now almondstep.Instant, m *member, out []almondstep.Effect) []almondstep.Effect {
	m.indirect.failed++
	if m.state != almondstep.MemberAlive || m.unreachable || now < m.indirect.next {
		return out
	}
	proxies := p.pick(indirectProbes, func(o *member) bool {
		return o != m && o.state == almondstep.MemberAlive && !o.unreachable
	})
	m.indirect.open = len(proxies)
	m.indirect.next = now.Add(IndirectTimeout)
	if len(proxies) == 0 {
		p.suspect(now, m)
	}
	for _, r := range proxies {
		d := p.digest(now, r)
		out = append(out, &almondstep.SendProbe{To: r.id, Addr: r.addr, Target: m.id, Digest: d, Timeout: IndirectTimeout})
	}
	return out
}

// indirectEnded processes the outcome of an indirect probe. If it succeeded, the member
// is probed directly again, or is unreachable if unreachableAfter direct probes in a row
// have failed. If all indirect probes have failed, the member becomes suspect.
func (p *Prober) indirectEnded(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Target]
	if m == nil || m.indirect.open == 0 {
		return out
	}
	m.indirect.open--
	if e.OK {
		m.indirect.open = 0
		if m.indirect.failed >= unreachableAfter {
			p.setUnreachable(m, true)
			return out
		}
		return p.sendProbe(now, m, p.isOwnWitness(m.id), out)
	}
	if m.indirect.open == 0 && m.state == almondstep.MemberAlive {
		p.suspect(now, m)
	}
	return out
}

// setUnreachable records whether a live daemon can't be reached from here. No
// rumor is spread, since others may reach it.
func (p *Prober) setUnreachable(m *member, unreachable bool) {
	if m.unreachable != unreachable {
		m.unreachable = unreachable
		p.routingChanged = true
	}
}

func (p *Prober) suspect(now almondstep.Instant, m *member) {
	if p.setState(now, m, almondstep.MemberSuspect) {
		p.spreadSuspicion(now, m)
	}
}
