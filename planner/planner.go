package planner

import (
	"cmp"
	"slices"

	"almondstep"
)

// Planner makes plans and caches those of the view it was last called with. The
// zero value is ready to use.
type Planner struct {
	view       *almondstep.View
	plans      map[almondstep.ServiceName]*Plan
	newerPlans map[newerKey]*Plan
}

// newerKey is the service and version of the plan that a newer one replaces.
type newerKey struct {
	service almondstep.ServiceName
	version almondstep.Version
}

// SearchPlan returns the plan of a search on a service and all it depends on. The
// service must be in the view's catalog.
func (p *Planner) SearchPlan(v *almondstep.View, s almondstep.Service) *Plan {
	p.setView(v)
	plan, ok := p.plans[s.Name()]
	if !ok {
		plan = best(v, s.Closure(), versions(v, s.Closure()))
		p.plans[s.Name()] = plan
	}
	return plan
}

// NewerPlan returns a plan with which a query can restart when a shard of its current
// plan can't be served any more: complete, not older, and of another version or
// partitioning. It is nil if there is none.
func (p *Planner) NewerPlan(v *almondstep.View, s almondstep.Service, current *Plan) *Plan {
	p.setView(v)
	key := newerKey{service: s.Name(), version: current.version}
	plan, ok := p.newerPlans[key]
	if !ok {
		plan = best(v, s.Closure(), fromVersion(versions(v, s.Closure()), current.version))
		p.newerPlans[key] = plan
	}
	if !plan.complete || plan.version < current.version || plan.SameShards(current) {
		return nil
	}
	return plan
}

func (p *Planner) setView(v *almondstep.View) {
	if p.view == v && p.plans != nil {
		return
	}
	p.view = v
	p.plans = make(map[almondstep.ServiceName]*Plan)
	p.newerPlans = make(map[newerKey]*Plan)
}

// versions returns the versions at which any service of the closure has a placement,
// newest first.
func versions(v *almondstep.View, closure []almondstep.ServiceName) []almondstep.Version {
	var all []almondstep.Version
	for _, s := range closure {
		for _, p := range v.Placements(s) {
			all = append(all, p.Version())
		}
	}
	slices.SortFunc(all, func(a, b almondstep.Version) int { return cmp.Compare(b, a) })
	return slices.Compact(all)
}

// fromVersion returns the versions that aren't older than minVersion.
func fromVersion(newestFirst []almondstep.Version, minVersion almondstep.Version) []almondstep.Version {
	n := 0
	for n < len(newestFirst) && newestFirst[n] >= minVersion {
		n++
	}
	return newestFirst[:n]
}

// best builds a plan for each version and returns the best, the newest of equals.
func best(v *almondstep.View, closure []almondstep.ServiceName, newestFirst []almondstep.Version) *Plan {
	var chosen *Plan
	for _, version := range newestFirst {
		plan := build(v, closure, version)
		if chosen == nil || better(plan, chosen) {
			chosen = plan
		}
		if chosen.warm {
			return chosen
		}
	}
	if chosen == nil {
		return build(v, closure, 0)
	}
	return chosen
}

// better reports whether a is better than b: warm, else complete, else of larger
// coverage.
func better(a, b *Plan) bool {
	if a.warm != b.warm {
		return a.warm
	}
	if a.complete != b.complete {
		return a.complete
	}
	return a.covered > b.covered
}
