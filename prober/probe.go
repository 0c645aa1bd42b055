package prober

import "almondstep"

// indirectProbes is how many others are asked before a daemon is a suspect.
const indirectProbes = 2

// cutOffAfter is how many direct probes in a row must fail before a daemon that
// others can reach gets no work from here.
const cutOffAfter = 2

// relayedProbe is an indirect probe this daemon makes for another.
type relayedProbe struct {
	call   almondstep.CallID
	target almondstep.DaemonID
}

// probeNext sends the random probe of this second, and now and then one to a
// daemon thought dead. Members are taken in rounds, each in a random order, so
// that the time until a daemon is probed is bounded.
func (p *Prober) probeNext(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if p.nextProbe == 0 {
		p.nextProbe = now.Add(p.rng.upTo(ProbeEvery))
		p.nextDead = now.Add(DeadProbeEvery)
	}
	if now >= p.nextDead {
		p.nextDead = now.Add(DeadProbeEvery)
		for _, m := range p.pick(1, func(m *member) bool { return m.state == almondstep.MemberDead || m.cutOff }) {
			out = p.send(now, m, false, out)
		}
	}
	if now < p.nextProbe {
		return out
	}
	p.nextProbe = now.Add(ProbeEvery)
	if m := p.nextInRound(); m != nil {
		out = p.send(now, m, false, out)
	}
	return out
}

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

// send probes a member, unless an earlier probe is still open.
func (p *Prober) send(now almondstep.Instant, m *member, renews bool, out []almondstep.Effect) []almondstep.Effect {
	if m.probe.open {
		return out
	}
	m.probe = outstanding{open: true, sentAt: now, incarnation: p.incarnation, renews: renews}
	d := p.digest(now, m)
	d.RenewLease = renews
	return append(out, &almondstep.SendProbe{To: m.id, Addr: m.addr, Digest: d, Timeout: ProbeTimeout})
}

// AskedAt is when the answer to a probe was asked for; negative if it isn't known.
func (p *Prober) AskedAt(e *almondstep.ProbeEnded) almondstep.Instant {
	m := p.members[e.To]
	if m == nil || !m.probe.open || e.Target != "" {
		return notAsked
	}
	return m.probe.sentAt
}

// Heard takes evidence from traffic. A failed call is no verdict: it brings the
// next probe forward.
func (p *Prober) Heard(now almondstep.Instant, e *almondstep.PeerObserved, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Daemon]
	if m == nil || m.hasLeft {
		return out
	}
	if !e.OK {
		return p.send(now, m, false, out)
	}
	if m.state == almondstep.MemberSuspect {
		p.turn(now, m, almondstep.MemberAlive)
	}
	return out
}

// Arrived takes what a peer's probe says. Answer answers it, once the view that
// follows from it is in force: the peer counts on it.
func (p *Prober) Arrived(now almondstep.Instant, e *almondstep.ProbeArrived) {
	p.absorb(now, notAsked, &e.Digest)
}

// Answer answers a peer's probe.
func (p *Prober) Answer(now almondstep.Instant, e *almondstep.ProbeArrived, out []almondstep.Effect) []almondstep.Effect {
	if e.Target != "" {
		return p.relay(now, e, out)
	}
	m := p.members[e.Digest.From]
	d := p.digest(now, m)
	if p.cfg.Zones != nil {
		d.Zones = p.cfg.Zones(now)
	}
	if e.Digest.RenewLease && m != nil {
		d.LeaseConfirmed = p.vouch(now, m, &e.Digest)
		d.ExpiredLeases = p.goneList(m)
	}
	return append(out, &almondstep.ReplyProbe{Call: e.Call, OK: true, Digest: d})
}

// relay probes the target for a peer that can't reach it itself.
func (p *Prober) relay(now almondstep.Instant, e *almondstep.ProbeArrived, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Target]
	if m == nil {
		return append(out, &almondstep.ReplyProbe{Call: e.Call, Digest: p.digest(now, nil)})
	}
	p.relayed = append(p.relayed, relayedProbe{call: e.Call, target: e.Target})
	return p.send(now, m, false, out)
}

// Ended takes the outcome of a probe this daemon sent.
func (p *Prober) Ended(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	if e.Digest != nil {
		p.absorb(now, p.AskedAt(e), e.Digest)
	}
	if e.Target != "" {
		return p.endedIndirect(now, e, out)
	}
	m := p.members[e.To]
	if m == nil {
		return out
	}
	sent := m.probe
	m.probe = outstanding{}
	out = p.answerRelayed(now, e, out)
	if !e.OK {
		p.retryRenewal(now, m, sent)
		return p.doubt(now, m, out)
	}
	m.ask.failed = 0
	p.setCutOff(m, false)
	p.acknowledged(now, m, sent, e.Digest)
	return out
}

// retryRenewal asks a witness again soon: its vouching outlasts two more tries.
func (p *Prober) retryRenewal(now almondstep.Instant, m *member, sent outstanding) {
	if sent.renews && m.state == almondstep.MemberAlive {
		m.nextRenew = min(m.nextRenew, now.Add(almondstep.TickInterval))
	}
}

func (p *Prober) answerRelayed(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	kept := p.relayed[:0]
	for _, r := range p.relayed {
		if r.target != e.To {
			kept = append(kept, r)
			continue
		}
		out = append(out, &almondstep.ReplyProbe{Call: r.call, OK: e.OK, Digest: p.digest(now, nil)})
	}
	p.relayed = kept
	return out
}

// doubt asks others to probe a member that didn't answer.
func (p *Prober) doubt(now almondstep.Instant, m *member, out []almondstep.Effect) []almondstep.Effect {
	m.ask.failed++
	if m.state != almondstep.MemberAlive || m.cutOff || now < m.ask.next {
		return out
	}
	helpers := p.pick(indirectProbes, func(o *member) bool {
		return o != m && o.state == almondstep.MemberAlive && !o.cutOff
	})
	m.ask.open = len(helpers)
	m.ask.next = now.Add(IndirectTimeout)
	if len(helpers) == 0 {
		p.suspect(now, m)
	}
	for _, h := range helpers {
		d := p.digest(now, h)
		out = append(out, &almondstep.SendProbe{To: h.id, Addr: h.addr, Target: m.id, Digest: d, Timeout: IndirectTimeout})
	}
	return out
}

func (p *Prober) endedIndirect(now almondstep.Instant, e *almondstep.ProbeEnded, out []almondstep.Effect) []almondstep.Effect {
	m := p.members[e.Target]
	if m == nil || m.ask.open == 0 {
		return out
	}
	m.ask.open--
	if e.OK {
		m.ask.open = 0
		if m.ask.failed >= cutOffAfter {
			p.setCutOff(m, true)
			return out
		}
		return p.send(now, m, p.isOwnWitness(m.id), out)
	}
	if m.ask.open == 0 && m.state == almondstep.MemberAlive {
		p.suspect(now, m)
	}
	return out
}

// setCutOff notes that a daemon lives but can't be reached from here. That is no
// rumor, since others may reach it.
func (p *Prober) setCutOff(m *member, c bool) {
	if m.cutOff != c {
		m.cutOff = c
		p.changed = true
	}
}

func (p *Prober) suspect(now almondstep.Instant, m *member) {
	if p.turn(now, m, almondstep.MemberSuspect) {
		p.accuse(now, m)
	}
}
