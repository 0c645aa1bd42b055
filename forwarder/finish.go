package forwarder

import (
	"almondstep"
	"almondstep/merger"
)

// timer hedges the shards that are late and answers if it is time.
func (f *Forwarder) timer(now almondstep.Instant, id almondstep.QueryID, out []almondstep.Effect) []almondstep.Effect {
	r := f.requests[id]
	if r == nil || r.answered {
		return out
	}
	if now >= r.timerAt {
		r.timerAt = 0
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.settled && now >= s.hedgeAt {
			f.hedge(now, r, i, &out)
		}
	}
	return f.proceed(now, r, out)
}

// proceed answers the request if it can or must be answered, and otherwise sees
// to it that a timer comes.
func (f *Forwarder) proceed(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if r.answered {
		return f.forget(r, out)
	}
	included := r.included()
	switch {
	case r.handed != nil && now < r.deadline:
		return r.arm(now, out)
	case r.open+r.help.pending() == 0, now >= r.deadline:
	case now >= r.answerBy && r.gathers() && r.covers(included):
	case r.gathers() && !r.covers(included+r.open+r.help.pending()):
		// What is still out can't make the answer whole enough.
	default:
		return r.arm(now, out)
	}
	return f.finish(now, r, included, out)
}

// arm sets a timer for the next thing that comes due, if none is set for it.
func (r *request) arm(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	next := r.deadline
	if now < r.answerBy && r.gathers() && r.handed == nil {
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

// finish answers the request from what is in.
func (f *Forwarder) finish(now almondstep.Instant, r *request, included int, out []almondstep.Effect) []almondstep.Effect {
	reply := r.reply(now, included)
	reply.Trace = r.traced(now, included, reply.Outcome)
	out = f.dropHanded(now, r, out)
	out = f.dropHelp(now, r, out)
	return f.answer(r, reply, out)
}

// answer sends the reply and gives up what is still out.
func (f *Forwarder) answer(r *request, reply *almondstep.Reply, out []almondstep.Effect) []almondstep.Effect {
	r.answered = true
	out = append(out, &almondstep.ReplyRequest{ID: r.id, Reply: reply})
	for i := range r.shards {
		out = cancelOthers(r, &r.shards[i], linger, out)
	}
	return f.forget(r, out)
}

// reply makes the answer from what is in.
func (r *request) reply(now almondstep.Instant, included int) *almondstep.Reply {
	switch {
	case r.handed != nil:
		r.trace.Delegate = r.handed.to
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeDeadline}
	case r.gathers() && r.covers(included):
		return r.merged(included)
	case !r.gathers() && r.shards[0].part != nil:
		return &almondstep.Reply{Outcome: almondstep.OutcomeComplete, Response: r.shards[0].part}
	case !r.gathers() && r.shards[0].failure != nil:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed, Response: r.shards[0].failure}
	case !r.mayHaveRun():
		return &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeNoReplica, RetryAfter: replicaRetry}
	case now >= r.deadline:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeDeadline}
	case r.gathers():
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeMissingShards}
	default:
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeFailed}
	}
}

func (r *request) merged(included int) *almondstep.Reply {
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
	if r.help.included() > 0 {
		parts = append(parts, r.help.merged.Records)
		m.Signatures = append(m.Signatures, r.help.merged.Signatures...)
	}
	m.Records = merger.Greatest(r.route.Records(), parts...)
	outcome := almondstep.OutcomeComplete
	if m.Missing > 0 {
		outcome = almondstep.OutcomePartial
	}
	return &almondstep.Reply{Outcome: outcome, Merged: m}
}

// tracedShards bounds the missing shards that a trace names.
const tracedShards = 4

// traced says what decided the outcome.
func (r *request) traced(now almondstep.Instant, included int, o almondstep.Outcome) almondstep.RequestTrace {
	t := r.trace
	t.Included = included
	t.Took = now.Sub(r.arrivedAt)
	if o == almondstep.OutcomeComplete {
		return t
	}
	for i := range r.shards {
		if s := &r.shards[i]; s.part == nil && len(t.Missing) < tracedShards {
			t.Missing = append(t.Missing, r.missing(s))
		}
	}
	return t
}

// missing says how a shard that is left out stands.
func (r *request) missing(s *shard) almondstep.MissingPart {
	m := almondstep.MissingPart{
		Service: s.service,
		Result:  s.result.String(),
		Listed:  len(r.directory.Upstreams(s.service)),
	}
	if n := len(s.calls); n > 0 {
		m.Upstream = s.calls[n-1].upstream.ID
	}
	if s.waiting() {
		m.Result = "waiting"
	}
	if len(s.calls) == 0 {
		m.Result = "noUpstream"
	}
	return m
}
