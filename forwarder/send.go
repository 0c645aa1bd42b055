package forwarder

import (
	"time"

	"almondstep"
)

const (
	// minHedgeDelay keeps fast upstreams from being hedged at every scheduling
	// delay.
	minHedgeDelay = 12 * time.Millisecond
	// minWanted gives a call that is sent late time to be answered.
	minWanted = 15 * time.Millisecond
	// abandonedCallTimeout is how long a call that is no longer needed may still be
	// answered before its connection is closed.
	abandonedCallTimeout = 150 * time.Millisecond
)

// send calls the best upstream not yet tried for a shard; it returns false if there
// is none. The caller has checked that another call is allowed.
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
	r.openCalls++
	r.trace.Calls++
	f.picker.Sent(now, u, id)
	*out = append(*out, &almondstep.SendCall{
		ID:              r.id,
		Call:            id,
		Upstream:        u,
		Request:         r.message,
		Timeout:         r.deadline.Sub(now),
		UsefulFor:       r.wanted(now),
		Records:         r.records(),
		Connections:     f.connections(r, s.service),
		FreshConnection: !r.route.Idempotent(),
	})
	return true
}

// wanted returns how long a call's answer is useful. One shard of many is of little
// use after the answer has been sent. An upstream with a queue drops the calls that
// it can't answer by then, which leaves it time for the others.
func (r *request) wanted(now almondstep.Instant) time.Duration {
	if r.gathers() && now < r.answerBy {
		return max(minWanted, r.answerBy.Sub(now))
	}
	return r.deadline.Sub(now)
}

// records returns how many of a part's records can be in the answer; 0 means all.
func (r *request) records() int {
	if !r.gathers() {
		return 0
	}
	return r.route.Records()
}

// choose picks the upstream for a shard's next call. A cold upstream is used only
// within its rate.
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
		if !f.picker.Cold(now, u) || f.cold.Take(now, u.ID, service.ColdPerSecond, r.budgetDivisor(s.service)) {
			return u, true
		}
		overRate = append(overRate, u)
	}
}

// connections returns this daemon's share of the connections to one upstream.
func (f *Forwarder) connections(r *request, s almondstep.ServiceName) int {
	service, _ := r.directory.Routes().Service(s)
	callers := r.directory.Daemons()
	if r.directory.Routes().IsShard(s) && len(r.directory.Delegates()) == 0 {
		callers = r.directory.Gatherers()
	}
	return max(1, service.MaxConnections/callers)
}

// Four fifths of a limit on the calls to shards are shared by the daemons that
// query shards (the gatherers), and one fifth by those that do so only while they
// have no delegate.
const (
	gathererShareNum = 5
	gathererShareDen = 4
	othersShare      = 5
)

// budgetDivisor returns the number by which this daemon divides a fleet-wide limit.
func (r *request) budgetDivisor(s almondstep.ServiceName) int { return BudgetDivisor(r.directory, s) }

// BudgetDivisor returns the number by which a daemon divides a limit on the calls
// of all daemons to a service. The directory determines whether the daemon itself
// queries shards.
//
// Example: 78 daemons, of which 30 query shards. These divide by 38, and the other 48
// by 240: together they have 30/38 + 48/240, or 0.99 of the limit.
func BudgetDivisor(d *almondstep.Directory, s almondstep.ServiceName) int {
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

// hedgeTime returns the latest time at which a hedge is still likely to be answered
// in time: with nearly all of the other upstream's answers, and over a connection
// that must be opened first. An answer before the latency target is worth no more
// for being faster, while each hedge avoided by waiting leaves budget for a shard
// that needs it.
func (f *Forwarder) hedgeTime(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) almondstep.Instant {
	usual := now.Add(max(minHedgeDelay, f.picker.HighLatency(now, u)))
	if !f.picker.HasLatency(now, u) {
		usual = r.answerBy
	}
	other, ok := f.fastestUntried(now, r, s)
	if !ok {
		return usual
	}
	soonest := now.Add(max(minHedgeDelay, f.picker.ExpectedLatency(now, u)))
	last := r.answerBy.Add(-f.picker.ExpectedLatency(now, other))
	safe := r.answerBy.Add(-f.picker.HighLatency(now, other))
	if f.picker.HasLatency(now, other) {
		// Its latencies were measured mostly over open connections.
		safe = safe.Add(-f.picker.PriorRTT(other))
	}
	return max(soonest, min(last, max(usual, safe)))
}

// fastestUntried returns the upstream not yet tried that is likely to answer first.
func (f *Forwarder) fastestUntried(now almondstep.Instant, r *request, s *shard) (*almondstep.Upstream, bool) {
	var best *almondstep.Upstream
	var least time.Duration
	for _, u := range r.directory.Upstreams(s.service) {
		if s.tried(u) || !r.route.Allows(u.Region) {
			continue
		}
		if expected := f.picker.ExpectedLatency(now, u); best == nil || expected < least {
			best, least = u, expected
		}
	}
	return best, best != nil
}
