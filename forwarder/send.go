package forwarder

import (
	"time"

	"almondstep"
)

const (
	// leastHedgeDelay keeps quick upstreams from being hedged at every scheduling
	// delay.
	leastHedgeDelay = 12 * time.Millisecond
	// leastWanted gives a call that goes out late a chance.
	leastWanted = 15 * time.Millisecond
	// linger is how long a call that is no longer needed may still be answered
	// before its connection is closed.
	linger = 150 * time.Millisecond
)

// send sends a shard's request to the best upstream not yet tried; false if
// there is none. The caller has checked that another call is allowed.
func (f *Forwarder) send(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	u, ok := f.choose(now, r, s)
	if !ok {
		return false
	}
	f.lastCall++
	id := f.lastCall
	f.calls[id] = callRef{shard: i, call: len(s.calls)}
	s.calls = append(s.calls, call{id: id, upstream: u})
	s.hedgeAt = f.hedgeTime(now, r, s, u)
	r.out++
	r.trace.Calls++
	f.picker.Sent(now, u, id)
	*out = append(*out, &almondstep.SendCall{
		ID:              r.id,
		Call:            id,
		Upstream:        u,
		Request:         r.message,
		Timeout:         r.deadline.Sub(now),
		Wanted:          r.wanted(now),
		Records:         r.records(),
		Connections:     f.connections(r, s.service),
		FreshConnection: !r.route.Idempotent(),
	})
	return true
}

// wanted is how long a call's answer is wanted. One shard of many is of little use
// after the answer has left, and an upstream with a queue drops what it can't
// answer by then: so it has time for what it can.
func (r *request) wanted(now almondstep.Instant) time.Duration {
	if r.gathers() && now < r.answerBy {
		return max(leastWanted, r.answerBy.Sub(now))
	}
	return r.deadline.Sub(now)
}

// records is how many of a part's records can be in the answer; 0 means all.
func (r *request) records() int {
	if !r.gathers() {
		return 0
	}
	return r.route.Records()
}

// choose picks the upstream for a shard's next call. One that is cold is used
// only within its rate.
func (f *Forwarder) choose(now almondstep.Instant, r *request, s *shard) (*almondstep.Upstream, bool) {
	var overRate []*almondstep.Upstream
	usable := func(u *almondstep.Upstream) bool {
		for _, o := range overRate {
			if o == u {
				return false
			}
		}
		return r.route.Allows(u.Region) && !s.tried(u)
	}
	service, _ := r.directory.Routes().Service(s.service)
	for {
		u, ok := f.picker.Pick(now, r.directory.Upstreams(s.service), usable)
		if !ok {
			return nil, false
		}
		if !f.picker.Cold(now, u) || f.cold.Take(now, u.ID, service.ColdPerSecond, r.sharing(s.service)) {
			return u, true
		}
		overRate = append(overRate, u)
	}
}

// connections is this daemon's share of the connections to one upstream.
func (f *Forwarder) connections(r *request, s almondstep.ServiceName) int {
	service, _ := r.directory.Routes().Service(s)
	callers := r.directory.Daemons()
	if r.directory.Routes().IsShard(s) && len(r.directory.Delegates()) == 0 {
		callers = r.directory.Gatherers()
	}
	return max(1, service.MaxConnections/callers)
}

// Of a bound on the calls to shards, four fifths are shared by the daemons that ask
// them, and a fifth by those that do so only while they have no delegate.
const (
	gathererShareNum = 5
	gathererShareDen = 4
	othersShare      = 5
)

// sharing is the number of daemons by which this one divides a bound.
func (r *request) sharing(s almondstep.ServiceName) int { return Sharing(r.directory, s) }

// Sharing is the number by which a daemon divides a bound on the calls of all
// daemons to a service. It is as the directory says whether the daemon itself asks
// shards.
//
// Example: 78 daemons, of which 30 ask shards. These divide by 38, and the other 48
// by 240: together they have 30/38 + 48/240, or 0.99 of the bound.
func Sharing(d *almondstep.Directory, s almondstep.ServiceName) int {
	others := d.Daemons() - d.Gatherers()
	switch {
	case others == 0 || !d.Routes().IsShard(s):
		return d.Daemons()
	case len(d.Delegates()) > 0:
		return others * othersShare
	default:
		return (d.Gatherers()*gathererShareNum + gathererShareDen - 1) / gathererShareDen
	}
}

// hedgeTime is as late as another upstream can still answer in time, with nearly
// all of its answers and over a connection that must be opened first. An answer
// before the latency target is worth no more for being quicker, while each hedge
// that a little patience spares is there for a shard that needs it.
func (f *Forwarder) hedgeTime(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) almondstep.Instant {
	usual := now.Add(max(leastHedgeDelay, f.picker.Usual(now, u)))
	if !f.picker.Known(now, u) {
		usual = r.answerBy
	}
	other, ok := f.quickestOther(now, r, s)
	if !ok {
		return usual
	}
	soonest := now.Add(max(leastHedgeDelay, f.picker.Expected(now, u)))
	last := r.answerBy.Add(-f.picker.Expected(now, other))
	safe := r.answerBy.Add(-f.picker.Usual(now, other))
	if f.picker.Known(now, other) {
		// What was seen of it was seen over open connections, mostly.
		safe = safe.Add(-f.picker.Way(other))
	}
	return max(soonest, min(last, max(usual, safe)))
}

// quickestOther is the upstream not yet tried that is likely to answer first.
func (f *Forwarder) quickestOther(now almondstep.Instant, r *request, s *shard) (*almondstep.Upstream, bool) {
	var best *almondstep.Upstream
	var least time.Duration
	for _, u := range r.directory.Upstreams(s.service) {
		if s.tried(u) || !r.route.Allows(u.Region) {
			continue
		}
		if expected := f.picker.Expected(now, u); best == nil || expected < least {
			best, least = u, expected
		}
	}
	return best, best != nil
}
