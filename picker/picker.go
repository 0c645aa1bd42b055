package picker

import (
	"time"

	"almondstep"
)

const (
	// priorServiceTime is the part of the prior latency that isn't spent on round
	// trips. The prior latency is the one assumed before any observation.
	priorServiceTime = 10 * time.Millisecond
	// The deviation assumed before any observation is the prior latency divided by
	// priorDeviationDivisor.
	priorDeviationDivisor = 8
	// dialRoundTrips is the number of round trips of a call that opens a connection.
	dialRoundTrips = 2
	// The round-trip times that are assumed before any observation.
	sameZoneRTT    = time.Millisecond
	sameRegionRTT  = 4 * time.Millisecond
	otherRegionRTT = 30 * time.Millisecond
	// highLatencyDeviations is the number of deviations above the mean within which
	// nearly all answers arrive.
	highLatencyDeviations = 4
	// failureCost is the cost, in time, of a call that is certain to fail.
	failureCost = 200 * time.Millisecond
	// overdueCost is added for an upstream with an overdue call, which is likely to be
	// in a pause that continues.
	overdueCost = 60 * time.Millisecond
	// coldCost is added for a cold upstream, so that warm ones are preferred.
	coldCost = 40 * time.Millisecond
)

// Picker holds one traffic thread's observations of the upstreams. Set the fields
// before the first method call.
type Picker struct {
	// Zone and Region are the daemon's own.
	Zone   almondstep.ZoneName
	Region almondstep.RegionName
	// Seed is that of the random choice among upstreams of equal cost.
	Seed uint64

	upstreams map[almondstep.UpstreamID]*upstreamState
	// estimates holds the latency estimate of each group.
	estimates map[groupKey]*groupEstimate
	// groups maps each shard to its group, by the routes of version groupsVersion.
	groups        map[almondstep.ServiceName]almondstep.ServiceName
	groupsVersion almondstep.RouteVersion
}

// Pick returns the upstream of least cost among those that usable allows and that
// aren't in backoff, and whether there is one. If the second is nearly as cheap, it
// chooses one of the two at random.
func (p *Picker) Pick(now almondstep.Instant, among []*almondstep.Upstream, usable func(*almondstep.Upstream) bool) (*almondstep.Upstream, bool) {
	return p.pick(now, among, usable, true)
}

// PickWithoutTrial is like Pick for a call that isn't hedged if it is late: an upstream that is
// due for a trial has the cost of a slow one.
func (p *Picker) PickWithoutTrial(now almondstep.Instant, among []*almondstep.Upstream, usable func(*almondstep.Upstream) bool) (*almondstep.Upstream, bool) {
	return p.pick(now, among, usable, false)
}

func (p *Picker) pick(now almondstep.Instant, among []*almondstep.Upstream, usable func(*almondstep.Upstream) bool, trials bool) (*almondstep.Upstream, bool) {
	if len(among) == 0 {
		return nil, false
	}
	var best cheapest
	start := int(p.random() * float64(len(among)))
	for i := range among {
		u := among[(start+i)%len(among)]
		s := p.stateOf(u)
		if s.backoffLeft(now) > 0 || !usable(u) {
			continue
		}
		best.add(candidate{upstream: u, cost: p.cost(now, s, trials)})
	}
	if best.first.upstream == nil {
		return nil, false
	}
	return p.choose(&best), true
}

// cost returns the time in which the upstream is expected to answer one more request,
// plus penalties for likely failures and delays. trials reports whether it may be a trial call.
func (p *Picker) cost(now almondstep.Instant, s *upstreamState, trials bool) time.Duration {
	t := p.terms(now, s, trials)
	return t.Cost()
}

// ExpectedLatency is the time within which the upstream is likely to answer.
func (p *Picker) ExpectedLatency(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	mean, deviation := p.stateOf(u).expectedLatency(now)
	return mean + deviation
}

// HighLatency is the time within which nearly all answers of the upstream arrive.
func (p *Picker) HighLatency(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	return p.stateOf(u).highLatency(now)
}

// HasLatency reports whether there is a recent latency of the upstream or any latency
// of its group. Without one, an overdue call can't be detected.
func (p *Picker) HasLatency(now almondstep.Instant, u *almondstep.Upstream) bool {
	return p.stateOf(u).hasLatency(now)
}

// Cold reports whether the upstream is known to be cold, by its registry entry or by one of its
// answers.
func (p *Picker) Cold(now almondstep.Instant, u *almondstep.Upstream) bool {
	return p.stateOf(u).isCold(now)
}

// Unresponsive reports whether the upstream has left its latest calls unanswered, or has
// answered nothing since it got one that is overdue. A call that is sent now isn't why it is
// silent.
func (p *Picker) Unresponsive(now almondstep.Instant, u *almondstep.Upstream) bool {
	s := p.stateOf(u)
	return s.consecutiveUnanswered >= unresponsiveAfter || s.silentSinceOverdue(now)
}

