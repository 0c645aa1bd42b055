package forwarder

import (
	"time"

	"almondstep"
	"almondstep/budgeter"
)

// callEnded processes the result of a call. If the call failed, it retries the shard
// at another upstream where that is allowed and can help.
func (f *Forwarder) callEnded(now almondstep.Instant, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	if u := f.checks.pending[e.Call]; u != nil {
		return f.checkEnded(now, u, e, out)
	}
	ref, ok := f.calls[e.Call]
	r := f.requests[e.ID]
	if !ok || r == nil {
		return out
	}
	delete(f.calls, e.Call)
	s := &r.shards[ref.shard]
	out = f.recordCallEnded(now, r, s, &s.calls[ref.call], e, out)
	if r.answered || s.settled {
		return f.forget(now, r, out)
	}
	if e.Result == almondstep.CallDone {
		r.settle(ref.shard, e.Response)
		out = cancelPending(r, s, abandonedCallTimeout, out)
		return f.proceed(now, r, out)
	}
	// The caller of a request that isn't idempotent would send it again after a status that
	// tells it that the request hasn't run.
	misleading := e.ClaimsNotRun && !r.route.Idempotent()
	if e.Response != nil && e.Response.Signature != "" && !e.Result.NotRun() && !misleading {
		s.failure = e.Response
	}
	s.result = e.Result
	if !s.hasPendingCall() {
		f.retryOrHold(now, r, ref.shard, &out)
	}
	return f.proceed(now, r, out)
}

// recordCallEnded records what the end of a call says about its upstream and its request.
func (f *Forwarder) recordCallEnded(now almondstep.Instant, r *request, s *shard, c *call, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	c.ended, c.result = true, e.Result
	r.openCalls--
	if backoff := f.picker.Ended(now, c.upstream.ID, e); backoff > 0 {
		out = append(out, backoffReport("upstream", string(c.upstream.ID), e.Result.String(), r, backoff))
	}
	if c.returning {
		f.pauses.Ended(now, c.upstream.ID, e.Result)
	}
	f.gate.CallEnded(now, c.upstream.ID, max(0, e.Took-f.picker.PriorRTT(c.upstream)), e)
	if e.Disconnected {
		r.addDisconnected(now, c.upstream.Run())
	}
	if e.Response != nil && e.Result != almondstep.CallMisdirected {
		f.silent.answered(now, c.upstream)
	}
	out = f.rollouts.ended(r, c, e, f.picker.Cold(now, c.upstream), out)
	if e.Leaving {
		out = f.markLeaving(now, r, []almondstep.UpstreamRun{c.upstream.Run()}, out)
	}
	if c.budgeted && e.Result == almondstep.CallRefused {
		f.budget.Refund(now, s.service)
	}
	return f.observeLimit(now, r, c.upstream, e, f.observePause(now, r.message.Key, c.upstream, e, out))
}

// backoffReport returns the log line for an upstream or a delegate that enters backoff
// because of a call of r.
func backoffReport(what, subject, cause string, r *request, backoff time.Duration) *almondstep.Report {
	return &almondstep.Report{
		Level:   almondstep.ReportInfo,
		Message: what + " left alone for " + backoff.String(),
		Subject: subject,
		Cause:   cause + " in request " + r.message.Key,
	}
}

// retry calls another upstream for a shard whose calls have all failed; it returns
// false if none may be called.
func (f *Forwarder) retry(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	if !r.route.Idempotent() && s.mayHaveRun() {
		return false
	}
	if !f.sendAgain(now, r, i, budgeter.Retry, out) {
		return false
	}
	r.trace.Retries++
	return true
}

// hedge calls another upstream for a shard that is late. If the budget doesn't allow
// it or no upstream can be called, it is tried again after hedgeRetryDelay.
func (f *Forwarder) hedge(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) {
	s := &r.shards[i]
	s.hedgeAt = now.Add(hedgeRetryDelay)
	if !r.mayHedge(s) {
		s.hedgeAt = never
		return
	}
	if f.sendAgain(now, r, i, budgeter.Hedge, out) {
		r.trace.Hedges++
	}
}

