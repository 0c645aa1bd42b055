package admitter

import (
	"time"

	"almondstep"
)

// Lagged records the time between the arrival of a request and its handling.
func (g *Gate) Lagged(now almondstep.Instant, lag time.Duration) { g.processor.observe(now, lag) }

// Sent records a call to an upstream.
func (g *Gate) Sent(now almondstep.Instant, id almondstep.UpstreamID) {
	if u := g.upstreams[id]; u != nil {
		u.sent(now)
		u.mark(now)
	}
}

// CallEnded records the end of a call to an upstream. took is its duration without the
// time on the network.
func (g *Gate) CallEnded(now almondstep.Instant, id almondstep.UpstreamID, took time.Duration, e *almondstep.CallEnded) {
	if u := g.upstreams[id]; u != nil {
		u.ended(now, took, e)
		u.mark(now)
	}
}

// mark records that the lane is loaded if the upstream has a queue above maxQueueWait.
func (u *upstream) mark(now almondstep.Instant) {
	if u.wait(now) > maxQueueWait {
		u.lane.loadedUntil = now.Add(pressureMemory)
	}
}

// Pause records that an upstream wants no calls until an instant.
func (g *Gate) Pause(id almondstep.UpstreamID, until almondstep.Instant) {
	if u := g.upstreams[id]; u != nil {
		u.lost(until)
	}
}

// Ended records the end of a request that Offer or Next let run.
func (g *Gate) Ended(now almondstep.Instant, work int) {
	g.processor.ended(now, work)
	if g.processor.limit == 0 {
		return
	}
	for _, l := range g.pressed {
		// The processor has capacity that it lacked at the last visit.
		l.visitedAt = 0
	}
}

// RoomForExtra reports whether a service has a free slot for a hedge, or for a retry that
// the answer doesn't need, beyond what the requests that wait for the service need.
func (g *Gate) RoomForExtra(now almondstep.Instant, name almondstep.ServiceName, r *almondstep.Route) bool {
	s := g.services[name]
	if s == nil || now >= s.lane.loadedUntil && len(s.lane.waiting) == 0 {
		return true
	}
	if len(s.lane.waiting) > 0 {
		return false
	}
	for _, u := range s.upstreams {
		if u.usable(now, r) && u.wait(now) == 0 {
			return true
		}
	}
	return false
}

// Pressure is a change of whether a service, or the shards that routes have in common, are
// short of capacity.
type Pressure struct {
	// Service is the service, or one of the shards.
	Service almondstep.ServiceName
	Short   bool
}

// Pressure returns whether the lane of a service has become short of capacity, or has
// ceased to be, since the last call.
func (g *Gate) Pressure(now almondstep.Instant, name almondstep.ServiceName) (Pressure, bool) {
	s := g.services[name]
	if s == nil {
		return Pressure{}, false
	}
	l := s.lane
	short := len(l.waiting) > 0 || now < l.pressedUntil
	if short == l.reported {
		return Pressure{}, false
	}
	l.reported = short
	return Pressure{Service: l.name, Short: short}, true
}

// ProcessorLimit returns the maximum number of open calls that is in effect because events
// are handled late, 0 if none is, and whether one has come into effect, or ceased to be in
// effect, since the last call.
func (g *Gate) ProcessorLimit() (limit int, changed bool) {
	p := &g.processor
	if (p.limit > 0) == p.reported {
		return p.limit, false
	}
	p.reported = p.limit > 0
	return p.limit, true
}
