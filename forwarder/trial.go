package forwarder

import (
	"slices"
	"time"

	"almondstep"
	"almondstep/budgeter"
)

const (
	// trialRetryDelay is the time between two requests with which this thread tries to claim a
	// trial.
	trialRetryDelay = 2 * time.Second
	// claimTimeout bounds the claim of a trial, for which the request waits.
	claimTimeout = 500 * time.Millisecond
	// trialUnderWay is the delay after which a caller may retry while a trial is under way.
	trialUnderWay = time.Second
	// answeredLately is how long after an answer to a request the loss of upstreams that have
	// the same request isn't put down to it.
	answeredLately = 3 * time.Second
)

// trialState is how far a request that serves as a trial has come. The zero value is that of all
// other requests.
type trialState uint8

const (
	// trialWanted is set until the request is admitted, and trialAsked until its claim is decided.
	trialWanted trialState = iota + 1
	trialAsked
	// trialClaimed is set once one of the request's calls may be sent. The others wait for its
	// answer.
	trialClaimed
)

// wantsTrial reports whether a request in quarantine is to serve as the trial that shows whether it
// crashes upstreams: one is due, and an upstream is there that answers.
func (f *Forwarder) wantsTrial(now almondstep.Instant, r *request) bool {
	next, ok := f.view.Trial(r.fingerprint())
	if !ok || now < next.At || now < f.trialsAt[r.fingerprint()] || f.explains {
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

// canTry reports whether an upstream of a service can get a trial.
func (f *Forwarder) canTry(now almondstep.Instant, r *request, service almondstep.ServiceName) bool {
	usable := func(u *almondstep.Upstream) bool {
		return !f.picker.Unresponsive(now, u) && f.mayCall(now, r, &shard{service: service}, u, budgeter.First)
	}
	_, ok := f.picker.PickWithoutTrial(now, f.upstreams(r, service), usable)
	return ok
}

// claimTrial claims the trial for an admitted request, which waits for the outcome.
func (f *Forwarder) claimTrial(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	next, ok := f.view.Trial(r.fingerprint())
	if !ok || now < next.At || now < f.trialsAt[r.fingerprint()] {
		return f.refuseTrial(now, r, out)
	}
	if f.trialsAt == nil {
		f.trialsAt = make(map[almondstep.Fingerprint]almondstep.Instant)
	}
	f.trialsAt[r.fingerprint()] = now.Add(trialRetryDelay)
	r.trial = trialAsked
	f.requests[r.id] = r
	out = append(out, &almondstep.ClaimTrial{
		ID: r.id, Record: almondstep.TrialRecord(r.fingerprint(), next.Number), Timeout: min(claimTimeout, r.deadline.Sub(now)),
	})
	return r.setTimer(now, out)
}

// trialDecided sends the request if this daemon has the trial, and refuses it otherwise. A trial
// whose request has ended meanwhile is released.
func (f *Forwarder) trialDecided(now almondstep.Instant, e *almondstep.TrialClaimed, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[e.ID]
	waits := r != nil && r.trial == trialAsked && !r.answered
	if e.Err == "" && (!waits || now >= r.deadline) {
		out = append(out, &almondstep.TrialReleased{Record: e.Record})
	}
	switch {
	case !waits:
		return out
	case e.Err != "" || now >= r.deadline:
		return f.refuseTrial(now, r, out)
	}
	r.trial, r.trialRecord = trialClaimed, e.Record
	return f.sendAll(now, r, append(out, &almondstep.TrialBegan{Record: e.Record}))
}

// trialTimer refuses a request whose deadline passes before its claim is decided.
func (f *Forwarder) trialTimer(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if now < r.deadline {
		return r.setTimer(now, out)
	}
	return f.refuseTrial(now, r, out)
}

// refuseTrial refuses an admitted request that doesn't get the trial.
func (f *Forwarder) refuseTrial(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	delete(f.requests, r.id)
	f.releaseAdmission(now, r)
	r.trace.Took = now.Sub(r.arrivedAt)
	return r.returnQuota(append(out, f.refuseQuarantined(now, r)))
}

// awaitsTrial reports whether the request is a trial that no upstream has answered, so that no
// further call may be sent.
func (r *request) awaitsTrial() bool { return r.trial == trialClaimed && !r.survived() }

// sendTrial sends the trial to an upstream of the first shard that has a usable one. The calls for
// the other shards are held until it is answered.
func (f *Forwarder) sendTrial(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	for i := range r.shards {
		if s := &r.shards[i]; r.trace.Calls > 0 {
			s.held = true
		} else if f.canTry(now, r, s.service) {
			f.sendFirst(now, r, i, out)
		} else {
			s.held = true
		}
	}
}

// endTrial releases the trial of a request that has ended and reached no upstream.
func (f *Forwarder) endTrial(r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.trial != trialClaimed {
		return out
	}
	for i := range r.shards {
		if r.shards[i].countedAttempts() > 0 {
			return out
		}
	}
	return append(out, &almondstep.TrialReleased{Record: r.trialRecord})
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

// forgetTrials forgets the claims of requests that are no longer refused.
func (f *Forwarder) forgetTrials() {
	for fingerprint := range f.trialsAt {
		if !f.view.Quarantined(fingerprint) {
			delete(f.trialsAt, fingerprint)
		}
	}
}