// mayHedge reports whether the route allows a hedge of a shard.
func (r *request) mayHedge(s *shard) bool {
	return r.route.Idempotent() && s.countedAttempts() < r.route.Attempts()
}

const (
	// hedgeRetryDelay is the delay before a hedge that wasn't possible is tried again.
	hedgeRetryDelay = 15 * time.Millisecond
	// never is later than any other instant.
	never = almondstep.Instant(1<<63 - 1)
)

// sendAgain calls another upstream for a shard, if the route's attempts, the deadline
// and the budget allow it.
func (f *Forwarder) sendAgain(now almondstep.Instant, r *request, i int, kind budgeter.CallKind, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	attempts := s.countedAttempts()
	if attempts >= r.route.Attempts() || now >= r.deadline || f.suspectsCause(r) {
		return false
	}
	if _, ok := f.fastestUntried(now, r, s, kind); !ok || f.withholds(now, r, s, kind) {
		return false
	}
	step := s.step(now.Sub(r.arrivedAt), kind)
	budgeted := attempts > 0
	if budgeted && !f.takeBudget(now, r, s, kind) {
		r.trace.Denied++
		step.Decision = "denied"
		r.addStep(step)
		return false
	}
	if !f.send(now, r, i, kind, out) {
		if budgeted {
			f.budget.Refund(now, s.service)
		}
		return false
	}
	last := &s.calls[len(s.calls)-1]
	last.budgeted = budgeted
	step.To = last.upstream.ID
	r.addStep(step)
	return true
}

// step returns the trace entry for the decision to call another upstream after the
// given time.
func (s *shard) step(after time.Duration, kind budgeter.CallKind) almondstep.RequestStep {
	step := almondstep.RequestStep{AfterMillis: after.Milliseconds(), Service: s.service, Decision: "retry"}
	if kind == budgeter.Hedge {
		step.Decision = "hedge"
	}
	if n := len(s.calls); n > 0 {
		c := s.calls[n-1]
		step.From, step.PreviousResult = c.upstream.ID, "late"
		if c.ended {
			step.PreviousResult = c.result.String()
		}
	}
	return step
}

// maxTraceSteps limits the steps in a trace.
const maxTraceSteps = 6

func (r *request) addStep(step almondstep.RequestStep) {
	if len(r.trace.Steps) < maxTraceSteps {
		r.trace.Steps = append(r.trace.Steps, step)
	}
}

// settle stores a shard's answer.
func (r *request) settle(i int, part *almondstep.ResponseMessage) {
	r.shards[i].part = part
	r.shards[i].settled = true
	r.openShards--
}

// markMissing records that a shard will not be in the answer.
func (r *request) markMissing(i int, result almondstep.CallResult) {
	r.shards[i].settled = true
	r.shards[i].result = result
	r.openShards--
}

// cancelPending cancels a shard's pending calls.
func cancelPending(r *request, s *shard, after time.Duration, out []almondstep.Effect) []almondstep.Effect {
	for _, c := range s.calls {
		if !c.ended {
			out = append(out, &almondstep.CancelCall{ID: r.id, Call: c.id, After: after})
		}
	}
	return out
}

// requesterGone cancels all calls of a request whose caller has disconnected, without
// waiting for late answers.
func (f *Forwarder) requesterGone(now almondstep.Instant, id almondstep.QueryID, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[id]
	if r == nil {
		return out
	}
	r.answered = true
	f.gate.Remove(r.id)
	if r.openCalls == 0 {
		out = r.returnQuota(out)
	}
	for i := range r.shards {
		out = cancelPending(r, &r.shards[i], 0, out)
	}
	out = f.reportCrashes(r, out)
	return f.forget(now, r, f.cancelRegional(now, r, f.cancelDelegated(now, r, out)))
}

// forget removes the request if it is answered and has no pending calls.
func (f *Forwarder) forget(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if !r.answered || r.openCalls > 0 {
		return out
	}
	delete(f.requests, r.id)
	f.releaseAdmission(now, r)
	return f.recordSilence(now, r, f.endRecheck(r, out))
}
