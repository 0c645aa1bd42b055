package watcher

import (
	"maps"
	"slices"

	"almondstep"
)

// rolloutEntries holds the entries about rollouts.
type rolloutEntries struct {
	services map[almondstep.ServiceName]almondstep.Rollout
	leader   almondstep.RolloutLeader
}

func newRolloutEntries() rolloutEntries {
	return rolloutEntries{services: make(map[almondstep.ServiceName]almondstep.Rollout)}
}

// publish returns copies of the rollouts, for a directory.
func (l *rolloutEntries) publish() map[almondstep.ServiceName]*almondstep.Rollout {
	if len(l.services) == 0 {
		return nil
	}
	all := make(map[almondstep.ServiceName]*almondstep.Rollout, len(l.services))
	for service, r := range l.services {
		if r.Order != nil || r.Decision != nil {
			all[service] = &r
		}
	}
	return all
}

// applyRollouts applies changes of the entries about rollouts, logs those of orders, and
// reports whether there were any.
func (w *Watcher) applyRollouts(now almondstep.Instant, e *almondstep.RegistryRead, changes []almondstep.RolloutChange, out []almondstep.Effect) (bool, []almondstep.Effect) {
	l := &w.rollouts
	if e.Full {
		changes = l.withUnlisted(changes, e.Changes)
	}
	changed := false
	for _, c := range changes {
		if !l.apply(now, c) {
			continue
		}
		changed = true
		if c.Subject != almondstep.RolloutOrdered {
			continue
		}
		message, cause := "rollout withdrawn", ""
		if c.Order != nil {
			message, cause = "rollout ordered", "version "+string(c.Order.Version)+" within "+c.Order.CompleteBy.String()
		}
		out = append(out, w.report(message, string(c.Service), cause, c.Revision))
	}
	return changed, out
}

// withUnlisted adds the removals that a full read implies. changes may lack what the read lists as
// part of the copy from which the registry was restored.
func (l *rolloutEntries) withUnlisted(changes []almondstep.RolloutChange, read *almondstep.RegistryChanges) []almondstep.RolloutChange {
	type entry struct {
		subject almondstep.RolloutKind
		service almondstep.ServiceName
	}
	revision := read.Revision
	listed := make(map[entry]bool, len(read.Rollouts))
	for _, c := range read.Rollouts {
		listed[entry{c.Subject, c.Service}] = true
	}
	all := append([]almondstep.RolloutChange(nil), changes...)
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		r := l.services[service]
		for subject, held := range map[almondstep.RolloutKind]uint64{almondstep.RolloutOrdered: r.OrderRevision, almondstep.RolloutDecisionMade: r.DecisionRevision} {
			// An entry of an earlier era was lost when the registry was restored.
			if !listed[entry{subject, service}] && almondstep.EraOf(held) == almondstep.EraOf(revision) {
				all = append(all, almondstep.RolloutChange{Subject: subject, Service: service, Revision: revision})
			}
		}
	}
	if !listed[entry{almondstep.RolloutLeaderChanged, ""}] {
		all = append(all, almondstep.RolloutChange{Subject: almondstep.RolloutLeaderChanged, Revision: revision})
	}
	return all
}

// apply applies a change unless it is older than the cached entry or equal to it, and reports
// whether it was applied.
func (l *rolloutEntries) apply(now almondstep.Instant, c almondstep.RolloutChange) bool {
	if c.Subject == almondstep.RolloutLeaderChanged {
		return l.applyLeader(c)
	}
	r := l.services[c.Service]
	switch {
	case c.Subject == almondstep.RolloutOrdered:
		if c.Revision <= r.OrderRevision || c.Order == nil && r.Order == nil {
			return false
		}
		r.Order, r.OrderRevision, r.SeenAt = c.Order, c.Revision, now
	case c.Revision <= r.DecisionRevision || c.Decision == nil && r.Decision == nil:
		return false
	case c.Decision != nil && !c.Decision.Final() && r.Decision != nil && r.Decision.Supersedes(c.Decision):
		// A decision that the leader sent is ahead of the registry.
		r.DecisionRevision = c.Revision
	default:
		r.Decision, r.DecisionRevision, r.DecidedAt = c.Decision, c.Revision, now
	}
	r.Service = c.Service
	l.services[c.Service] = r
	return true
}

func (l *rolloutEntries) applyLeader(c almondstep.RolloutChange) bool {
	if c.Revision <= l.leader.Revision || c.Leader == nil && l.leader.Daemon == "" {
		return false
	}
	l.leader = almondstep.RolloutLeader{Revision: c.Revision}
	if c.Leader != nil {
		l.leader = *c.Leader
	}
	return true
}

// decided applies a decision of the leader that is ahead of the registry's entry, and reports
// whether it was applied.
func (l *rolloutEntries) decided(now almondstep.Instant, e *almondstep.RolloutDecided) bool {
	d := e.Decision
	r, known := l.services[d.Service]
	if !known || !d.Supersedes(r.Decision) {
		return false
	}
	r.Decision, r.DecidedAt = &d, now
	r.DecisionRevision = max(r.DecisionRevision, e.Revision)
	l.services[d.Service] = r
	return true
}
