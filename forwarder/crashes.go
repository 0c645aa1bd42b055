package forwarder

import (
	"slices"

	"almondstep"
)

// fingerprint returns the request's fingerprint, which is computed at its first use.
func (r *request) fingerprint() almondstep.Fingerprint {
	if r.knownFingerprint == 0 {
		r.knownFingerprint = r.message.Fingerprint()
	}
	return r.knownFingerprint
}

// knownCrashes returns the number of upstreams that are known, to all daemons, to have
// crashed under the request.
func (f *Forwarder) knownCrashes(r *request) int {
	if !f.view.HasSuspects() {
		return 0
	}
	return f.view.Crashes(r.fingerprint())
}

// quarantined reports whether all daemons refuse the request.
func (f *Forwarder) quarantined(r *request) bool {
	return f.view.HasSuspects() && f.view.Quarantined(r.fingerprint())
}

// refuseQuarantined refuses a request that is in quarantine until its next recheck may begin.
func (f *Forwarder) refuseQuarantined(now almondstep.Instant, r *request) *almondstep.ReplyRequest {
	after := f.crashMemory
	if next, ok := f.view.Recheck(r.fingerprint()); ok {
		after = max(next.At.Sub(now), recheckUnderWay)
	}
	refusal := refuse(r.id, almondstep.CodeQuarantined, after)
	refusal.Reply.Trace = r.trace
	refusal.Reply.Trace.Fingerprint = r.fingerprint()
	return refusal
}

// firstServerFailure is the lowest status of a failure of the upstream itself.
const firstServerFailure = 500

// survived reports whether an upstream has answered the request. A failure of the upstream
// itself (5xx) doesn't count, since it may have failed before it ran the request.
func (r *request) survived() bool {
	rejected := func(s shard) bool {
		return s.failure != nil && s.failure.Status < firstServerFailure
	}
	return r.included() > 0 || slices.ContainsFunc(r.shards, rejected)
}

// suspectsCause reports whether so many upstreams have crashed under the request, here
// and before, and none has answered it, that it must be taken for the cause.
func (f *Forwarder) suspectsCause(r *request) bool {
	if r.awaitsRecheck() {
		return true
	}
	own := len(r.trace.Disconnected)
	if f.crashLimit == 0 || own == 0 || r.survived() {
		return false
	}
	return own+f.knownCrashes(r) >= f.crashLimit
}

// retryOrHold calls another upstream for a shard whose calls have all failed. If the
// request is suspected of crashing upstreams and other calls of it are pending, the retry
// is held until one of them is answered. If neither is possible, the shard is missing.
//
// Example: an availability zone loses power, and 17 of the 50 upstreams that have a request
// disconnect. The first answer from another zone clears the request, and the 17 shards are
// retried. If all 50 disconnect, none is.
func (f *Forwarder) retryOrHold(now almondstep.Instant, r *request, i int, out *[]almondstep.Effect) {
	s := &r.shards[i]
	if r.openCalls > 0 && f.suspectsCause(r) {
		s.held = true
		return
	}
	if !f.retry(now, r, i, out) {
		s.limitWait = f.limitWait(now, r, s)
		r.markMissing(i, s.result)
	}
}

// resolveHeld retries the held shards once an upstream has answered the request, or marks
// them missing if no call is pending any more.
func (f *Forwarder) resolveHeld(now almondstep.Instant, r *request, out *[]almondstep.Effect) {
	if r.openCalls > 0 && f.suspectsCause(r) {
		return
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.held {
			continue
		}
		s.held = false
		switch {
		case s.settled || s.hasPendingCall():
		case len(s.calls) == 0 && !f.suspectsCause(r):
			f.sendFirst(now, r, i, out)
		default:
			f.retryOrHold(now, r, i, out)
		}
	}
}

// maxDisconnected limits the upstreams that a request keeps as disconnected.
const maxDisconnected = 8

// addDisconnected records an upstream that ended the connection while it had the request.
func (r *request) addDisconnected(now almondstep.Instant, u almondstep.UpstreamRun) {
	r.disconnectedAt = now
	t := &r.trace
	if len(t.Disconnected) < maxDisconnected {
		t.Fingerprint = r.fingerprint()
		t.Disconnected = append(t.Disconnected, u)
	}
}

// reportCrashes reports, at the end of a request, the upstreams that crashed under it if
// none has answered it, now or shortly before, or that it is cleared. The part that a regional
// delegate answers is judged by the daemon that sent it, which has the other parts.
func (f *Forwarder) reportCrashes(r *request, out []almondstep.Effect) []almondstep.Effect {
	switch {
	case r.asDelegate && r.isPart():
		return out
	case r.survived():
		if f.knownCrashes(r) > 0 {
			return append(out, &almondstep.RequestSurvived{Fingerprint: r.fingerprint()})
		}
		return out
	case len(r.trace.Disconnected) == 0 || f.answered.since(r.disconnectedAt.Add(-answeredLately), r.fingerprint()):
		return out
	}
	crashed := r.trace.Disconnected
	if f.crashLimit > 0 {
		crashed = crashed[:min(f.crashLimit, len(crashed))]
	}
	return append(out, &almondstep.RequestCrashed{
		Fingerprint: r.fingerprint(), Upstreams: crashed, AnsweredAgo: f.answered.before(r.disconnectedAt, r.fingerprint()),
	})
}
