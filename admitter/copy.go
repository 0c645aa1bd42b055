package admitter

import (
	"maps"

	"almondstep"
)

// Copy returns a gate with the same state, which shares nothing with g that either changes.
func (g *Gate) Copy() *Gate {
	n := *g
	n.scratch = nil
	lanes := make(map[*lane]*lane, len(g.lanes))
	entries := make(map[*entry]*entry, len(g.entries))
	copyLane := func(l *lane) *lane {
		if c, ok := lanes[l]; ok {
			return c
		}
		c := *l
		c.shares = l.shares.copy()
		c.waiting = make([]*entry, 0, len(l.waiting))
		for _, e := range l.waiting {
			ec := *e
			ec.lane = &c
			entries[e] = &ec
			c.waiting = append(c.waiting, &ec)
		}
		lanes[l] = &c
		return &c
	}
	n.lanes = make(map[almondstep.ServiceName]*lane, len(g.lanes))
	for name, l := range g.lanes {
		n.lanes[name] = copyLane(l)
	}
	n.upstreams = make(map[almondstep.UpstreamID]*upstream, len(g.upstreams))
	upstreams := make(map[*upstream]*upstream, len(g.upstreams))
	copyUpstream := func(u *upstream) *upstream {
		if upstreams[u] == nil {
			c := *u
			c.lane = copyLane(u.lane)
			upstreams[u] = &c
		}
		return upstreams[u]
	}
	for id, u := range g.upstreams {
		n.upstreams[id] = copyUpstream(u)
	}
	n.services = make(map[almondstep.ServiceName]*service, len(g.services))
	for name, s := range g.services {
		c := &service{lane: copyLane(s.lane)}
		for _, u := range s.upstreams {
			c.upstreams = append(c.upstreams, copyUpstream(u))
		}
		n.services[name] = c
	}
	n.pressed = nil
	for _, l := range g.pressed {
		n.pressed = append(n.pressed, copyLane(l))
	}
	n.entries = make(map[almondstep.QueryID]*entry, len(g.entries))
	for id, e := range g.entries {
		n.entries[id] = entries[e]
	}
	return &n
}

// copy returns shares with the same counts.
func (s *shares) copy() shares {
	n := shares{all: s.all, classes: make(map[int]*class, len(s.classes))}
	for priority, c := range s.classes {
		cc := &class{count: c.count, organisations: maps.Clone(c.organisations)}
		for name, o := range cc.organisations {
			oc := *o
			cc.organisations[name] = &oc
		}
		n.classes[priority] = cc
	}
	return n
}
