package forwarder

import (
	"strconv"
	"time"

	"almondstep"
	"almondstep/admitter"
	"almondstep/budgeter"
)

// delegatedWork is the work of a request that is delegated, in calls to shards: receiving,
// forwarding and answering it.
const delegatedWork = 4

// maxOverloadedDelegates is the number of delegates that may refuse a request for lack of
// processor time before its caller gets the refusal.
const maxOverloadedDelegates = 2

// admission is the state of a request's admission.
type admission struct {
	// waiting is set while the request waits for capacity, since the given time.
	waiting bool
	since   almondstep.Instant
	// work is the work that was asked for; admitted is set once the request may run.
	work     int
	admitted bool
	// local is set if no delegate is left that might take the request.
	local bool
	// service is the service of a request that isn't over shards, once it is chosen.
	service almondstep.ServiceName
	// short is what the request lacks or lacked.
	short admitter.Cause
}

// admit decides whether the request runs now, waits, or is refused for lack of capacity.
// Where the routes define no organisations, each request runs.
func (f *Forwarder) admit(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if !r.directory.Routes().HasOrganisations() {
		return f.dispatch(now, r, out)
	}
	r.trace.Priority = r.route.Priority()
	ask := f.ask(r)
	r.admission.work = ask.Work
	v := f.gate.Offer(now, ask)
	out = f.reportPressure(now, ask.Service, out)
	if v.Displaced != 0 {
		out = f.refuseShort(now, f.requests[v.Displaced], *v.DisplacedVerdict, out)
	}
	switch v.Decision {
	case admitter.Wait:
		r.admission.waiting, r.admission.since, r.admission.short = true, now, v.Cause
		f.requests[r.id] = r
		return r.setCheck(now, v.CheckAt, out)
	case admitter.Refuse:
		f.requests[r.id] = r
		return f.refuseShort(now, r, v, out)
	default:
		r.admission.admitted = true
		return f.dispatch(now, r, out)
	}
}

// admitLocally decides anew on a request that no delegate has taken, since this daemon calls
// the shards now.
func (f *Forwarder) admitLocally(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	f.releaseAdmission(now, r)
	r.admission.local = true
	return f.admit(now, r, out)
}

// observeLag records how long after its arrival the request is handled. A processor that is
// short of capacity handles events late.
func (f *Forwarder) observeLag(now almondstep.Instant, r *request) {
	if r.directory.Routes().HasOrganisations() {
		f.gate.Lagged(now, now.Sub(r.arrivedAt))
	}
}

// ask returns the description of the request for admission.
func (f *Forwarder) ask(r *request) admitter.Ask {
	a := admitter.Ask{
		ID:           r.id,
		Route:        r.route,
		Service:      f.serviceOf(r),
		Local:        r.admission.local || !f.mayDelegate(r),
		Priority:     r.route.Priority(),
		Organisation: r.message.Organisation,
		Work:         max(1, len(r.route.Shards())),
		ArrivedAt:    r.arrivedAt,
		AnswerBy:     r.answerBy,
		Deadline:     r.deadline,
	}
	if !a.Local {
		a.Work = delegatedWork
	}
	return a
}

// serviceOf returns the service of a request that isn't over shards, or the first shard.
func (f *Forwarder) serviceOf(r *request) almondstep.ServiceName {
	if r.overShards() {
		return r.route.Shards()[0]
	}
	if r.admission.service == "" {
		r.admission.service = f.target(r.route)
	}
	return r.admission.service
}

// mayDelegate reports whether the request is one that this daemon delegates.
func (f *Forwarder) mayDelegate(r *request) bool {
	return f.whyNotDelegated(r) == ""
}

// whyNotDelegated returns why this daemon doesn't delegate the request; empty if it does.
func (f *Forwarder) whyNotDelegated(r *request) string {
	switch {
	case r.asDelegate:
		return "another daemon has delegated the request"
	case len(r.route.Shards()) < minDelegatedShards:
		return "fewer shards than are delegated"
	case !r.route.Allows(f.region):
		return "the route or the organisation excludes this daemon's region"
	case len(r.directory.Delegates()) == 0:
		return "this daemon queries shards itself"
	}
	return ""
}

// startWaiting starts the waiting requests for which there is capacity.
func (f *Forwarder) startWaiting(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	for f.gate.Waiting() > 0 {
		id, ok := f.gate.Next(now)
		if !ok {
			break
		}
		r := f.requests[id]
		r.admission.admitted = true
		r.endWait(now)
		if f.directory != nil {
			// Upstreams and delegates may have changed during the wait.
			r.directory = f.directory
		}
		out = f.dispatch(now, r, out)
	}
	return out
}

