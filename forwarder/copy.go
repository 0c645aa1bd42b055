package forwarder

import (
	"maps"

	"almondstep"
)

// copy returns a forwarder that decides as f does on a request that arrives now, and shares
// nothing with f that either changes. Of the requests, it has those that wait for capacity:
// no others affect such a decision.
func (f *Forwarder) copy() *Forwarder {
	n := &Forwarder{
		picker:      f.picker.Copy(),
		budget:      f.budget.Copy(),
		cold:        f.cold.Copy(),
		requests:    make(map[almondstep.QueryID]*request),
		calls:       make(map[almondstep.CallID]callRef),
		balancers:   make(map[almondstep.RouteName]*targetBalancer, len(f.balancers)),
		delegates:   f.delegates.copy(),
		load:        f.load,
		needed:      maps.Clone(f.needed),
		rates:       f.rates.Copy(),
		pauses:      f.pauses.Copy(),
		leaving:     leavingRuns{runs: maps.Clone(f.leaving.runs)},
		rollouts:    f.rollouts.copy(),
		gate:        f.gate.Copy(),
		directory:   f.directory,
		region:      f.region,
		lastCall:    f.lastCall,
		crashLimit:  f.crashLimit,
		crashMemory: f.crashMemory,
		cappedTo:    f.cappedTo,
	}
	for id, r := range f.requests {
		if r.admission.waiting {
			waiting := *r
			n.requests[id] = &waiting
		}
	}
	for route, b := range f.balancers {
		n.balancers[route] = &targetBalancer{credit: maps.Clone(b.credit)}
	}
	return n
}

func (m *delegatePool) copy() delegatePool {
	n := delegatePool{zone: m.zone, all: make(map[almondstep.DaemonID]*delegateState, len(m.all))}
	for id, s := range m.all {
		c := *s
		c.openCalls = maps.Clone(s.openCalls)
		n.all[id] = &c
	}
	return n
}

func (l *rolloutSplits) copy() rolloutSplits {
	n := *l
	n.services = maps.Clone(l.services)
	for service, s := range n.services {
		c := *s
		n.services[service] = &c
	}
	return n
}
