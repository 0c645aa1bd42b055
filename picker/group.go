package picker

import (
	"time"

	"almondstep"
)

// kinGain is the weight of a new latency in the estimate of a group, which many
// upstreams feed.
const kinGain = 32

// kinKey names the upstreams that are alike: those of the shards of one route, or
// of one service, in one zone.
type kinKey struct {
	group almondstep.ServiceName
	zone  almondstep.ZoneName
}

// kin is what was seen of upstreams that are alike. A daemon that is one of many
// calls a single upstream every few seconds, but its group with each request:
//
//	90 shards, one request: 90 latencies of the group, one of each upstream
type kin struct {
	mean      time.Duration
	deviation time.Duration
	seen      bool
}

func (k *kin) answered(took time.Duration) {
	if !k.seen {
		*k = kin{mean: took, deviation: took / deviationGain, seen: true}
		return
	}
	off := took - k.mean
	k.mean += off / kinGain
	k.deviation += (off.Abs() - k.deviation) / kinGain
}

func (p *Picker) kinKeyOf(u *almondstep.Upstream) kinKey {
	group, ok := p.groups[u.Service]
	if !ok {
		group = u.Service
	}
	return kinKey{group: group, zone: u.Zone}
}

// kinOf finds the group of an upstream.
func (p *Picker) kinOf(u *almondstep.Upstream) *kin {
	key := p.kinKeyOf(u)
	if p.kin == nil {
		p.kin = make(map[kinKey]*kin)
	}
	k, ok := p.kin[key]
	if !ok {
		k = &kin{}
		p.kin[key] = k
	}
	return k
}

// regroup takes the groups from the routes, when these have changed: shards that
// are asked together are alike, and named after the first.
func (p *Picker) regroup(d *almondstep.Directory) {
	if d.Routes() == nil || d.Routes().Version() == p.grouped {
		return
	}
	p.grouped = d.Routes().Version()
	p.groups = make(map[almondstep.ServiceName]almondstep.ServiceName)
	for _, r := range d.Routes().Routes() {
		for _, s := range r.Shards() {
			if _, ok := p.groups[s]; !ok {
				p.groups[s] = r.Shards()[0]
			}
		}
	}
	was := p.kin
	p.kin = make(map[kinKey]*kin, len(was))
	for _, all := range d.All() {
		for _, u := range all {
			p.join(u, was)
		}
	}
}

// join gives an upstream its group, with what was seen of that before.
func (p *Picker) join(u *almondstep.Upstream, was map[kinKey]*kin) {
	key := p.kinKeyOf(u)
	if k, ok := was[key]; ok {
		p.kin[key] = k
	}
	if s, ok := p.upstreams[u.ID]; ok {
		s.kin = p.kinOf(u)
	}
}
