package picker

import (
	"time"

	"almondstep"
)

// A new latency has the weight 1/groupDivisor in the estimate of a group: less than in
// that of a single upstream, since many upstreams contribute to a group.
const groupDivisor = 32

// groupKey identifies a group of similar upstreams: those of the shards of one
// route, or of one service, in one zone.
type groupKey struct {
	group almondstep.ServiceName
	zone  almondstep.ZoneName
}

// groupEstimate is the latency estimate of a group. In a large fleet, a daemon calls
// each single upstream only every few seconds, but its group with each request: a
// request over 90 shards gives 90 latencies of the group, and at most one of each
// upstream.
type groupEstimate struct {
	mean      time.Duration
	deviation time.Duration
	// observed is set once a latency has been observed.
	observed bool
}

// observe updates the estimate with a latency of one of the group's upstreams.
func (k *groupEstimate) observe(took time.Duration) {
	if !k.observed {
		*k = groupEstimate{mean: took, deviation: took / deviationDivisor, observed: true}
		return
	}
	delta := took - k.mean
	k.mean += delta / groupDivisor
	k.deviation += (delta.Abs() - k.deviation) / groupDivisor
}

func (p *Picker) groupKeyOf(u *almondstep.Upstream) groupKey {
	group, ok := p.groups[u.Service]
	if !ok {
		group = u.Service
	}
	return groupKey{group: group, zone: u.Zone}
}

// groupOf returns the estimate of an upstream's group, creating it if necessary.
func (p *Picker) groupOf(u *almondstep.Upstream) *groupEstimate {
	key := p.groupKeyOf(u)
	if p.estimates == nil {
		p.estimates = make(map[groupKey]*groupEstimate)
	}
	k, ok := p.estimates[key]
	if !ok {
		k = &groupEstimate{}
		p.estimates[key] = k
	}
	return k
}

// updateGroups derives the groups from the routes if these have changed. The shards
// of a route form a group, which is named after the first of them.
func (p *Picker) updateGroups(d *almondstep.Directory) {
	if d.Routes() == nil || d.Routes().Version() == p.groupsVersion {
		return
	}
	p.groupsVersion = d.Routes().Version()
	p.groups = make(map[almondstep.ServiceName]almondstep.ServiceName)
	for _, r := range d.Routes().Routes() {
		for _, s := range r.Shards() {
			if _, ok := p.groups[s]; !ok {
				p.groups[s] = r.Shards()[0]
			}
		}
	}
	old := p.estimates
	p.estimates = make(map[groupKey]*groupEstimate, len(old))
	for _, all := range d.AllUpstreams() {
		for _, u := range all {
			p.assignGroup(u, old)
		}
	}
}

// assignGroup sets an upstream's group and keeps the group's estimate, if any.
func (p *Picker) assignGroup(u *almondstep.Upstream, old map[groupKey]*groupEstimate) {
	key := p.groupKeyOf(u)
	if k, ok := old[key]; ok {
		p.estimates[key] = k
	}
	if s, ok := p.upstreams[u.ID]; ok {
		s.group = p.groupOf(u)
	}
}
