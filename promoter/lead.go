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
	// cached is the revision of the decision's entry in the registry cache when it was last compared.
	cached uint64
	// completing is the completion that is being written. It may take effect although no answer
	// says so, and the old upstreams stop then: no rollback is decided until the outcome is known.
	completing *almondstep.RolloutDecision
	// unjudged is set if a report has arrived since the last judgement.
	unjudged bool
	// hadOld is set once an upstream of another version was listed.
	hadOld bool
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
			l.stored = !r.Unstored
			l.stageAt = r.DecidedAt
			if l.best.OrderRevision != r.OrderRevision {
				// The condition of a write names the order's present revision.
				renewed := *l.best
				renewed.OrderRevision = r.OrderRevision
				l.best = &renewed
			}
		}
	}
	p.compare(l, r)
	return l
}

// compare detects a decision in the registry that the leader hasn't written: the registry was
// restored from a copy. The leader's own is then written again. The registry cache may hide what
// the registry has, since it keeps the decision that is further.
func (p *Promoter) compare(l *ledRollout, r *almondstep.Rollout) {
	changed := r.DecisionRevision != l.cached
	l.cached = r.DecisionRevision
	if changed && r.DecisionRevision > l.revision {
		l.revision = r.DecisionRevision
		l.stored = l.best == nil
	}
	if r.Decision != nil && l.best != nil && r.Decision.Supersedes(l.best) && r.Current() == r.Decision {
		l.best, l.stored, l.stageAt = r.Decision, true, r.DecidedAt
	}
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
	isNew := func(u *almondstep.Upstream) bool { return u.Version == r.Version() }
	l.hadOld = l.hadOld || p.lists(r, func(u *almondstep.Upstream) bool { return !isNew(u) })
	switch {
	case !p.lists(r, isNew) || l.unreachable():
		return false
	case !l.hadOld:
		// There is nothing to move requests from, nor to go back to.
		d.State, d.Stage, d.Share = almondstep.RolloutCompleted, almondstep.StageAll, 1
		return inStage >= p.cfg.Update
	}
	switch l.best.Stage {
	case almondstep.StageCanary:
		d.Stage, d.Share = almondstep.StageRamp, rampShare
		requests, exposed := l.evidence.exposure()
		third := plan.ThirdStage(age, requests, exposed, p.cfg.Share, p.cfg.Slack)
		return age >= plan.DoneAt-third-rampTime
	case almondstep.StageRamp:
		d.Stage, d.Share = almondstep.StageAll, 1
		return inStage >= rampTime || age >= plan.AllAt && inStage >= min(rampTime, plan.AllAt)/2
	case almondstep.StageAll:
		d.State = almondstep.RolloutCompleted
		ready := age >= plan.DoneAt+lastDelay || !l.evidence.oldOpen(now)
		return age >= plan.DoneAt && inStage >= plan.Settle && ready
	}
	return false
}

// lists reports whether such an upstream of the service is listed.
func (p *Promoter) lists(r *almondstep.Rollout, is func(*almondstep.Upstream) bool) bool {
	return slices.ContainsFunc(p.view.Directory().Upstreams(r.Service), is)
}

// unreachable reports whether the new version has answered nothing, although so many requests have
// come that some of its share must have been sent: its upstreams refuse connections.
func (l *ledRollout) unreachable() bool {
	const expected = 10
	requests, _ := l.evidence.exposure()
	if float64(requests)*l.best.Share < expected {
		return false
	}
	return !l.evidence.freshAnswered()
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

// report returns the log line of a decision.
func (l *ledRollout) report(message string, r *almondstep.Rollout) *almondstep.Report {
	requests, exposed := l.evidence.exposure()
	cause := fmt.Sprintf("version %s, %d of %d requests", r.Version(), exposed, requests)
	if l.reason != "" {
		cause += "; " + l.reason
	}
	return &almondstep.Report{Message: message, Subject: string(r.Service), Cause: cause, Version: r.OrderRevision}
}