// endWait records the end of the request's wait in its trace.
func (r *request) endWait(now almondstep.Instant) {
	r.admission.waiting = false
	r.trace.Waited += now.Sub(r.admission.since)
	r.trace.Short = string(r.admission.short)
}

// setCheck sets a timer for the next decision on a waiting request.
func (r *request) setCheck(now, at almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	at = min(at, r.deadline)
	if r.timerAt != 0 && r.timerAt <= at {
		return out
	}
	r.timerAt = at
	return append(out, &almondstep.SetRequestTimer{ID: r.id, After: max(0, at.Sub(now))})
}

// checkWaiting decides again on a waiting request whose timer has expired.
func (f *Forwarder) checkWaiting(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	out = f.startWaiting(now, out)
	if !r.admission.waiting {
		return out
	}
	v := f.gate.Check(now, r.id)
	if v.Decision == admitter.Refuse {
		return f.refuseShort(now, r, v, out)
	}
	return r.setCheck(now, v.CheckAt, out)
}

// refuseShort refuses a request for lack of capacity.
func (f *Forwarder) refuseShort(now almondstep.Instant, r *request, v admitter.Verdict, out []almondstep.Effect) []almondstep.Effect {
	r.admission.short = v.Cause
	r.trace.Short = string(v.Cause)
	return f.refuseWaiting(now, r, almondstep.CodeOverload, v.RetryAfter, out)
}

// refuseWaiting refuses a request that hasn't been sent.
func (f *Forwarder) refuseWaiting(now almondstep.Instant, r *request, code almondstep.RefusalCode, after time.Duration, out []almondstep.Effect) []almondstep.Effect {
	if r.admission.waiting {
		r.endWait(now)
	}
	refusal := refuse(r.id, code, after)
	r.answered = true
	r.trace.Took = now.Sub(r.arrivedAt)
	refusal.Reply.Trace = r.trace
	delete(f.requests, r.id)
	return r.returnQuota(append(out, refusal))
}

// releaseAdmission gives back the capacity of the processor that a request was admitted to.
func (f *Forwarder) releaseAdmission(now almondstep.Instant, r *request) {
	if r.admission.admitted {
		f.gate.Ended(now, r.admission.work)
		r.admission.admitted = false
	}
}

// updateGate takes over a new directory, where admission is in effect.
func (f *Forwarder) updateGate(d *almondstep.Directory) {
	if d.Routes() != nil && d.Routes().HasOrganisations() {
		f.gate.UpdateDirectory(d)
	}
}

// withholds reports whether a call is left out because its service has no capacity to
// spare. A retry that the answer's minimum coverage needs is sent in any case.
func (f *Forwarder) withholds(now almondstep.Instant, r *request, s *shard, kind budgeter.CallKind) bool {
	needed := kind != budgeter.Hedge && (!r.overShards() || !r.covers(r.included()+r.openShards-1))
	if needed || f.gate.RoomForExtra(now, s.service, r.route) {
		return false
	}
	r.trace.Withheld++
	return true
}

// reportPressure logs when a service or the processor becomes short of capacity, or ceases
// to be.
func (f *Forwarder) reportPressure(now almondstep.Instant, service almondstep.ServiceName, out []almondstep.Effect) []almondstep.Effect {
	if p, changed := f.gate.Pressure(now, service); changed {
		message := "requests no longer wait for capacity"
		if p.Short {
			message = "requests wait for capacity or are refused"
		}
		out = append(out, &almondstep.Report{Level: almondstep.ReportInfo, Message: message, Subject: string(p.Service)})
	}
	if limit, changed := f.gate.ProcessorLimit(); changed {
		message, cause := "the processor is no longer saturated", ""
		if limit > 0 {
			message = "the processor is saturated; open calls are limited"
			cause = "requests are handled late; at most " + strconv.Itoa(limit) + " open calls"
		}
		out = append(out, &almondstep.Report{Level: almondstep.ReportWarn, Message: message, Cause: cause})
	}
	return out
}

// finallyRefused reports whether the caller gets a delegate's refusal for lack of capacity.
// Another delegate calls the same upstreams and would refuse too, unless it was the
// delegate's own processor that lacked capacity.
func (r *request) finallyRefused(reply *almondstep.Reply) bool {
	if reply.Code != almondstep.CodeOverload || reply.Outcome != almondstep.OutcomeNotRun {
		return false
	}
	return reply.Trace.Short != string(admitter.CauseProcessor) || len(r.triedDelegates) >= maxOverloadedDelegates ||
		len(r.directory.Delegates()) <= len(r.triedDelegates)
}

// refusedForCapacity reports whether another daemon has refused a request for lack of
// capacity.
func refusedForCapacity(e *almondstep.GatherEnded) bool {
	return e.Reply != nil && e.Reply.Outcome == almondstep.OutcomeNotRun && e.Reply.Code == almondstep.CodeOverload
}
