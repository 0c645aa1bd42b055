package forwarder

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// leastDelegated is the number of shards from which on handing a request over
	// costs less than asking them.
	leastDelegated = 8
	// hop is the time kept for a delegate's answer to come back.
	hop = 5 * time.Millisecond
)

// handed is a request's call to a delegate.
type handed struct {
	call almondstep.CallID
	to   almondstep.DaemonID
}

// handOver sends the request to a delegate that wasn't asked yet; false if it must
// be answered here. Where upstreams accept fewer connections than there are
// daemons, and VMs differ in size, only the larger ones ask shards: each then
// knows its upstreams well, and a small VM isn't held up by the work for many calls.
//
// Example: 78 daemons, upstreams that accept 61 connections. 30 daemons hold two
// connections to each upstream, and the other 48 hand their requests to those of
// their zone.
func (f *Forwarder) handOver(now almondstep.Instant, r *request, out *[]almondstep.Effect) bool {
	if r.own || len(r.route.Shards()) < leastDelegated || !r.route.Allows(f.region) {
		return false
	}
	untried := func(id almondstep.DaemonID) bool { return !slices.Contains(r.handedTo, id) }
	to, ok := f.mates.pick(now, r.directory.Delegates(), untried)
	if !ok {
		return false
	}
	call := f.sendGather(now, r, to, r.handedRoute(now), r.deadline.Sub(now)-hop+replyTime, out)
	r.handed = &handed{call: call, to: to.ID}
	r.handedTo = append(r.handedTo, to.ID)
	return true
}

// sendGather hands a request, or a part of one, to another daemon.
func (f *Forwarder) sendGather(now almondstep.Instant, r *request, to almondstep.Delegate, route *almondstep.Route, remaining time.Duration, out *[]almondstep.Effect) almondstep.CallID {
	f.lastCall++
	r.out++
	f.mates.sent(now, to.ID, f.lastCall)
	*out = append(*out, &almondstep.SendGather{ID: r.id, Call: f.lastCall, To: to, Request: almondstep.GatherRequest{
		Request:   r.message,
		Route:     route,
		Version:   r.trace.Version,
		Remaining: remaining,
	}})
	return f.lastCall
}

// noteEnded notes how a delegate or a helper answered.
func (f *Forwarder) noteEnded(now almondstep.Instant, r *request, what string, to almondstep.DaemonID, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	r.out--
	if away := f.mates.ended(now, to, e.Call, e.Reply != nil); away > 0 {
		out = append(out, leftAlone(what, string(to), e.Err, r, away))
	}
	return out
}

// giveUpCall gives a call to a delegate or a helper up. One that has held it for
// long may stand still, and is left alone.
func (f *Forwarder) giveUpCall(now almondstep.Instant, r *request, what string, to almondstep.DaemonID, call almondstep.CallID, out []almondstep.Effect) []almondstep.Effect {
	r.out--
	if away := f.mates.dropped(now, to, call); away > 0 {
		out = append(out, leftAlone(what, string(to), "no answer", r, away))
	}
	return append(out, &almondstep.CancelCall{ID: r.id, Call: call})
}

// handedRoute is the route with what is left of its latency target.
func (r *request) handedRoute(now almondstep.Instant) *almondstep.Route {
	p := r.route.Spec()
	if p.LatencyTarget > 0 {
		p.LatencyTarget = max(leastWait, r.answerBy.Sub(now)-hop+replyTime)
	}
	route, err := almondstep.NewRoute(p)
	if err != nil {
		return r.route
	}
	return &route
}

// gatherEnded takes a delegate's answer. Where the request hasn't run it goes to
// another one, and in the end to the shards themselves; where it may have run, its
// caller is told so, since asking all shards twice would use up the retry budget.
func (f *Forwarder) gatherEnded(now almondstep.Instant, e *almondstep.GatherEnded, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[e.ID]
	if r != nil && r.help != nil && r.help.call == e.Call && !r.help.ended {
		return f.helped(now, r, e, out)
	}
	if r == nil || r.handed == nil || r.handed.call != e.Call {
		return out
	}
	to := r.handed.to
	r.handed = nil
	out = f.noteEnded(now, r, "delegate", to, e, out)
	switch {
	case e.HasNotRun():
		if f.handOver(now, r, &out) {
			return out
		}
		return f.sendAll(now, r, out)
	case e.Reply == nil:
		reply := &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed, Trace: r.trace}
		reply.Trace.Took = now.Sub(r.arrivedAt)
		reply.Trace.Delegate = to
		return f.answer(r, reply, out)
	}
	e.Reply.Trace.Took = now.Sub(r.arrivedAt)
	e.Reply.Trace.Delegate = to
	return f.answer(r, e.Reply, out)
}

// dropHanded gives a request's call to a delegate up.
func (f *Forwarder) dropHanded(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.handed == nil {
		return out
	}
	h := r.handed
	r.handed = nil
	return f.giveUpCall(now, r, "delegate", h.to, h.call, out)
}
