package promoter

import (
	"fmt"
	"slices"
	"time"

	"almondstep"
)

const (
	// writeRetry is the delay before a write that failed is tried again.
	writeRetry = 300 * time.Millisecond
	// lastDelay is how long after the time in its plan a rollout is completed at the latest, although a
	// daemon still reports open calls to old upstreams or its doubts.
	lastDelay = 2 * time.Second
	// maxAvoided bounds the versions of earlier rollouts that are kept.
	maxAvoided = 8
)

// ledRollout is the leader's state of one rollout.
type ledRollout struct {
	orderRevision uint64
	evidence      evidence
	// best is the decision in force; nil if there is none yet. stored is set once the registry
	// has it.
	best   *almondstep.RolloutDecision
	stored bool
	// stageAt is when the present stage began.
	stageAt almondstep.Instant
	// revision is that of the decision's entry, as far as the leader knows.
	revision uint64
	// completing is the completion that is being written. It may take effect although no answer
	// says so, and the old upstreams stop then: no rollback is decided until the outcome is known.
	completing *almondstep.RolloutDecision
	// unjudged is set if a report has arrived since the last judgement.
	unjudged bool
	// reason is why the version is bad; empty if it isn't known to be.
	reason string
}

// ledRollout returns the state of a service's rollout; nil if this daemon doesn't lead it.
func (p *Promoter) ledRollout(now almondstep.Instant, service almondstep.ServiceName) *ledRollout {
	r := p.rollouts()[service]
	if r == nil || r.Order == nil || !p.leads() {
		return nil
	}
	l, ok := p.led[service]
	if !ok || l.orderRevision != r.OrderRevision {
		l = &ledRollout{orderRevision: r.OrderRevision, revision: r.DecisionRevision, stageAt: now}
		l.evidence.markAt = now
		p.led[service] = l
		if l.best = r.Current(); l.best != nil {
			l.stored = true
			l.stageAt = r.DecidedAt
		}
	}
	p.compare(l, r)
	return l
}

// compare detects a registry that has another decision than the leader's own: it was restored
// from a copy. The decision is then written again.
func (p *Promoter) compare(l *ledRollout, r *almondstep.Rollout) {
	if r.DecisionRevision > l.revision {
		l.revision = r.DecisionRevision
		l.stored = r.Decision != nil && l.best != nil && *equalTo(r.Decision) == *equalTo(l.best)
	}
	if r.Decision != nil && l.best != nil && r.Decision.Supersedes(l.best) && r.Current() == r.Decision {
		l.best, l.stored, l.stageAt = r.Decision, true, r.DecidedAt
	}
}

// decisionKey is what distinguishes two decisions.
type decisionKey struct {
	version almondstep.UpstreamVersion
	order   uint64
	state   almondstep.RolloutState
	stage   almondstep.RolloutStage
}

func equalTo(d *almondstep.RolloutDecision) *decisionKey {
	return &decisionKey{d.Version, d.OrderRevision, d.State, d.Stage}
}

// lead judges the rollouts and writes what is decided.
func (p *Promoter) lead(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if !p.leads() {
		return out
	}
	for _, service := range p.services() {
		l := p.ledRollout(now, service)
		if l == nil {
			continue
		}
		r := p.rollouts()[service]
		next := p.next(now, r, l)
		if next != nil && next.State == almondstep.RolloutRolledBack && l.best != next {
			// A rollback takes effect before the registry has it: it is safe in any case.
			l.best, l.stored = next, false
			out = append(out, &almondstep.RolloutDecided{Decision: *next}, l.report("new version is bad; rolling back", r))
		}
		if next == nil && !l.stored {
			next = l.best
		}
		if next == nil || p.writing || now < p.writeAt {
			continue
		}
		p.writing = true
		if next.State == almondstep.RolloutCompleted {
			l.completing = next
		}
		out = append(out, &almondstep.WriteRollout{LeaderRevision: p.leader.Revision, Decision: next, DecisionRevision: l.revision})
	}
	return out
}

