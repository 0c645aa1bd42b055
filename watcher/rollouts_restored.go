package watcher

import "almondstep"

// confirm gives the cached orders that the registry lists as part of the copy from which it was
// restored the revisions of the new era. The leader's conditions name these.
func (l *rolloutEntries) confirm(copied func(revision uint64) bool, changes []almondstep.RolloutChange) {
	for _, c := range changes {
		r, known := l.services[c.Service]
		if known && c.Subject == almondstep.RolloutOrdered && c.Order != nil && copied(c.Revision) {
			r.OrderRevision = max(r.OrderRevision, c.Revision)
			l.services[c.Service] = r
		}
	}
}

// forgetRevisions sets the revisions of the decisions that the registry doesn't list after a
// restore to 0: they stay in force, and the leader writes them again.
func (l *rolloutEntries) forgetRevisions(c *almondstep.RegistryChanges) {
	listed := make(map[almondstep.ServiceName]bool)
	for _, r := range c.Rollouts {
		if r.Subject == almondstep.RolloutDecisionMade && r.Decision != nil {
			listed[r.Service] = true
		}
	}
	for service, r := range l.services {
		if !listed[service] && almondstep.EraOf(r.DecisionRevision) < almondstep.EraOf(c.Revision) {
			r.DecisionRevision, r.Unstored = 0, r.Decision != nil
			l.services[service] = r
		}
	}
}

// dropLost drops the orders of earlier eras than that of begin: operators haven't written them
// again. It reports whether there were any.
func (l *rolloutEntries) dropLost(begin uint64) bool {
	changed := false
	for service, r := range l.services {
		if r.Order != nil && r.OrderRevision < begin {
			r.Order, r.OrderRevision = nil, begin
			l.services[service] = r
			changed = true
		}
	}
	return changed
}
