package forwarder

import (
	"almondstep"
	"almondstep/merger"
)

// timerExpired processes the expiry of a request's timer: it hedges the shards that are
// late and answers the request if it is due.
func (f *Forwarder) timerExpired(now almondstep.Instant, id almondstep.QueryID, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[id]
	if r == nil || r.answered {
		return out
	}
	if now >= r.timerAt {
		r.timerAt = 0
	}
	if r.quota == quotaAsked {
		return f.quotaTimer(now, r, out)
	}
	if r.recheck == recheckAsked {
		return f.recheckTimer(now, r, out)
	}
	if r.admission.waiting {
		return f.checkWaiting(now, r, out)
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.settled && now >= s.hedgeAt {
			f.hedge(now, r, i, &out)
		}
	}
	return f.proceed(now, r, out)
}

// proceed answers the request if it can or must be answered now, and otherwise ensures
// that a timer is set.
func (f *Forwarder) proceed(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.answered {
		return f.forget(now, r, out)
	}
	f.resolveHeld(now, r, &out)
	included := r.included()
	switch {
	case r.delegated != nil && now < r.deadline:
		return r.setTimer(now, out)
	case r.openShards+r.regional.pending() == 0, now >= r.deadline:
	case now >= r.answerBy && r.overShards() && r.covers(included):
	case r.overShards() && !r.covers(included+r.openShards+r.regional.pending()):
		// The pending shards can't bring the answer to the required coverage.
	default:
		return r.setTimer(now, out)
	}
	return f.finish(now, r, included, out)
}

// setTimer sets a timer for the next time at which something is due, unless the timer
// that is set expires by then.
func (r *request) setTimer(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	next := r.deadline
	if now < r.answerBy && r.overShards() && r.delegated == nil {
		next = min(next, r.answerBy)
	}
	for i := range r.shards {
		if s := &r.shards[i]; !s.settled {
			next = min(next, s.hedgeAt)
		}
	}
	if r.timerAt != 0 && r.timerAt <= next {
		return out
	}
	r.timerAt = next
	return append(out, &almondstep.SetRequestTimer{ID: r.id, After: max(0, next.Sub(now))})
}

// finish answers the request from the parts received.
func (f *Forwarder) finish(now almondstep.Instant, r *request, included int, out []almondstep.Effect) []almondstep.Effect {
	reply := r.reply(now, included)
	reply.Trace = r.finalTrace(now, included, reply.Outcome)
	out = f.cancelDelegated(now, r, out)
	out = f.cancelRegional(now, r, out)
	return f.answer(now, r, reply, out)
}

// answer sends the reply and cancels the pending calls.
func (f *Forwarder) answer(now almondstep.Instant, r *request, reply *almondstep.Reply, out []almondstep.Effect) []almondstep.Effect {
	r.answered = true
	if r.asDelegate {
		reply.Trace.DelegateLoad = f.load.share(now, len(f.calls))
	}
	out = append(out, &almondstep.ReplyRequest{ID: r.id, Reply: reply})
	if reply.Outcome == almondstep.OutcomeNotRun {
		out = r.returnQuota(out)
	}
	for i := range r.shards {
		out = cancelPending(r, &r.shards[i], abandonedCallTimeout, out)
	}
	out = f.reportCrashes(r, out)
	return f.forget(now, r, out)
}

// reply returns the answer made from the parts received.
func (r *request) reply(now almondstep.Instant, included int) *almondstep.Reply {
	switch {
	case r.delegated != nil:
		r.trace.Delegate = r.delegated.to
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeDeadline}
	case r.overShards() && r.covers(included):
		return r.mergedReply(included)
	case !r.overShards() && r.shards[0].part != nil:
		return &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Response: r.shards[0].part}
	case !r.overShards() && r.shards[0].failure != nil:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed, Response: r.shards[0].failure}
	case !r.mayHaveRun():
		code, after := r.refusal(included)
		return &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: code, RetryAfter: after}
	case now >= r.deadline:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeDeadline}
	case r.overShards():
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeMissingShards}
	default:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed}
	}
}

// mergedReply returns the answer that merges the parts of the included shards.
func (r *request) mergedReply(included int) *almondstep.Reply {
	m := &almondstep.MergedAnswer{
		Signatures: make([]string, 0, included),
		Missing:    r.total() - included,
	}
	parts := make([][]byte, 0, included)
	for i := range r.shards {
		if p := r.shards[i].part; p != nil {
			parts = append(parts, p.Body)
			m.Signatures = append(m.Signatures, p.Signature)
		}
	}
	if r.regional.included() > 0 {
		parts = append(parts, r.regional.merged.Records)
		m.Signatures = append(m.Signatures, r.regional.merged.Signatures...)
	}
	m.Records = merger.Greatest(r.route.Records(), parts...)
	outcome := almondstep.OutcomeComplete
	if m.Missing > 0 {
		outcome = almondstep.OutcomePartial
	}
	return &almondstep.Reply{Outcome: outcome, Merged: m}
}

// maxTraceMissing limits the missing shards that a trace names.
const maxTraceMissing = 4

// finalTrace returns the trace of an answered request, with a few of the missing shards
// unless the answer is complete.
func (r *request) finalTrace(now almondstep.Instant, included int, o almondstep.Outcome) almondstep.RequestTrace {
	t := r.trace
	t.Included = included
	t.Limited = r.limitedShards()
	t.Took = now.Sub(r.arrivedAt)
	if o == almondstep.OutcomeComplete {
		return t
	}
	if !r.survived() {
		t.Unanswered = r.unansweredRuns()
	}
	if len(t.Unanswered) > 0 {
		t.Fingerprint = r.fingerprint()
	}
	for i := range r.shards {
		if s := &r.shards[i]; s.part == nil && len(t.Missing) < maxTraceMissing {
			t.Missing = append(t.Missing, r.missing(s))
		}
	}
	return t
}

// missing returns the trace entry for a shard that the answer doesn't include.
func (r *request) missing(s *shard) almondstep.MissingPart {
	m := almondstep.MissingPart{
		Service: s.service,
		Result:  s.result.String(),
		Listed:  len(r.directory.Upstreams(s.service)),
	}
	if n := len(s.calls); n > 0 {
		m.Upstream = s.calls[n-1].upstream.ID
	}
	if s.hasPendingCall() {
		m.Result = "waiting"
	}
	switch {
	case len(s.calls) > 0:
	case s.limitWait > 0:
		m.Result = "limited"
	default:
		m.Result = "noUpstream"
	}
	return m
}
