package picker

import (
	"maps"

	"almondstep"
)

// Copy returns a picker with the same state, which shares nothing with p that either changes.
func (p *Picker) Copy() Picker {
	n := *p
	copies := make(map[*groupEstimate]*groupEstimate, len(p.estimates))
	copyOf := func(g *groupEstimate) *groupEstimate {
		if _, ok := copies[g]; !ok {
			c := *g
			copies[g] = &c
		}
		return copies[g]
	}
	n.estimates = make(map[groupKey]*groupEstimate, len(p.estimates))
	for key, g := range p.estimates {
		n.estimates[key] = copyOf(g)
	}
	n.upstreams = make(map[almondstep.UpstreamID]*upstreamState, len(p.upstreams))
	for id, s := range p.upstreams {
		c := *s
		c.group = copyOf(s.group)
		c.inFlight = maps.Clone(s.inFlight)
		n.upstreams[id] = &c
	}
	return n
}
