package forwarder

import "almondstep"

// takeQuota asks for the quota of the request's organisation, if its rate is limited, and
// then continues with admission. A request that another daemon delegates was counted there.
func (f *Forwarder) takeQuota(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.organisation == nil || !r.organisation.Limited() {
		return f.admit(now, r, out)
	}
	r.quota = quotaAsked
	f.requests[r.id] = r
	out = append(out, &almondstep.RequestQuota{ID: r.id, Organisation: r.organisation.Name()})
	return r.setTimer(now, out)
}

// quotaState is how far the quota of a request is decided. The zero value is that of a request
// without a limit, or whose quota was returned.
type quotaState uint8

const (
	quotaNone quotaState = iota
	quotaAsked
	quotaCounted
)

// quotaDecided continues with a request whose quota is granted, and refuses it otherwise. What is
// granted to a request that has ended meanwhile is returned.
func (f *Forwarder) quotaDecided(now almondstep.Instant, e *almondstep.QuotaDecided, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[e.ID]
	if r == nil || r.quota != quotaAsked {
		if e.Granted {
			out = append(out, &almondstep.ReturnQuota{Organisation: e.Organisation})
		}
		return out
	}
	delete(f.requests, r.id)
	r.quota = quotaNone
	r.trace.QuotaBy = e.By
	switch {
	case e.Granted && now < r.deadline:
		r.quota = quotaCounted
		return f.admit(now, r, out)
	case e.Granted:
		out = append(out, &almondstep.ReturnQuota{Organisation: e.Organisation})
		return append(out, r.refuseWithoutQuota(now, almondstep.CodeDeadline, e))
	case e.Unknown:
		return append(out, r.refuseWithoutQuota(now, almondstep.CodeNoQuota, e))
	}
	return append(out, r.refuseWithoutQuota(now, almondstep.CodeRateLimited, e))
}

// refuseWithoutQuota refuses a request that waited for its quota.
func (r *request) refuseWithoutQuota(now almondstep.Instant, code almondstep.RefusalCode, e *almondstep.QuotaDecided) *almondstep.ReplyRequest {
	refusal := refuse(r.id, code, e.RetryAfter)
	refusal.Reply.Trace = r.trace
	refusal.Reply.Trace.Took = now.Sub(r.arrivedAt)
	return refusal
}

// quotaTimer ends a request whose deadline passes before its quota is decided.
func (f *Forwarder) quotaTimer(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if now < r.deadline {
		return r.setTimer(now, out)
	}
	delete(f.requests, r.id)
	return append(out, r.refuseWithoutQuota(now, almondstep.CodeDeadline, &almondstep.QuotaDecided{}))
}

// returnQuota returns the quota of a request that ends without having been sent to an upstream
// from here, and that hasn't run at a delegate either. It may be called more than once.
func (r *request) returnQuota(out []almondstep.Effect) []almondstep.Effect {
	if r.quota != quotaCounted || r.trace.Calls > 0 {
		return out
	}
	r.quota = quotaNone
	return append(out, &almondstep.ReturnQuota{Organisation: r.organisation.Name()})
}
