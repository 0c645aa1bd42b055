package picker

import (
	"time"

	"almondstep"
)

const (
	// workPrior is how long an upstream of which nothing is known is expected to
	// take, besides the way there.
	workPrior = 10 * time.Millisecond
	// priorSpread is the part of that by which answers are expected to differ.
	priorSpread = 8
	// opening is how many ways a call takes over a connection that it must open.
	opening = 2
	// The ways there and back that are expected before anything is seen.
	sameZone    = time.Millisecond
	sameRegion  = 4 * time.Millisecond
	otherRegion = 30 * time.Millisecond
	// usualDeviations above the mean, nearly all answers have come.
	usualDeviations = 4
	// failureCost is the time that a call certain to fail is taken to cost.
	failureCost = 200 * time.Millisecond
	// overdueCost is added for an upstream that holds an overdue call: it is
	// likely to be in a pause that goes on.
	overdueCost = 60 * time.Millisecond
	// coldCost keeps requests from cold upstreams while others are there.
	coldCost = 40 * time.Millisecond
)

// Picker holds what one traffic thread has seen of the upstreams. Set the fields
// before the first call.
type Picker struct {
	// Zone and Region are the daemon's own.
	Zone   almondstep.ZoneName
	Region almondstep.RegionName
	// Seed starts the choice among equals.
	Seed uint64

	upstreams map[almondstep.UpstreamID]*upstream
	kin       map[kinKey]*kin
	// groups has the group of each shard, by the routes of version grouped.
	groups  map[almondstep.ServiceName]almondstep.ServiceName
	grouped almondstep.RouteVersion
}

// Pick chooses among the upstreams that usable allows; false if there is none
// that can be reached.
func (p *Picker) Pick(now almondstep.Instant, among []*almondstep.Upstream, usable func(*almondstep.Upstream) bool) (*almondstep.Upstream, bool) {
	var best *almondstep.Upstream
	var least time.Duration
	for _, u := range among {
		s := p.seen(now, u)
		if now < s.downUntil || !usable(u) {
			continue
		}
		cost := p.cost(now, s)
		if best == nil || cost < least || cost == least && p.coin() {
			best, least = u, cost
		}
	}
	return best, best != nil
}

// cost is the time in which the upstream is expected to answer one more request,
// with what may go wrong counted as time.
func (p *Picker) cost(now almondstep.Instant, s *upstream) time.Duration {
	mean, deviation := s.expects(now)
	cost := mean + deviation
	cost += time.Duration(s.failureShare(now) * float64(failureCost))
	queued := s.waiting(now) + float64(max(0, len(s.out)+1-s.slots))/float64(s.slots)
	cost += time.Duration(queued * float64(max(mean, workPrior)))
	if over := s.overdue(now); over > 0 {
		cost += overdueCost + over
	}
	if now < s.coldUntil {
		cost += coldCost
	}
	return cost
}

// Expected is the time in which the upstream is likely to answer.
func (p *Picker) Expected(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	mean, deviation := p.seen(now, u).expects(now)
	return mean + deviation
}

// Usual is the time by which nearly all answers of the upstream come.
func (p *Picker) Usual(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	return p.seen(now, u).usual(now)
}

// Known says whether something was seen of the upstream lately, or of others like
// it. Otherwise nothing tells whether it is late.
func (p *Picker) Known(now almondstep.Instant, u *almondstep.Upstream) bool {
	return p.seen(now, u).compared(now)
}

// Cold says whether the upstream is known to be cold.
func (p *Picker) Cold(now almondstep.Instant, u *almondstep.Upstream) bool {
	return now < p.seen(now, u).coldUntil
}

// Sent notes a call that goes out.
func (p *Picker) Sent(now almondstep.Instant, u *almondstep.Upstream, call almondstep.CallID) {
	p.seen(now, u).out[call] = now
}

// Ended notes how a call ended. If the upstream is left alone from now on that
// was not before, it says for how long.
func (p *Picker) Ended(now almondstep.Instant, id almondstep.UpstreamID, e *almondstep.CallEnded) time.Duration {
	s, ok := p.upstreams[id]
	if !ok {
		return 0
	}
	wasDown := now < s.downUntil
	delete(s.out, e.Call)
	s.told(now, e)
	s.ended(now, e)
	if wasDown || now >= s.downUntil {
		return 0
	}
	return s.downUntil.Sub(now)
}

// ended takes in a call's result.
func (u *upstream) ended(now almondstep.Instant, e *almondstep.CallEnded) {
	switch e.Result {
	case almondstep.CallDone:
		u.reached()
		u.answered(now, e.Took)
		u.kin.answered(e.Took)
		u.outcome(now, false)
	case almondstep.CallShed, almondstep.CallRejected, almondstep.CallInvalidResponse:
		u.reached()
		u.outcome(now, true)
	case almondstep.CallRefused:
		u.outcome(now, true)
		u.unreachable(now)
	case almondstep.CallMisdirected:
		u.downUntil = now.Add(goneBackoff)
	case almondstep.CallBroken, almondstep.CallTimeout:
		u.unanswered(now)
	case almondstep.CallCanceled:
		if e.Took > u.usual(now) {
			u.unanswered(now)
		}
	default:
	}
}

// told takes in what the answer said of the upstream.
func (u *upstream) told(now almondstep.Instant, e *almondstep.CallEnded) {
	if e.Load != nil {
		u.load = *e.Load
		u.loadAt = now
	}
	if e.ColdFor > 0 {
		u.coldUntil = now.Add(e.ColdFor)
	}
}

// Keep forgets the upstreams that the directory no longer lists.
func (p *Picker) Keep(d *almondstep.Directory) {
	p.regroup(d)
	for _, s := range p.upstreams {
		s.listed = false
	}
	for _, all := range d.AllUpstreams() {
		for _, u := range all {
			if s, ok := p.upstreams[u.ID]; ok {
				s.listed = true
			}
		}
	}
	for id, s := range p.upstreams {
		if !s.listed && len(s.out) == 0 {
			delete(p.upstreams, id)
		}
	}
}

// seen finds what is known of an upstream, or begins to know it.
func (p *Picker) seen(now almondstep.Instant, u *almondstep.Upstream) *upstream {
	if s, ok := p.upstreams[u.ID]; ok && s.started.Equal(u.Started) {
		return s
	}
	if p.upstreams == nil {
		p.upstreams = make(map[almondstep.UpstreamID]*upstream)
	}
	s := &upstream{
		started: u.Started,
		prior:   opening*p.Way(u) + workPrior,
		kin:     p.kinOf(u),
		slots:   max(1, u.Slots),
		out:     make(map[almondstep.CallID]almondstep.Instant),
	}
	if u.ColdFor > 0 {
		s.coldUntil = now.Add(u.ColdFor)
	}
	p.upstreams[u.ID] = s
	return s
}

// Way is the time to the upstream and back that is expected before any is seen.
func (p *Picker) Way(u *almondstep.Upstream) time.Duration {
	switch {
	case u.Zone == p.Zone:
		return sameZone
	case u.Region == p.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// coin draws one bit.
func (p *Picker) coin() bool {
	p.Seed = almondstep.Mix(p.Seed)
	return p.Seed&1 == 1
}
