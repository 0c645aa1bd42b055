package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondstep"
)

// service is a service with its upstreams.
type service struct {
	upstreams []*upstream
	lane      *lane
}

// outlook is the capacity that is expected for one more request.
type outlook struct {
	// wait is the time until there is capacity; 0 if there is now.
	wait time.Duration
	// interval is the time from the start of a request to that of the next while there is
	// none.
	interval time.Duration
	// takes is the service time of the fastest upstream; 0 if unknown.
	takes time.Duration
}

// outlook returns the service's capacity for a request. Upstreams that would take longer
// than the request has are left out if there are others. A service without a usable
// upstream isn't short of capacity: waiting wouldn't help.
func (s *service) outlook(now almondstep.Instant, a *Ask) outlook {
	if o, ok := s.outlookWithin(now, a, a.span()); ok {
		return o
	}
	o, _ := s.outlookWithin(now, a, math.MaxInt64)
	return o
}

// outlookWithin returns the capacity of the upstreams that take no longer than span, and
// whether there are any.
func (s *service) outlookWithin(now almondstep.Instant, a *Ask, span time.Duration) (outlook, bool) {
	least, fastest := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	perSecond := 0.0
	for _, u := range s.upstreams {
		if !u.usable(now, a.Route) || u.expected(now)*serviceTimesOne/2 > span {
			continue
		}
		least, fastest = min(least, u.wait(now)), min(fastest, u.expected(now))
		perSecond += 1 / max(time.Microsecond, u.interval(now)).Seconds()
	}
	if perSecond == 0 {
		return outlook{}, false
	}
	o := outlook{interval: time.Duration(float64(time.Second) / perSecond), takes: fastest}
	if least > maxQueueWait {
		o.wait = least - maxQueueWait
	}
	return o, true
}

// outlook returns the capacity for a request: that of its service, or that of as many
// shards as the minimum coverage of its route needs.
func (g *Gate) outlook(now almondstep.Instant, a *Ask) outlook {
	if !a.Local {
		return outlook{}
	}
	shards := a.Route.Shards()
	if len(shards) == 0 {
		if s := g.services[a.Service]; s != nil {
			return s.outlook(now, a)
		}
		return outlook{}
	}
	spare := len(shards) - int(math.Ceil(a.Route.MinCoverage()*float64(len(shards))-roundingSlack))
	spare = min(max(0, spare), len(shards)-1)
	g.scratch = g.scratch[:0]
	short := 0
	for _, name := range shards {
		var o outlook
		if s := g.services[name]; s != nil {
			o = s.outlook(now, a)
		}
		if o.wait > 0 {
			short++
		}
		g.scratch = append(g.scratch, o)
	}
	if short <= spare {
		return outlook{interval: g.scratch[0].interval, takes: g.scratch[0].takes}
	}
	slices.SortFunc(g.scratch, func(a, b outlook) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(b.interval, a.interval))
	})
	return g.scratch[spare]
}

// roundingSlack absorbs the rounding error of a coverage that was configured as a decimal
// fraction.
const roundingSlack = 1e-9

// UpdateDirectory takes over the upstreams of a directory, and keeps what is known of those
// that stay. The shards that routes have in common, directly or through other routes,
// form one lane.
func (g *Gate) UpdateDirectory(d *almondstep.Directory) {
	if d.Routes() == nil {
		return
	}
	names := laneNames(d)
	known := g.upstreams
	g.upstreams = make(map[almondstep.UpstreamID]*upstream, len(known))
	g.services = make(map[almondstep.ServiceName]*service)
	for name, all := range d.AllUpstreams() {
		s := &service{lane: g.laneNamed(cmp.Or(names[name], name))}
		for _, u := range all {
			s.upstreams = append(s.upstreams, g.addUpstream(u, known[u.ID], s.lane))
		}
		g.services[name] = s
	}
	g.removeLanes()
}

// laneNames maps each shard to the first shard of the first route that lists a shard of its
// lane.
func laneNames(d *almondstep.Directory) map[almondstep.ServiceName]almondstep.ServiceName {
	names := make(map[almondstep.ServiceName]almondstep.ServiceName)
	for _, r := range d.Routes().Routes() {
		if len(r.Shards()) == 0 {
			continue
		}
		name := r.Shards()[0]
		for _, s := range r.Shards() {
			if taken, ok := names[s]; ok {
				name = taken
				break
			}
		}
		for _, s := range r.Shards() {
			if _, ok := names[s]; !ok {
				names[s] = name
			}
		}
	}
	return names
}

func (g *Gate) addUpstream(u *almondstep.Upstream, known *upstream, l *lane) *upstream {
	run := u.Run()
	if known == nil || known.run != run {
		known = &upstream{run: run, slots: u.Slots}
	}
	known.region, known.lane = u.Region, l
	g.upstreams[u.ID] = known
	return known
}

func (g *Gate) laneNamed(name almondstep.ServiceName) *lane {
	l, ok := g.lanes[name]
	if !ok {
		l = newLane(name)
		g.lanes[name] = l
	}
	return l
}

// removeLanes removes the lanes of which no service is left and in which nothing waits.
func (g *Gate) removeLanes() {
	used := make(map[*lane]bool, len(g.lanes))
	for _, s := range g.services {
		used[s.lane] = true
	}
	for name, l := range g.lanes {
		if !used[l] && len(l.waiting) == 0 {
			delete(g.lanes, name)
		}
	}
}
