package forwarder

import (
	"time"

	"almondstep"
	"almondstep/budgeter"
)

// callEnded takes in how a call ended and sends the shard elsewhere if that is
// allowed and can help.
func (f *Forwarder) callEnded(now almondstep.Instant, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	ref, ok := f.calls[e.Call]
	r := f.requests[e.ID]
	if !ok || r == nil {
		return out
	}
	delete(f.calls, e.Call)
	s := &r.shards[ref.shard]
	c := &s.calls[ref.call]
	c.ended, c.result = true, e.Result
	r.out--
	if away := f.picker.Ended(now, c.upstream.ID, e); away > 0 {
		out = append(out, leftAlone("upstream", string(c.upstream.ID), e.Result.String(), r, away))
	}
	if c.paid && e.Result == almondstep.CallRefused {
		f.budget.Refund(now, s.service)
	}
	if r.answered || s.settled {
		return f.forget(r, out)
	}
	if e.Result == almondstep.CallDone {
		r.settle(ref.shard, e.Response)
		out = cancelOthers(r, s, linger, out)
		return f.proceed(now, r, out)
	}
	if e.Response != nil && e.Response.Signature != "" && !e.Result.NotRun() {
		s.failure = e.Response
	}
	s.result = e.Result
	if !s.waiting() && !f.retry(now, r, ref.shard, &out) {
		r.giveUp(ref.shard, e.Result)
	}
	return f.proceed(now, r, out)
}

// leftAlone reports that an upstream or a delegate gets no requests for a while.
func leftAlone(what, subject, cause string, r *request, away time.Duration) *almondstep.Report {
	return &almondstep.Report{
		Level:   almondstep.ReportInfo,
		Message: what + " left alone for " + away.String(),
		Subject: subject,
		Cause:   cause + " in request " + r.message.Key,
	}
}

// retry sends a shard whose calls have all failed to another upstream.
func (f *Forwarder) retry(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	if !r.route.Idempotent() && s.mayHaveRun() {
		return false
	}
	if !f.another(now, r, i, budgeter.Retry, out) {
		return false
	}
	r.trace.Retries++
	return true
}

// hedge sends a shard that is late to another upstream as well. If the budget
// doesn't allow it now, it may a little later.
func (f *Forwarder) hedge(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) {
	s := &r.shards[i]
	s.hedgeAt = now.Add(hedgePause)
	if !r.route.Idempotent() || s.arrivals() >= r.route.Attempts() {
		s.hedgeAt = never
		return
	}
	if f.another(now, r, i, budgeter.Hedge, out) {
		r.trace.Hedges++
	}
}

const (
	// hedgePause is the time after which a hedge that wasn't possible is tried
	// again.
	hedgePause = 15 * time.Millisecond
	// never is later than any other instant.
	never = almondstep.Instant(1<<63 - 1)
)

// another sends a shard's request once more, if the route's attempts, the time
// left and the budget allow it.
func (f *Forwarder) another(now almondstep.Instant, r *request, i int, use budgeter.Use, out *[]almondstep.Effect) bool {
	s := &r.shards[i]
	arrivals := s.arrivals()
	if arrivals >= r.route.Attempts() || now >= r.deadline {
		return false
	}
	if _, ok := f.quickestOther(now, r, s); !ok {
		return false
	}
	step := s.step(now.Sub(r.arrivedAt), use)
	paid := arrivals > 0
	if paid && !f.budget.Take(now, s.service, r.sharing(s.service), use) {
		r.trace.Denied++
		step.What = "denied"
		r.note(step)
		return false
	}
	if !f.send(now, r, i, out) {
		if paid {
			f.budget.Refund(now, s.service)
		}
		return false
	}
	last := &s.calls[len(s.calls)-1]
	last.paid = paid
	step.To = last.upstream.ID
	r.note(step)
	return true
}

// step describes the decision to call another upstream.
func (s *shard) step(after time.Duration, use budgeter.Use) almondstep.RequestStep {
	step := almondstep.RequestStep{AfterMillis: after.Milliseconds(), Service: s.service, What: "retry"}
	if use == budgeter.Hedge {
		step.What = "hedge"
	}
	if n := len(s.calls); n > 0 {
		c := s.calls[n-1]
		step.From, step.Why = c.upstream.ID, "late"
		if c.ended {
			step.Why = c.result.String()
		}
	}
	return step
}

// notedSteps bounds the steps that a trace holds.
const notedSteps = 6

func (r *request) note(step almondstep.RequestStep) {
	if len(r.trace.Steps) < notedSteps {
		r.trace.Steps = append(r.trace.Steps, step)
	}
}

// settle takes a shard's answer in.
func (r *request) settle(i int, part *almondstep.ResponseMessage) {
	r.shards[i].part = part
	r.shards[i].settled = true
	r.open--
}

// giveUp notes that a shard will not be in the answer.
func (r *request) giveUp(i int, result almondstep.CallResult) {
	r.shards[i].settled = true
	r.shards[i].result = result
	r.open--
}

// cancelOthers gives up a shard's calls that are still out.
func cancelOthers(r *request, s *shard, after time.Duration, out []almondstep.Effect) []almondstep.Effect {
	for _, c := range s.calls {
		if !c.ended {
			out = append(out, &almondstep.CancelCall{ID: r.id, Call: c.id, After: after})
		}
	}
	return out
}

// requesterGone gives up all calls of a request at once.
func (f *Forwarder) requesterGone(now almondstep.Instant, id almondstep.QueryID, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[id]
	if r == nil {
		return out
	}
	r.answered = true
	for i := range r.shards {
		out = cancelOthers(r, &r.shards[i], 0, out)
	}
	return f.forget(r, f.dropHelp(now, r, f.dropHanded(now, r, out)))
}

// forget drops a request that is answered and has no calls out.
func (f *Forwarder) forget(r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.answered && r.out == 0 {
		delete(f.requests, r.id)
	}
	return out
}