// next returns the decision that follows the present one; nil if that stays.
func (p *Promoter) next(now almondstep.Instant, r *almondstep.Rollout, l *ledRollout) *almondstep.RolloutDecision {
	plan := NewPlan(r.Order.CompleteBy, p.cfg.Share, p.cfg.Update)
	d := almondstep.RolloutDecision{
		Service: r.Service, Version: r.Order.Version, OrderRevision: r.OrderRevision,
		Stage: almondstep.StageCanary, Share: plan.Canary, Age: now.Sub(r.StartedAt()), Avoid: avoided(r),
	}
	if l.best == nil {
		return &d
	}
	if l.best.Final() || l.completing != nil {
		return l.completing
	}
	d.Stage, d.Share = l.best.Stage, l.best.Share
	if l.unjudged {
		l.unjudged, l.reason = false, l.evidence.judge(now)
	}
	if l.reason != "" {
		d.State, d.Share = almondstep.RolloutRolledBack, 0
		return &d
	}
	if !p.advance(now, r, l, plan, &d) {
		return nil
	}
	return &d
}

// advance sets the next stage or state of a rollout without a sign of a fault, and reports
// whether it is due.
func (p *Promoter) advance(now almondstep.Instant, r *almondstep.Rollout, l *ledRollout, plan Plan, d *almondstep.RolloutDecision) bool {
	age, inStage := now.Sub(r.StartedAt()), now.Sub(l.stageAt)
	switch l.best.Stage {
	case almondstep.StageCanary:
		d.Stage, d.Share = almondstep.StageRamp, rampShare
		requests, exposed := l.evidence.exposure()
		third := plan.ThirdStage(age, requests, exposed, p.cfg.Share, p.cfg.Slack)
		return age >= plan.DoneAt-third-rampTime && p.listed(r)
	case almondstep.StageRamp:
		d.Stage, d.Share = almondstep.StageAll, 1
		due := inStage >= rampTime || age >= plan.AllAt && inStage >= min(rampTime, plan.AllAt)/2
		return due && p.listed(r)
	case almondstep.StageAll:
		d.State = almondstep.RolloutCompleted
		ready := age >= plan.DoneAt+lastDelay || !l.evidence.oldOpen(now)
		return p.listed(r) && age >= plan.DoneAt && inStage >= plan.Settle && ready
	}
	return false
}

// listed reports whether an upstream of the new version is listed.
func (p *Promoter) listed(r *almondstep.Rollout) bool {
	for _, u := range p.view.Directory().Upstreams(r.Service) {
		if u.Version == r.Version() {
			return true
		}
	}
	return false
}

// avoided returns the versions that get no requests beside those of the rollout: the targets of
// earlier rollouts that weren't completed.
func avoided(r *almondstep.Rollout) []almondstep.UpstreamVersion {
	d := r.Decision
	if d == nil {
		return nil
	}
	all := slices.Clone(d.Avoid)
	if d.State != almondstep.RolloutCompleted {
		all = append(all, d.Version)
	}
	all = slices.DeleteFunc(all, func(v almondstep.UpstreamVersion) bool { return v == r.Order.Version })
	return all[max(0, len(all)-maxAvoided):]
}

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
	if l.best == nil || d.Supersedes(l.best) || *equalTo(d) == *equalTo(l.best) {
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

// report returns the log line of a decision.
func (l *ledRollout) report(message string, r *almondstep.Rollout) *almondstep.Report {
	requests, exposed := l.evidence.exposure()
	cause := fmt.Sprintf("version %s, %d of %d requests", r.Version(), exposed, requests)
	if l.reason != "" {
		cause += "; " + l.reason
	}
	return &almondstep.Report{Message: message, Subject: string(r.Service), Cause: cause, Version: r.OrderRevision}
}
