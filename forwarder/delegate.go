package forwarder

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// minDelegatedShards is the number of shards from which on delegating a request
	// costs less than querying the shards.
	minDelegatedShards = 8
	// delegateReplyTime is reserved for a delegate's reply to come back. The times
	// sent to a delegate are increased by replyTime, which the delegate itself
	// subtracts for its reply.
	delegateReplyTime = 5 * time.Millisecond
)

// delegatedCall is a request's call to a delegate.
type delegatedCall struct {
	call almondstep.CallID
	to   almondstep.DaemonID
}

// delegate forwards the request to a delegate that wasn't called yet; it returns false
// if this daemon must query the shards. Where upstreams accept fewer connections than
// there are daemons, and VMs differ in size, only daemons on the larger VMs query
// shards: each then has enough samples of its upstreams' latency, and a small VM isn't
// slowed down by the work for many calls.
//
// Example: 78 daemons, upstreams that accept 61 connections. 30 daemons hold two
// connections to each upstream, and the other 48 forward their requests to those of
// their zone.
func (f *Forwarder) delegate(now almondstep.Instant, r *request, out *[]almondstep.Effect) bool {
	if !f.mayDelegate(r) {
		return false
	}
	untried := func(id almondstep.DaemonID) bool { return !slices.Contains(r.triedDelegates, id) }
	to, ok := f.delegates.pick(now, r.directory.Delegates(), untried)
	if !ok {
		return false
	}
	call := f.sendGather(now, r, to, r.delegatedRoute(now), r.deadline.Sub(now)-delegateReplyTime+replyTime, out)
	r.delegated = &delegatedCall{call: call, to: to.ID}
	r.triedDelegates = append(r.triedDelegates, to.ID)
	return true
}

// sendGather forwards a request, or a part of one, to another daemon.
func (f *Forwarder) sendGather(now almondstep.Instant, r *request, to almondstep.Delegate, route *almondstep.Route, remaining time.Duration, out *[]almondstep.Effect) almondstep.CallID {
	f.lastCall++
	r.openCalls++
	f.delegates.sent(now, to.ID, f.lastCall)
	*out = append(*out, &almondstep.SendGather{ID: r.id, Call: f.lastCall, To: to, Request: almondstep.GatherRequest{
		Request:   r.message,
		Route:     route,
		Version:   r.trace.Version,
		Remaining: remaining,
	}})
	return f.lastCall
}

// recordEnded records how a call to a delegate or a regional delegate ended. what is
// the kind of delegate in the log line.
func (f *Forwarder) recordEnded(now almondstep.Instant, r *request, what string, to almondstep.DaemonID, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	r.openCalls--
	out = f.observeDelegate(now, r, to, e, out)
	if backoff := f.delegates.ended(now, to, e.Call, e.Reply != nil); backoff > 0 {
		out = append(out, backoffReport(what, string(to), e.Err, r, backoff))
	}
	if e.Reply == nil {
		return out
	}
	return f.markLeaving(now, r, e.Reply.Trace.Leaving, out)
}

// observeDelegate records what a reply says about the load of a delegate, before its call
// ends.
func (f *Forwarder) observeDelegate(now almondstep.Instant, r *request, to almondstep.DaemonID, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	s := f.delegates.state(to)
	sentAt, open := s.openCalls[e.Call]
	if e.Reply == nil || !open {
		return out
	}
	wasOverloaded := s.load.overloaded(now)
	if e.HasNotRun() {
		s.load.observeRefusal(now, e.Reply.Code)
	} else {
		s.load.observeReply(now, now.Sub(sentAt), e.Reply.Trace.DelegateLoad)
	}
	if s.load.overloaded(now) && !wasOverloaded {
		out = append(out, overloadReport(to, r))
	}
	return out
}

// cancelGather cancels a call to a delegate or a regional delegate. A delegate that
// has held the call for longer than delegateOverdue may be stalled and enters backoff.
func (f *Forwarder) cancelGather(now almondstep.Instant, r *request, what string, to almondstep.DaemonID, call almondstep.CallID, out []almondstep.Effect) []almondstep.Effect {
	r.openCalls--
	if backoff := f.delegates.canceled(now, to, call); backoff > 0 {
		out = append(out, backoffReport(what, string(to), "no answer", r, backoff))
	}
	return append(out, &almondstep.CancelCall{ID: r.id, Call: call})
}

// delegatedRoute returns the route with the time that is left of its latency target.
func (r *request) delegatedRoute(now almondstep.Instant) *almondstep.Route {
	spec := r.route.Spec()
	if spec.LatencyTarget > 0 {
		spec.LatencyTarget = max(minTimeLeft, r.answerBy.Sub(now)-delegateReplyTime+replyTime)
	}
	route, err := almondstep.NewRoute(spec)
	if err != nil {
		return r.route
	}
	return &route
}

// gatherEnded processes the end of a call to a delegate. If the request certainly
// hasn't run, it goes to another delegate, or to the shards directly if there is none.
// If it may have run and there is no reply, the outcome is unknown: calling all shards
// a second time would use up the retry budget.
func (f *Forwarder) gatherEnded(now almondstep.Instant, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[e.ID]
	if r != nil && r.regional != nil && r.regional.call == e.Call && !r.regional.ended {
		return f.regionalEnded(now, r, e, out)
	}
	if r == nil || r.delegated == nil || r.delegated.call != e.Call {
		return out
	}
	to := r.delegated.to
	r.delegated = nil
	out = f.recordEnded(now, r, "delegate", to, e, out)
	switch {
	case e.Reply != nil && (refusedForAll(e.Reply.Code) || r.finallyRefused(e.Reply)):
	case e.HasNotRun():
		if f.delegate(now, r, &out) {
			return out
		}
		return f.admitLocally(now, r, out)
	case e.Reply == nil:
		reply := &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed, Trace: r.trace}
		reply.Trace.Took = now.Sub(r.arrivedAt)
		reply.Trace.Delegate = to
		return f.answer(now, r, reply, out)
	}
	e.Reply.Trace.Took = now.Sub(r.arrivedAt)
	e.Reply.Trace.Delegate = to
	return f.answer(now, r, e.Reply, out)
}

// refusedForAll reports whether another daemon would refuse a request for the same reason
// as a delegate did.
func refusedForAll(code almondstep.RefusalCode) bool {
	return code == almondstep.CodeLimited || code == almondstep.CodeQuarantined
}

// cancelDelegated cancels a request's pending call to a delegate, if any.
func (f *Forwarder) cancelDelegated(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.delegated == nil {
		return out
	}
	d := r.delegated
	r.delegated = nil
	return f.cancelGather(now, r, "delegate", d.to, d.call, out)
}
