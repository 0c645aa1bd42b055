package forwarder

import (
	"cmp"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

const (
	// noConfigurationRetryAfter is the delay after which a caller may retry at a
	// daemon that has no routes, or whose routes may be out of date.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// noReplicaRetryAfter is the delay after which a caller may retry if too few
	// upstreams could be reached: short enough for its deadline, long enough for
	// upstreams to be listed again.
	noReplicaRetryAfter = 250 * time.Millisecond
)

// requestArrived identifies a request, and refuses it or passes it on to quota, admission and
// dispatch. It returns the state of the request; nil if no route matches.
func (f *Forwarder) requestArrived(now almondstep.Instant, v *almondstep.View, e *almondstep.RequestArrived, out []almondstep.Effect) (*request, []almondstep.Effect) {
	d := v.Directory()
	if d == nil || d.Routes() == nil {
		return nil, append(out, refuse(e.ID, almondstep.CodeNoConfiguration, noConfigurationRetryAfter))
	}
	r := f.newRequest(d, e)
	if r == nil && !v.DirectoryFresh(now) {
		// The route may have been added since the routes were last confirmed.
		return nil, append(out, refuse(e.ID, almondstep.CodeNoConfiguration, noConfigurationRetryAfter))
	}
	if r == nil {
		return nil, append(out, refuse(e.ID, almondstep.CodeUnknownRoute, 0))
	}
	if refusal := f.identify(now, v, r); refusal != nil {
		return r, append(out, refusal)
	}
	if f.quarantined(r) {
		if !f.wantsRecheck(now, r) {
			return r, append(out, f.refuseQuarantined(now, r))
		}
		r.recheck = recheckWanted
	}
	r.setDeadlines(cmp.Or(e.At, now), e.Remaining)
	f.observeLag(now, r)
	if now >= r.deadline {
		return r, append(out, refuse(e.ID, almondstep.CodeDeadline, 0))
	}
	if f.stopsTooSoon(r) {
		return r, append(out, refuse(e.ID, almondstep.CodeStopping, stoppingRetryAfter))
	}
	r.capDeadline(f.view.AnswerBy())
	return r, f.takeQuota(now, r, out)
}

// dispatch delegates the request, or sends its calls. If a request was admitted for delegation only
// and no delegate is usable, admission decides anew: this daemon then makes all its calls.
func (f *Forwarder) dispatch(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.recheck == recheckWanted {
		return f.claimRecheck(now, r, out)
	}
	if f.delegate(now, r, &out) {
		f.requests[r.id] = r
		return r.setTimer(now, out)
	}
	if r.admission.admitted && !r.admission.local && f.mayDelegate(r) {
		return f.admitLocally(now, r, out)
	}
	return f.sendAll(now, r, out)
}

// newRequest returns the state of a new request. The route is looked up unless another
// daemon has delegated the request along with its route; the result is nil if no
// route matches.
func (f *Forwarder) newRequest(d *almondstep.Directory, e *almondstep.RequestArrived) *request {
	r := &request{id: e.ID, message: e.Request, route: e.Route, directory: d, asDelegate: e.Route != nil}
	r.trace.Version = e.Version
	if !r.asDelegate {
		route, ok := d.Routes().Match(e.Request.Host, e.Request.Path)
		if !ok {
			return nil
		}
		r.route = route
		r.trace.Version = d.Routes().Version()
	}
	r.trace.Route = r.route.Name()
	return r
}

// sendAll sends the first call of each shard, if enough shards can be reached.
func (f *Forwarder) sendAll(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	f.addShards(r)
	if r.overShards() {
		if reachable := f.reachable(now, r); !r.covers(reachable) {
			delete(f.requests, r.id)
			f.releaseAdmission(now, r)
			return f.endRecheck(r, r.returnQuota(append(out, refuseUnsent(r, reachable))))
		}
	}
	r.trace.Missing = nil
	f.requests[r.id] = r
	if r.recheck == recheckClaimed {
		f.sendRecheck(now, r, &out)
		return f.proceed(now, r, out)
	}
	f.delegatePart(now, r, &out)
	for i := range r.shards {
		f.sendFirst(now, r, i, &out)
	}
	return f.proceed(now, r, out)
}

// sendFirst sends a shard's first call, or marks the shard missing if no upstream
// can be called.
func (f *Forwarder) sendFirst(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) {
	s := &r.shards[i]
	f.budget.CountRequest(now, s.service)
	f.rollouts.countRequest(s.service)
	if !f.send(now, r, i, budgeter.First, out) {
		s.limitWait = f.limitWait(now, r, s)
		r.markMissing(i, almondstep.CallRefused)
	}
}

// reachable returns the number of shards with an upstream that can be called, and
// adds the first few of the others to the trace.
func (f *Forwarder) reachable(now almondstep.Instant, r *request) int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		usable := func(u *almondstep.Upstream) bool { return f.mayCall(now, r, s, u, budgeter.First) }
		if _, ok := f.picker.Pick(now, f.upstreams(r, s.service), usable); ok {
			n++
			continue
		}
		s.limitWait = f.limitWait(now, r, s)
		if len(r.trace.Missing) < maxTraceMissing {
			r.trace.Missing = append(r.trace.Missing, r.missing(s))
		}
	}
	return n
}

// refuseUnsent refuses a request for which too few shards can be reached. Calls for an
// answer that can't have the required coverage would be wasted work at the upstreams.
func refuseUnsent(r *request, reachable int) *almondstep.ReplyRequest {
	code, after := r.refusal(reachable)
	refusal := refuse(r.id, code, after)
	refusal.Reply.Trace = r.trace
	refusal.Reply.Trace.Limited = r.limitedShards()
	return refusal
}

func refuse(id almondstep.QueryID, code almondstep.RefusalCode, after time.Duration) *almondstep.ReplyRequest {
	return &almondstep.ReplyRequest{ID: id, Reply: &almondstep.Reply{
		Outcome:    almondstep.OutcomeNotRun,
		Code:       code,
		RetryAfter: after,
	}}
}

// addShards sets the services that the request is sent to: the route's shards, or
// one of its targets.
func (f *Forwarder) addShards(r *request) {
	services := r.route.Shards()
	if !r.overShards() {
		services = []almondstep.ServiceName{f.serviceOf(r)}
	}
	r.shards = make([]shard, len(services))
	for i, s := range services {
		r.shards[i].service = s
	}
	r.openShards = len(r.shards)
	r.trace.Shards = len(r.shards)
}

// targetBalancer distributes a route's requests over its targets in proportion to
// their weights (smooth weighted round robin).
type targetBalancer struct {
	credit map[almondstep.ServiceName]float64
}

// target chooses the service for a request that isn't over shards.
func (f *Forwarder) target(r *almondstep.Route) almondstep.ServiceName {
	targets := r.Targets()
	if len(targets) == 1 {
		return targets[0].Service
	}
	s, ok := f.balancers[r.Name()]
	if !ok {
		s = &targetBalancer{credit: make(map[almondstep.ServiceName]float64)}
		f.balancers[r.Name()] = s
	}
	return s.next(targets)
}

// next chooses the target of the next request.
func (b *targetBalancer) next(targets []almondstep.RouteTarget) almondstep.ServiceName {
	sum := 0.0
	best := targets[0].Service
	for _, t := range targets {
		sum += t.Weight
		b.credit[t.Service] += t.Weight
		if b.credit[t.Service] > b.credit[best] {
			best = t.Service
		}
	}
	b.credit[best] -= sum
	return best
}
