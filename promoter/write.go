package promoter

import "almondstep"

// written processes the outcome of a write.
func (p *Promoter) written(now almondstep.Instant, e *almondstep.RolloutWritten, out []almondstep.Effect) []almondstep.Effect {
	p.writing = false
	if e.Err != "" || e.Conflict {
		p.writeAt = now.Add(writeRetry)
	}
	switch {
	case e.Conflict:
		return p.conflict(e, out)
	case e.Err != "":
		return out
	case e.Decision == nil:
		p.setLeader(almondstep.RolloutLeader{Daemon: p.cfg.Self, Revision: e.Revision})
		out = append(out, &almondstep.Report{Message: "this daemon leads the rollouts", Subject: string(p.cfg.Self), Version: e.Revision})
		return p.lead(now, out)
	}
	return p.decisionStored(now, e, out)
}

// decisionStored puts a decision into force that the registry has accepted.
func (p *Promoter) decisionStored(now almondstep.Instant, e *almondstep.RolloutWritten, out []almondstep.Effect) []almondstep.Effect {
	d := e.Decision
	if l := p.led[d.Service]; l != nil {
		l.completing = nil
	}
	out = append(out, &almondstep.RolloutDecided{Decision: *d, Revision: e.Revision})
	l, r := p.led[d.Service], p.rollouts()[d.Service]
	if l == nil || r == nil || l.orderRevision != d.OrderRevision {
		return out
	}
	l.revision = e.Revision
	if l.best == nil || l.best.Stage != d.Stage {
		l.stageAt = now
		l.evidence.restart(now)
	}
	if l.best == nil || !l.best.Supersedes(d) {
		l.best, l.stored = d, true
	}
	return append(out, l.report(stateMessage(d), r))
}

func stateMessage(d *almondstep.RolloutDecision) string {
	switch d.State {
	case almondstep.RolloutCompleted:
		return "rollout completed"
	case almondstep.RolloutRolledBack:
		return "rollout rolled back"
	}
	return "rollout in stage " + d.Stage.String()
}

// conflict takes over what the registry has: another leader, or other revisions.
func (p *Promoter) conflict(e *almondstep.RolloutWritten, out []almondstep.Effect) []almondstep.Effect {
	leader := almondstep.RolloutLeader{Revision: p.leader.Revision}
	var decision almondstep.RolloutChange
	for _, c := range e.Present {
		switch {
		case c.Subject == almondstep.RolloutLeaderChanged && c.Leader != nil:
			leader = *c.Leader
		case c.Subject == almondstep.RolloutDecisionMade:
			decision = c
		}
	}
	led := p.leads()
	if e.Decision != nil {
		if l := p.led[e.Decision.Service]; l != nil {
			l.revision, l.completing = decision.Revision, nil
			if d := decision.Decision; d != nil && d.OrderRevision == l.orderRevision && d.Supersedes(l.best) {
				// An earlier write took effect although its answer was lost.
				l.best, l.stored = d, true
				out = append(out, &almondstep.RolloutDecided{Decision: *d, Revision: decision.Revision})
			}
		}
	}
	if leader != p.leader {
		p.setLeader(leader)
	}
	if led && !p.leads() {
		out = append(out, &almondstep.Report{Message: "another daemon leads the rollouts", Subject: string(leader.Daemon), Version: leader.Revision})
	}
	return out
}
