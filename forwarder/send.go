package forwarder

import (
	"slices"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

const (
	// minHedgeDelay keeps fast upstreams from being hedged at every scheduling
	// delay.
	minHedgeDelay = 12 * time.Millisecond
	// minUsefulFor is the minimum time for which a response to a shard's call is
	// useful, so that one sent just before the answer is due can still be answered.
	minUsefulFor = 15 * time.Millisecond
	// abandonedCallTimeout is how long a call that is no longer needed may still be
	// answered before its connection is closed.
	abandonedCallTimeout = 150 * time.Millisecond
)

// send calls the best upstream not yet tried for a shard; it returns false if there
// is none. The caller has checked that another call is allowed.
func (f *Forwarder) send(now almondstep.Instant, r *request, i int, kind budgeter.CallKind, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	if f.quarantined(r) && r.recheck != recheckClaimed {
		return false
	}
	u, ok := f.choose(now, r, s, kind)
	if !ok {
		return false
	}
	f.lastCall++
	id := f.lastCall
	f.calls[id] = callRef{shard: i, call: len(s.calls)}
	s.calls = append(s.calls, call{
		id: id, upstream: u, sentAt: now, unresponsive: f.picker.Unresponsive(now, u), returning: f.pauses.Sent(u.ID),
	})
	s.hedgeAt = f.hedgeTime(now, r, s, u)
	r.openCalls++
	r.trace.Calls++
	f.load.countCall(now)
	f.picker.Sent(now, u, id)
	if f.rollouts.sent(u) {
		r.trace.Exposed++
	}
	f.gate.Sent(now, u.ID)
	f.checkStatus(now, r, u, out)
	*out = append(*out, &almondstep.SendCall{
		ID:              r.id,
		Call:            id,
		Upstream:        u,
		Request:         r.message,
		Timeout:         r.deadline.Sub(now),
		UsefulFor:       r.usefulFor(now),
		Records:         r.records(),
		Connections:     f.connections(r, s.service),
		FreshConnection: !r.route.Idempotent(),
	})
	return true
}

// usefulFor returns how long a call's answer is useful. A shard's part is of little use
// once the answer has been sent. An upstream with a queue drops the calls that it
// can't answer within this time, and so has more time for the others.
func (r *request) usefulFor(now almondstep.Instant) time.Duration {
	if r.overShards() && now < r.answerBy {
		return max(minUsefulFor, r.answerBy.Sub(now))
	}
	return r.deadline.Sub(now)
}

// records returns the maximum number of a part's records that can be in the answer; 0
// means all.
func (r *request) records() int {
	if !r.overShards() {
		return 0
	}
	return r.route.Records()
}

// upstreams lists the upstreams of a service that may get calls of a request now. The request is bound
// to the routes that were in force when it arrived, but not to the upstreams that were listed then: one
// may have announced that it leaves, or its zone may have been drained.
func (f *Forwarder) upstreams(r *request, service almondstep.ServiceName) []*almondstep.Upstream {
	if d := f.view.Directory(); d != nil {
		return d.Upstreams(service)
	}
	return r.directory.Upstreams(service)
}

// choose picks the upstream for a shard's next call: one of the version in rollout, if the call
// belongs to that version's share and one can be called.
func (f *Forwarder) choose(now almondstep.Instant, r *request, s *shard, kind budgeter.CallKind) (*almondstep.Upstream, bool) {
	if f.rollouts.prefersNew(r, s.service, kind) {
		isNew := func(u *almondstep.Upstream) bool { return f.rollouts.isNew(u) }
		if u, ok := f.chooseAmong(now, r, s, kind, isNew); ok {
			return u, true
		}
	}
	return f.chooseAmong(now, r, s, kind, func(*almondstep.Upstream) bool { return true })
}

// chooseAmong picks the best of the upstreams that pass a filter. A cold upstream, and one that
// states a limit, is used only within this daemon's share of its rate of calls.
func (f *Forwarder) chooseAmong(now almondstep.Instant, r *request, s *shard, kind budgeter.CallKind, passes func(*almondstep.Upstream) bool) (*almondstep.Upstream, bool) {
	var overRate []*almondstep.Upstream
	usable := func(u *almondstep.Upstream) bool {
		return passes(u) && !slices.Contains(overRate, u) && f.mayCall(now, r, s, u, kind)
	}
	pick := f.picker.PickWithoutTrial
	if r.mayBeTrial(kind) {
		pick = f.picker.Pick
	}
	for {
		u, ok := pick(now, f.upstreams(r, s.service), usable)
		if !ok {
			return nil, false
		}
		if f.takeCold(now, r, s, u) {
			return u, f.rates.Take(now, u, r.budgetDivisor(s.service))
		}
		overRate = append(overRate, u)
	}
}

// mayBeTrial reports whether a call may be a trial of a slow upstream: only a first call that is
// hedged if it is late, since a request must not miss its latency target for a trial.
func (r *request) mayBeTrial(kind budgeter.CallKind) bool {
	return kind == budgeter.First && r.route.Idempotent() && r.route.Attempts() > 1
}

// mayCall reports whether an upstream may be called now for a shard, apart from the limit on
// calls to a cold one. An upstream that has said that it leaves gets no calls, and one that has
// asked for a pause none until its end; its service gets no hedges for some time, which would fill
// the others. Nor does an upstream that states a limit, which leaves what it takes to the calls
// that need it.
func (f *Forwarder) mayCall(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream, kind budgeter.CallKind) bool {
	return f.whyNotCalled(now, r, s, u, kind) == ""
}

// whyNotCalled returns why an upstream may not be called for a shard, as in mayCall; empty if
// it may.
func (f *Forwarder) whyNotCalled(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream, kind budgeter.CallKind) string {
	switch {
	case !r.route.Allows(u.Region):
		return "region"
	case s.tried(u):
		return "tried"
	case f.leaving.has(u):
		return "leaving"
	case f.pauseWait(now, u) > 0, kind == budgeter.Hedge && f.pauses.FillsUp(now, u.Service):
		return "pause"
	case !f.rollouts.mayCall(r, u, kind):
		return "rollout"
	case !f.rates.Limited(now, u):
		return ""
	case kind == budgeter.Hedge || f.rates.Wait(now, u, r.budgetDivisor(s.service)) > 0:
		return "limit"
	}
	return ""
}

// minGathererConnections is the number of connections that a gatherer keeps for itself
// before it leaves a part to daemons that query shards only while they have no delegate.
const minGathererConnections = 2

// connections returns this daemon's share of the connections to one upstream. Gatherers leave
// a fifth of those to an upstream of a shard to the other daemons, as they do of the budgets.
func (f *Forwarder) connections(r *request, s almondstep.ServiceName) int {
	service, _ := r.directory.Routes().Service(s)
	limit := service.MaxConnections
	if !r.directory.Routes().IsShard(s) || r.directory.Unlisted() || len(r.directory.Delegates()) > 0 {
		return max(1, limit/r.directory.Daemons())
	}
	share := limit / r.directory.Gatherers()
	if r.directory.Gatherers() < r.directory.Daemons() {
		share = max(min(share, minGathererConnections), share*(othersDivisor-1)/othersDivisor)
	}
	return max(1, share)
}

// Four fifths of a limit on the calls to shards are shared by the daemons that
// query shards (the gatherers), and one fifth by the others, which do so only while
// they have no delegate. Each gatherer divides the limit by 5/4 of their number, and
// each other daemon by 5 times the number of these.
const (
	gathererDivisorNum = 5
	gathererDivisorDen = 4
	othersDivisor      = 5
)

// budgetDivisor returns the number by which this daemon divides a fleet-wide limit.
func (r *request) budgetDivisor(s almondstep.ServiceName) int { return BudgetDivisor(r.directory, s) }

// BudgetDivisor returns the number by which a daemon divides a limit on the calls
// of all daemons to a service. A daemon whose directory has no delegates is assumed to
// query shards. One that isn't listed yet takes a small part, since the others divide the limit
// without it: a fifth of an equal share.
//
// Example: 78 daemons, of which 30 query shards. These divide by 38, and the other 48
// by 240: together they have 30/38 + 48/240, or 0.99 of the limit.
func BudgetDivisor(d *almondstep.Directory, s almondstep.ServiceName) int {
	others := d.Daemons() - d.Gatherers()
	switch {
	case d.Unlisted():
		return (d.Daemons() + 1) * othersDivisor
	case others == 0 || !d.Routes().IsShard(s):
		return d.Daemons()
	case len(d.Delegates()) > 0:
		return others * othersDivisor
	default:
		return (d.Gatherers()*gathererDivisorNum + gathererDivisorDen - 1) / gathererDivisorDen
	}
}

// hedgeTime returns when to hedge a call to u: as late as a hedge is still likely to
// be answered by answerBy, even if the other upstream is slow and a connection to it
// must be opened first. An answer within the latency target is worth no more for
// being faster, while each hedge avoided by waiting leaves budget for a shard that
// needs it. If u usually takes longer than that, its answer is awaited for its usual
// time, as long as the other upstream can be expected to answer in time.
func (f *Forwarder) hedgeTime(now almondstep.Instant, r *request, s *shard, u *almondstep.Upstream) almondstep.Instant {
	usual := now.Add(max(minHedgeDelay, f.picker.HighLatency(now, u)))
	if !f.picker.HasLatency(now, u) {
		usual = r.answerBy
	}
	other, ok := f.fastestUntried(now, r, s, budgeter.Hedge)
	if !ok {
		return usual
	}
	soonest := now.Add(max(minHedgeDelay, f.picker.ExpectedLatency(now, u)))
	last := r.answerBy.Add(-f.picker.ExpectedLatency(now, other))
	safe := r.answerBy.Add(-f.picker.HighLatency(now, other))
	if f.picker.HasLatency(now, other) {
		// The latency was measured mostly over open connections; opening one takes a
		// further round trip.
		safe = safe.Add(-f.picker.PriorRTT(other))
	}
	return max(soonest, min(last, max(usual, safe)))
}

// fastestUntried returns the upstream that may be called for a shard and is likely to
// answer first.
func (f *Forwarder) fastestUntried(now almondstep.Instant, r *request, s *shard, kind budgeter.CallKind) (*almondstep.Upstream, bool) {
	var best *almondstep.Upstream
	var least time.Duration
	for _, u := range f.upstreams(r, s.service) {
		if !f.mayCall(now, r, s, u, kind) {
			continue
		}
		if expected := f.picker.ExpectedLatency(now, u); best == nil || expected < least {
			best, least = u, expected
		}
	}
	return best, best != nil
}
