package forwarder

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

// stoppingRetryAfter is the delay after which a caller may retry at another daemon.
const stoppingRetryAfter = 10 * time.Millisecond

// stopsTooSoon reports whether the daemon shuts down before a request that arrives now can
// be expected to be answered. A request that isn't idempotent can't be sent again once it
// has run, so it needs all the time that it may take.
func (f *Forwarder) stopsTooSoon(r *request) bool {
	answerBy := f.view.AnswerBy()
	if answerBy == 0 {
		return false
	}
	needed := r.deadline
	if r.route.Idempotent() {
		needed = r.answerBy
	}
	return needed > answerBy
}

// capDeadline makes the request be answered before the daemon has shut down.
func (r *request) capDeadline(answerBy almondstep.Instant) {
	if answerBy == 0 {
		return
	}
	r.deadline = min(r.deadline, answerBy)
	r.answerBy = min(r.answerBy, answerBy)
}

// capDeadlines caps the deadlines of all open requests once the daemon shuts down.
func (f *Forwarder) capDeadlines(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	answerBy := f.view.AnswerBy()
	if answerBy == f.cappedTo {
		return out
	}
	f.cappedTo = answerBy
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		r := f.requests[id]
		if r.answered {
			continue
		}
		if r.admission.waiting && f.stopsTooSoon(r) {
			f.gate.Remove(r.id)
			out = f.refuseWaiting(now, r, almondstep.CodeStopping, stoppingRetryAfter, out)
			continue
		}
		r.capDeadline(answerBy)
		out = r.setTimer(now, out)
	}
	return out
}
