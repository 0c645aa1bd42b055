package forwarder

import (
	"slices"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

const (
	// recheckRetryDelay is the time between two requests with which this thread tries to claim a
	// recheck.
	recheckRetryDelay = 2 * time.Second
	// claimTimeout bounds the claim of a recheck, for which the request waits.
	claimTimeout = 500 * time.Millisecond
	// recheckUnderWay is the delay after which a caller may retry while a recheck is under way.
	recheckUnderWay = time.Second
	// answeredLately is how long after an answer to a request the loss of upstreams that have
	// the same request isn't put down to it.
	answeredLately = 3 * time.Second
)

// recheckState is how far a request that serves as a recheck has come. The zero value is that of all
// other requests.
type recheckState uint8

const (
	// recheckWanted is set until the request is admitted, and recheckAsked until its claim is decided.
	recheckWanted recheckState = iota + 1
	recheckAsked
	// recheckClaimed is set once one of the request's calls may be sent. The others wait for its
	// answer.
	recheckClaimed
)

// wantsRecheck reports whether a request in quarantine is to serve as the recheck that shows whether it
// crashes upstreams: one is due, and an upstream is there that answers.
func (f *Forwarder) wantsRecheck(now almondstep.Instant, r *request) bool {
	next, ok := f.view.Recheck(r.fingerprint())
	if !ok || now < next.At || now < f.rechecksAt[r.fingerprint()] || f.explains || r.asDelegate {
		return false
	}
	return slices.ContainsFunc(r.services(), func(s almondstep.ServiceName) bool { return f.canTry(now, r, s) })
}

// services lists the services that may get the request.
func (r *request) services() []almondstep.ServiceName {
	if r.overShards() {
		return r.route.Shards()
	}
	var services []almondstep.ServiceName
	for _, t := range r.route.Targets() {
		services = append(services, t.Service)
	}
	return services
}

// canTry reports whether an upstream of a service can get a recheck.
func (f *Forwarder) canTry(now almondstep.Instant, r *request, service almondstep.ServiceName) bool {
	usable := func(u *almondstep.Upstream) bool {
		return !f.picker.Unresponsive(now, u) && f.mayCall(now, r, &shard{service: service}, u, budgeter.First)
	}
	_, ok := f.picker.PickWithoutTrial(now, f.upstreams(r, service), usable)
	return ok
}

// claimRecheck claims the recheck for an admitted request, which waits for the outcome.
func (f *Forwarder) claimRecheck(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	next, ok := f.view.Recheck(r.fingerprint())
	if !ok || now < next.At || now < f.rechecksAt[r.fingerprint()] {
		return f.refuseRecheck(now, r, out)
	}
	if f.rechecksAt == nil {
		f.rechecksAt = make(map[almondstep.Fingerprint]almondstep.Instant)
	}
	f.rechecksAt[r.fingerprint()] = now.Add(recheckRetryDelay)
	r.recheck = recheckAsked
	f.requests[r.id] = r
	out = append(out, &almondstep.ClaimRecheck{
		ID: r.id, Record: almondstep.RecheckRecord(r.fingerprint(), next.Number), Timeout: min(claimTimeout, r.deadline.Sub(now)),
	})
	return r.setTimer(now, out)
}

// recheckDecided sends the request if this daemon has the recheck, and refuses it otherwise. A recheck
// whose request has ended meanwhile is released.
func (f *Forwarder) recheckDecided(now almondstep.Instant, e *almondstep.RecheckClaimed, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[e.ID]
	waits := r != nil && r.recheck == recheckAsked && !r.answered
	if e.Err == "" && (!waits || now >= r.deadline) {
		out = append(out, &almondstep.RecheckReleased{Record: e.Record})
	}
	switch {
	case !waits:
		return out
	case e.Err != "" || now >= r.deadline:
		return f.refuseRecheck(now, r, out)
	}
	r.recheck, r.recheckRecord = recheckClaimed, e.Record
	return f.sendAll(now, r, append(out, &almondstep.RecheckBegan{Record: e.Record}))
}

// recheckTimer refuses a request whose deadline passes before its claim is decided.
func (f *Forwarder) recheckTimer(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if now < r.deadline {
		return r.setTimer(now, out)
	}
	return f.refuseRecheck(now, r, out)
}

// refuseRecheck refuses an admitted request that doesn't get the recheck.
func (f *Forwarder) refuseRecheck(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	delete(f.requests, r.id)
	f.releaseAdmission(now, r)
	r.trace.Took = now.Sub(r.arrivedAt)
	return r.returnQuota(append(out, f.refuseQuarantined(now, r)))
}

// awaitsRecheck reports whether the request is a recheck that no upstream has answered, so that no
// further call may be sent.
func (r *request) awaitsRecheck() bool { return r.recheck == recheckClaimed && !r.survived() }

// sendRecheck sends the recheck to an upstream of the first shard that has a usable one. The calls for
// the other shards are held until it is answered.
func (f *Forwarder) sendRecheck(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	for i := range r.shards {
		s := &r.shards[i]
		if r.trace.Calls == 0 && f.canTry(now, r, s.service) {
			f.sendFirst(now, r, i, out)
		} else {
			s.held = true
		}
	}
}

// endRecheck releases the recheck of a request that has ended and reached no upstream.
func (f *Forwarder) endRecheck(r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.recheck != recheckClaimed {
		return out
	}
	for i := range r.shards {
		if r.shards[i].countedAttempts() > 0 {
			return out
		}
	}
	return append(out, &almondstep.RecheckReleased{Record: r.recheckRecord})
}

// clearAnswered reports the requests that have become suspects since the last view although an
// upstream answered them here just before: this daemon may know that of a request whose crashes
// others have observed.
func (f *Forwarder) clearAnswered(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	var cleared []almondstep.Fingerprint
	for fingerprint := range f.view.Suspects() {
		if _, known := f.suspects[fingerprint]; !known && f.answered.since(now.Add(-answeredLately), fingerprint) {
			cleared = append(cleared, fingerprint)
		}
	}
	f.suspects = f.view.Suspects()
	slices.Sort(cleared)
	for _, fingerprint := range cleared {
		out = append(out, &almondstep.RequestSurvived{Fingerprint: fingerprint})
	}
	return out
}

// forgetRechecks forgets the claims of requests that are no longer refused.
func (f *Forwarder) forgetRechecks() {
	for fingerprint := range f.rechecksAt {
		if !f.view.Quarantined(fingerprint) {
			delete(f.rechecksAt, fingerprint)
		}
	}
}