// Sent records a call that is sent to an upstream.
func (p *Picker) Sent(now almondstep.Instant, u *almondstep.Upstream, call almondstep.CallID) {
	s := p.stateOf(u)
	if s.trialDue(now) {
		s.startTrial(now)
	}
	s.inFlight[call] = now
}

// Ended records how a call ended. It returns the backoff that starts now; 0 if none
// does or the upstream was already in one.
func (p *Picker) Ended(now almondstep.Instant, id almondstep.UpstreamID, e *almondstep.CallEnded) time.Duration {
	s, ok := p.upstreams[id]
	if !ok {
		return 0
	}
	wasInBackoff := now < s.backoffUntil
	delete(s.inFlight, e.Call)
	s.updateFromResponse(now, e)
	s.recordResult(now, e)
	if wasInBackoff || now >= s.backoffUntil {
		return 0
	}
	return s.backoffUntil.Sub(now)
}

// Checked records what an upstream says in its answer to a status check.
func (p *Picker) Checked(now almondstep.Instant, u *almondstep.Upstream, e *almondstep.CallEnded) {
	if e.ColdFor > 0 {
		p.stateOf(u).cold.answered(now, e.ColdFor)
	}
}

// recordResult updates the observations with a call's result.
func (u *upstreamState) recordResult(now almondstep.Instant, e *almondstep.CallEnded) {
	switch e.Result {
	case almondstep.CallDone:
		u.resetBackoff()
		u.recordLatency(now, e.Took)
		u.observeOutcome(now, false)
	case almondstep.CallShed, almondstep.CallRejected, almondstep.CallInvalidResponse:
		u.resetBackoff()
		u.observeOutcome(now, true)
	case almondstep.CallRefused:
		u.observeOutcome(now, true)
		u.startBackoff(now)
	case almondstep.CallMisdirected:
		u.backoffUntil = now.Add(misdirectedBackoff)
	case almondstep.CallBroken, almondstep.CallTimeout:
		u.recordUnanswered(now)
	case almondstep.CallCanceled:
		if e.Took > u.highLatency(now) {
			u.recordUnanswered(now)
		}
	default:
	}
}

// updateFromResponse stores the load and remaining warm-up time that the upstream
// reported.
func (u *upstreamState) updateFromResponse(now almondstep.Instant, e *almondstep.CallEnded) {
	if e.Response != nil {
		u.answeredAt = now
	}
	if e.Load != nil {
		u.load = *e.Load
		u.loadAt = now
		u.pace.observe(now, e.Load.Pace)
	}
	if e.ColdFor > 0 {
		u.cold.answered(now, e.ColdFor)
	}
}

// UpdateDirectory updates the groups and what the entries of upstreams say, and removes the state
// of upstreams that the directory no longer lists and that have no calls in flight.
func (p *Picker) UpdateDirectory(d *almondstep.Directory) {
	p.updateGroups(d)
	for _, s := range p.upstreams {
		s.listed = false
	}
	for _, all := range d.AllUpstreams() {
		for _, u := range all {
			p.updateListed(u)
		}
	}
	for id, s := range p.upstreams {
		if !s.listed && len(s.inFlight) == 0 {
			delete(p.upstreams, id)
		}
	}
}

// updateListed takes over the newest entry of an upstream. One without a state, of which nothing is
// known, gets one if it is cold.
func (p *Picker) updateListed(u *almondstep.Upstream) {
	s, ok := p.upstreams[u.ID]
	switch {
	case ok && s.started.Equal(u.Started):
		s.cold.listed(u)
	case ok || u.ColdFor > 0:
		s = p.addState(u)
	default:
		return
	}
	s.listed = true
}

// stateOf returns an upstream's state, creating it if the upstream is new or
// restarted. A request that began under an earlier directory may still name an earlier run.
func (p *Picker) stateOf(u *almondstep.Upstream) *upstreamState {
	if s, ok := p.upstreams[u.ID]; ok && (s.listed || s.started.Equal(u.Started)) {
		return s
	}
	return p.addState(u)
}

// addState creates the state of an upstream's run.
func (p *Picker) addState(u *almondstep.Upstream) *upstreamState {
	if p.upstreams == nil {
		p.upstreams = make(map[almondstep.UpstreamID]*upstreamState)
	}
	s := &upstreamState{
		started:  u.Started,
		prior:    dialRoundTrips*p.PriorRTT(u) + priorServiceTime,
		rtt:      p.PriorRTT(u),
		group:    p.groupOf(u),
		slots:    max(1, u.Slots),
		inFlight: make(map[almondstep.CallID]almondstep.Instant),
	}
	s.cold.listed(u)
	p.upstreams[u.ID] = s
	return s
}

// PriorRTT is the round-trip time to the upstream that is assumed before any observation.
func (p *Picker) PriorRTT(u *almondstep.Upstream) time.Duration {
	switch {
	case u.Zone == p.Zone:
		return sameZoneRTT
	case u.Region == p.Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}
