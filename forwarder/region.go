package forwarder

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// minRegionalShards is the number of shards from which on forwarding them to
	// another region costs less than querying them from here.
	minRegionalShards = 3
	// regionalReplyMargin is reserved, in addition to the round-trip time, for a
	// regional delegate's reply to come back.
	regionalReplyMargin = 10 * time.Millisecond
	// regionalWorkMargin is the time that a regional delegate needs in addition to two
	// round-trip times: one to detect that it must call an upstream in a third region,
	// and one for that call.
	regionalWorkMargin = 10 * time.Millisecond
)

// regionalPart is the part of a request that a daemon of another region answers: the
// shards that have upstreams there and none in this daemon's region. One merged answer
// comes back instead of many parts.
type regionalPart struct {
	call   almondstep.CallID
	to     almondstep.DaemonID
	shards []almondstep.ServiceName
	// merged is the regional delegate's answer; ended is set when none can arrive
	// any more.
	merged *almondstep.MergedAnswer
	ended  bool
	// refused is set if the regional delegate refused it for lack of capacity.
	refused bool
}

// pending returns the number of shards that a regional delegate may still answer.
func (p *regionalPart) pending() int {
	if p == nil || p.ended {
		return 0
	}
	return len(p.shards)
}

// included returns the number of shards in the regional delegate's answer.
func (p *regionalPart) included() int {
	if p == nil || p.merged == nil {
		return 0
	}
	return len(p.merged.Signatures)
}

// total returns the number of shards of the request.
func (r *request) total() int {
	if r.regional == nil {
		return len(r.shards)
	}
	return len(r.shards) + len(r.regional.shards)
}

// isPart reports whether the request is itself a regional part, sent by a daemon of
// another region: it has no minimum coverage.
func (r *request) isPart() bool { return r.route.MinCoverage() <= 0 }

// delegatePart forwards the shards without an upstream in this region to a daemon of
// the region where most of them have one. The round-trip time to that daemon must be
// known; if it isn't, the shards are queried from here and the time is measured.
func (f *Forwarder) delegatePart(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	if !r.overShards() || r.isPart() {
		return
	}
	region, remote := f.remoteShards(r)
	if len(remote) < minRegionalShards || !r.route.Allows(region) {
		return
	}
	delegates := r.directory.RegionalDelegates(region)
	to, ok := f.delegates.pick(now, delegates, func(id almondstep.DaemonID) bool { return f.delegates.state(id).rttKnown(now) })
	f.measureRTT(now, delegates, out)
	if !ok {
		return
	}
	route, ok := r.partRoute(now, remote, f.delegates.state(to.ID).rtt)
	if !ok {
		return
	}
	remaining := r.deadline.Sub(now) - f.delegates.state(to.ID).rtt - delegateReplyTime + replyTime
	call := f.sendGather(now, r, to, route, remaining, out)
	r.regional = &regionalPart{call: call, to: to.ID, shards: remote}
	r.trace.RegionalDelegate = to.ID
	r.shards = slices.DeleteFunc(r.shards, func(s shard) bool { return slices.Contains(remote, s.service) })
	r.openShards = len(r.shards)
}

// measureRTT requests a measurement of the round-trip time to one of the delegates,
// if one is due.
func (f *Forwarder) measureRTT(now almondstep.Instant, delegates []almondstep.Delegate, out *[]almondstep.Effect) {
	for _, to := range delegates {
		s := f.delegates.state(to.ID)
		if s.needsRTT(now) {
			s.measuring = true
			*out = append(*out, &almondstep.MeasureRTT{To: to})
			return
		}
	}
}

// rttMeasured records the round-trip time to a regional delegate.
func (f *Forwarder) rttMeasured(now almondstep.Instant, e *almondstep.RTTMeasured) {
	s := f.delegates.state(e.To)
	if e.Err != "" {
		s.setRTT(now, 0)
		return
	}
	s.setRTT(now, e.Took)
}

// remoteShards returns, of the shards without an upstream in this region, the largest
// group that has upstreams in one other region, and that region.
func (f *Forwarder) remoteShards(r *request) (almondstep.RegionName, []almondstep.ServiceName) {
	byRegion := make(map[almondstep.RegionName][]almondstep.ServiceName)
	for i := range r.shards {
		s := r.shards[i].service
		upstreams := r.directory.Upstreams(s)
		if slices.ContainsFunc(upstreams, func(u *almondstep.Upstream) bool { return u.Region == f.region }) {
			continue
		}
		for region := range r.directory.RegionalDelegatesByRegion() {
			if slices.ContainsFunc(upstreams, func(u *almondstep.Upstream) bool { return u.Region == region }) {
				byRegion[region] = append(byRegion[region], s)
			}
		}
	}
	var best almondstep.RegionName
	for region, shards := range byRegion {
		most := len(byRegion[best])
		if len(shards) > most || len(shards) == most && f.prefers(r, region, best) {
			best = region
		}
	}
	return best, byRegion[best]
}

// prefers reports whether region a is preferred to region b, which has as many shards.
// Requests alternate between the two.
func (f *Forwarder) prefers(r *request, a, b almondstep.RegionName) bool {
	if uint64(r.id)%2 == 0 {
		return a < b
	}
	return a > b
}

// partRoute returns the route for the shards that a regional delegate answers; false
// if it would have too little time. The latency target makes the delegate answer, with
// the parts received by then, early enough for its reply to come back.
func (r *request) partRoute(now almondstep.Instant, remote []almondstep.ServiceName, rtt time.Duration) (*almondstep.Route, bool) {
	left := r.answerBy.Sub(now) - rtt - regionalReplyMargin
	if left < 2*rtt+regionalWorkMargin {
		return nil, false
	}
	spec := r.route.Spec()
	spec.Shards = remote
	spec.MinCoverage = 0
	spec.LatencyTarget = left + replyTime
	route, err := almondstep.NewRoute(spec)
	return &route, err == nil
}

// regionalEnded processes the end of the call to a regional delegate. If the part
// certainly hasn't run, its shards are queried from here.
func (f *Forwarder) regionalEnded(now almondstep.Instant, r *request, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	part := r.regional
	part.ended = true
	out = f.recordEnded(now, r, "helper", part.to, e, out)
	if r.answered {
		return f.forget(now, r, out)
	}
	if part.refused = refusedForCapacity(e); part.refused {
		// More calls from here would go to the same upstreams.
		return f.proceed(now, r, out)
	}
	if e.HasNotRun() {
		f.queryRegionalShards(now, r, &out)
	} else if e.Reply != nil {
		part.merged = e.Reply.Merged
		for _, u := range e.Reply.Trace.Disconnected {
			r.addDisconnected(now, u)
		}
		r.partUnanswered = e.Reply.Trace.Unanswered
	}
	return f.proceed(now, r, out)
}

// queryRegionalShards queries from here the shards that were forwarded to a regional
// delegate.
func (f *Forwarder) queryRegionalShards(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	services := r.regional.shards
	r.regional = nil
	for _, s := range services {
		r.shards = append(r.shards, shard{service: s})
		r.openShards++
		f.sendFirst(now, r, len(r.shards)-1, out)
	}
}

// cancelRegional cancels the pending call to a regional delegate, if any.
func (f *Forwarder) cancelRegional(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	part := r.regional
	if part == nil || part.ended {
		return out
	}
	part.ended = true
	return f.cancelGather(now, r, "helper", part.to, part.call, out)
}
