package forwarder

import (
	"slices"

	"almondstep"
)

// maxUnansweredPerAttempt bounds the unanswered calls of one attempt that are kept.
const maxUnansweredPerAttempt = 16

// unansweredCall is a call to a run of an upstream that it hasn't answered.
type unansweredCall struct {
	run    almondstep.UpstreamRun
	sentAt almondstep.Instant
}

// unansweredCalls lists the calls that upstreams haven't answered, at most
// maxUnansweredPerAttempt. It leaves out those to upstreams that were unresponsive before, and
// those that ended with their connections.
func (r *request) unansweredCalls() []unansweredCall {
	var calls []unansweredCall
	for _, run := range r.partUnanswered {
		calls = append(calls, unansweredCall{run: run, sentAt: r.arrivedAt})
	}
	for i := range r.shards {
		for _, c := range r.shards[i].calls {
			if c.isUnanswered() && !c.unresponsive {
				calls = append(calls, unansweredCall{run: c.upstream.Run(), sentAt: c.sentAt})
			}
		}
	}
	return calls[:min(len(calls), maxUnansweredPerAttempt)]
}

// unansweredRuns lists the runs of the unanswered calls.
func (r *request) unansweredRuns() []almondstep.UpstreamRun {
	var runs []almondstep.UpstreamRun
	for _, c := range r.unansweredCalls() {
		runs = append(runs, c.run)
	}
	return runs
}

// isUnanswered reports whether a call is pending, or ended by its timeout or its
// cancellation.
func (c *call) isUnanswered() bool {
	return !c.ended || c.result == almondstep.CallTimeout || c.result == almondstep.CallCanceled
}

// answeredLate reports whether an upstream has answered the request, if only after its
// caller got a reply.
func (r *request) answeredLate() bool {
	for i := range r.shards {
		if slices.ContainsFunc(r.shards[i].calls, func(c call) bool { return c.ended && c.result == almondstep.CallDone }) {
			return true
		}
	}
	return false
}

// recordSilence remembers, once all calls of a request have ended, the upstreams that left it
// unanswered, if no upstream has answered it. The part that a regional delegate answers is
// judged by the daemon that sent it, which has the other parts.
func (f *Forwarder) recordSilence(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	if f.crashLimit == 0 || r.asDelegate && r.isPart() {
		return out
	}
	if r.survived() || r.answeredLate() {
		f.answered.add(now, r.fingerprint())
		f.silent.clear(r.fingerprint())
		return out
	}
	calls := r.unansweredCalls()
	if len(calls) == 0 || f.answered.has(now, r.fingerprint()) {
		return out
	}
	f.silent.add(now, r, calls)
	return f.reportSilentCrashes(now, out)
}

// reportSilentCrashes reports the crashes that the directory shows since its last change, or
// since the last unanswered call.
func (f *Forwarder) reportSilentCrashes(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if f.silent.empty() || f.directory == nil {
		return out
	}
	ended := f.directory.Ended()
	for _, run := range f.silent.endedWithCalls(ended) {
		crashed := f.silent.takeCrashed(now, run, ended[run])
		if f.leaving.hasRun(run) {
			continue
		}
		for _, e := range crashed {
			out = append(out, e)
		}
	}
	return out
}
