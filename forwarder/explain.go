package forwarder

import (
	"time"

	"almondstep"
	"almondstep/budgeter"
)

// explainedKey is the ID of a request that is explained, in log lines that aren't written.
const explainedKey = "explain"

// explain returns where a request would go now and why. The request passes the same functions
// as one that arrives, in a copy of the state, whose effects are dropped.
func (f *Forwarder) explain(now almondstep.Instant, v *almondstep.View, e *almondstep.ExplainRequest) *almondstep.Explanation {
	c := f.copy()
	c.view, c.explains = v, true
	r, out := c.requestArrived(now, v, &almondstep.RequestArrived{
		ID: e.ID, Remaining: e.Remaining,
		Request: &almondstep.RequestMessage{
			Key: explainedKey, Method: "GET", Target: e.Path, Path: e.Path, Host: e.Host, Organisation: e.Organisation,
		},
	}, nil)
	if r != nil && r.quota == quotaAsked {
		granted := &almondstep.QuotaDecided{ID: e.ID, Organisation: r.organisation.Name(), Granted: true}
		out = c.quotaDecided(now, granted, out)
	}
	x := &almondstep.Explanation{Decision: almondstep.ExplainedCall}
	describeRefusal(c.startWaiting(now, out), e.ID, x)
	if r == nil {
		return x
	}
	c.describe(r, x)
	if r.delegated == nil {
		f.describeShards(now, v, c, r, x)
	}
	return x
}

// describeRefusal adds the refusal of the request, if the effects have one.
func describeRefusal(effects []almondstep.Effect, id almondstep.QueryID, x *almondstep.Explanation) {
	for _, effect := range effects {
		if reply, ok := effect.(*almondstep.ReplyRequest); ok && reply.ID == id {
			x.Decision, x.Code = almondstep.ExplainedRefuse, reply.Reply.Code
			x.RetryAfterMillis = millis(reply.Reply.RetryAfter)
		}
	}
}

// describe adds what was decided on the request as a whole.
func (f *Forwarder) describe(r *request, x *almondstep.Explanation) {
	x.Route, x.Version, x.Priority = r.route.Name(), r.trace.Version, r.route.Priority()
	if o := r.organisation; o != nil {
		x.Organisation, x.Rate, x.Burst = o.Name(), o.Rate(), o.Burst()
	}
	x.Short = string(r.admission.short)
	switch {
	case r.admission.waiting:
		x.Decision = almondstep.ExplainedWait
	case r.delegated != nil:
		x.Decision, x.Delegate = almondstep.ExplainedDelegate, r.delegated.to
	case x.Decision == almondstep.ExplainedCall && f.mayDelegate(r):
		x.NoDelegate = "each delegate is in backoff, stalled or overloaded"
	default:
		x.NoDelegate = f.whyNotDelegated(r)
	}
	if r.regional != nil {
		x.RegionalDelegate, x.RegionalShards = r.regional.to, r.regional.shards
	}
}

// describeShards adds the shards of the request with their candidates, as these are before the
// request's own calls; after is the state after these. A request that waits, or that is refused
// for lack of capacity, would go to the same ones.
func (f *Forwarder) describeShards(now almondstep.Instant, v *almondstep.View, after *Forwarder, r *request, x *almondstep.Explanation) {
	before := f.copy()
	before.view = v
	if len(r.shards) == 0 && r.admission.short != "" && (r.admission.local || !f.mayDelegate(r)) {
		before.addShards(r)
	}
	for i := range r.shards {
		if i >= almondstep.MaxExplainedShards {
			x.OmittedShards = len(r.shards) - i
			return
		}
		s := &r.shards[i]
		described := before.describeShard(now, r, s.service)
		if len(s.calls) > 0 {
			described.Chosen = s.calls[0].upstream.ID
			_, other := after.fastestUntried(now, r, s, budgeter.Hedge)
			if other && r.mayHedge(s) && s.hedgeAt < r.deadline {
				described.HedgeAfterMillis = millis(s.hedgeAt.Sub(now))
			}
		}
		x.Shards = append(x.Shards, described)
	}
}

// describeShard returns a shard with the upstreams that may get its first call.
func (f *Forwarder) describeShard(now almondstep.Instant, r *request, service almondstep.ServiceName) almondstep.ExplainedShard {
	s := &shard{service: service}
	f.rollouts.countRequest(service)
	described := almondstep.ExplainedShard{Service: service}
	for i, u := range r.directory.Upstreams(service) {
		if i >= almondstep.MaxExplainedCandidates {
			described.OmittedCandidates = len(r.directory.Upstreams(service)) - i
			break
		}
		described.Candidates = append(described.Candidates, f.describeCandidate(now, r, s, u))
	}
	return described
}

func (f *Forwarder) describeCandidate(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) almondstep.ExplainedCandidate {
	t := f.picker.Terms(now, u, r.mayBeTrial(budgeter.First))
	return almondstep.ExplainedCandidate{
		Upstream: u.ID, Zone: u.Zone, Region: u.Region, Version: u.Version,
		Excluded:   f.exclusion(now, r, s, u),
		CostMillis: millis(t.Cost()), LatencyMillis: millis(t.Latency), FailuresMillis: millis(t.Failures),
		QueueMillis: millis(t.Queue), OverdueMillis: millis(t.Overdue), ColdMillis: millis(t.Cold),
		MeanMillis: millis(t.Mean), DeviationMillis: millis(t.Deviation), PacePercent: f.picker.Pace(now, u),
		Trial: t.Trial, BackoffMillis: millis(f.picker.Backoff(now, u)),
	}
}

// exclusion returns why an upstream can't get a shard's first call; empty if it can. It takes the
// call from the rate of a cold upstream.
func (f *Forwarder) exclusion(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) string {
	if f.picker.Backoff(now, u) > 0 {
		return "backoff"
	}
	if why := f.whyNotCalled(now, r, s, u, budgeter.First); why != "" {
		return why
	}
	if !f.takeCold(now, r, s, u) {
		return "cold"
	}
	return ""
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
