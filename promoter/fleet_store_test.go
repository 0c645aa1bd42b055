package promoter_test

import (
	"fmt"
	"time"

	"almondstep"
)

// put writes an entry and has every daemon that reaches the store learn of it.
func (f *fleet) put(key string, c almondstep.RolloutChange) {
	f.revision++
	c.Revision = f.revision
	if c.Leader != nil {
		leader := *c.Leader
		leader.Revision, c.Leader = f.revision, &leader
	}
	f.entries[key] = c
	for _, d := range f.daemons {
		f.deliver(d, key, c)
	}
}

func (f *fleet) deliver(d *daemon, key string, c almondstep.RolloutChange) {
	f.after(f.millis(20, int(update.Milliseconds()/2)), func() {
		if f.away {
			f.deliver(d, key, c)
			return
		}
		changes := &almondstep.RegistryChanges{Revision: c.Revision, Rollouts: []almondstep.RolloutChange{c}}
		removed := c.Order == nil && c.Decision == nil && c.Leader == nil
		changes.Entries = []almondstep.RegistryEntry{{Key: key, Revision: c.Revision, Value: fmt.Sprint(c.Revision), Removed: removed}}
		if c.Order != nil {
			// The upstreams start after the order.
			changes.Upstreams = upstreams(c.Order.Version, c.Revision)
		}
		f.control(d, &almondstep.RegistryRead{Changes: changes})
	})
}

// write performs a conditional write.
func (f *fleet) write(d *daemon, e *almondstep.WriteRollout) *almondstep.RolloutWritten {
	w := &almondstep.RolloutWritten{WriteRollout: *e}
	if f.away {
		w.Err = "away"
		return w
	}
	leader, decision := f.entries["leader"], f.entries["decision"]
	if leader.Leader == nil {
		leader.Revision = 0
	}
	if decision.Decision == nil {
		decision.Revision = 0
	}
	conditions := []uint64{e.LeaderRevision, e.DecisionRevision}
	if e.Decision != nil {
		conditions = append(conditions, e.Decision.OrderRevision)
	}
	for _, c := range conditions {
		if c != 0 && almondstep.EraOf(c) != f.era {
			w.Err = "restored"
			return w
		}
	}
	if leader.Revision != e.LeaderRevision || e.Decision != nil && (decision.Revision != e.DecisionRevision || f.entries["order"].Revision != e.Decision.OrderRevision) {
		w.Conflict = true
		w.Present = []almondstep.RolloutChange{leader, decision}
		return w
	}
	if e.Decision == nil {
		f.claims = append(f.claims, d.index)
		f.put("leader", almondstep.RolloutChange{Subject: almondstep.RolloutLeaderChanged, Leader: &almondstep.RolloutLeader{Daemon: name(d.index), Addr: "127.0.0.1:1"}})
	} else {
		f.states = append(f.states, *e.Decision)
		f.put("decision", almondstep.RolloutChange{Subject: almondstep.RolloutDecisionMade, Service: service, Decision: e.Decision})
	}
	w.Revision = f.revision
	return w
}

// order writes an order; an empty version withdraws it.
func (f *fleet) order(version almondstep.UpstreamVersion, limit time.Duration) {
	c := almondstep.RolloutChange{Subject: almondstep.RolloutOrdered, Service: service}
	if version != "" {
		c.Order = &almondstep.RolloutOrder{Version: version, CompleteBy: limit}
	}
	f.put("order", c)
}

// last returns the last decision that was written; the zero value if none was.
func (f *fleet) last() almondstep.RolloutDecision {
	if len(f.states) == 0 {
		return almondstep.RolloutDecision{}
	}
	return f.states[len(f.states)-1]
}
