package forwarder

import (
	"time"

	"almondstep"
)

// request is one caller's request in progress.
type request struct {
	id        almondstep.QueryID
	message   *almondstep.RequestMessage
	route     *almondstep.Route
	directory *almondstep.Directory
	// organisation is that of the caller; nil if the route is public, if the routes define no
	// organisations, or if another daemon has delegated the request.
	organisation *almondstep.Organisation
	quota        quotaState
	arrivedAt    almondstep.Instant
	// answerBy is the latest time at which an answer meets the latency target; a
	// partial answer is sent then.
	answerBy almondstep.Instant
	// deadline is when the caller is answered in any case.
	deadline almondstep.Instant
	shards   []shard
	// openShards counts the shards that are neither answered nor marked missing;
	// openCalls counts the pending calls.
	openShards int
	openCalls  int
	answered   bool
	admission  admission
	// asDelegate reports whether another daemon forwarded the request, so that
	// this one must query the shards itself.
	asDelegate bool
	// delegated is the pending call to a delegate, if any; triedDelegates lists
	// the delegates that were called.
	delegated      *delegatedCall
	triedDelegates []almondstep.DaemonID
	// regional is the part that a regional delegate answers, if any.
	regional *regionalPart
	// partUnanswered lists the upstreams that have left that part unanswered.
	partUnanswered []almondstep.UpstreamRun
	// disconnectedAt is when an upstream last ended the connection while it had the request; 0
	// if none has.
	disconnectedAt almondstep.Instant
	// recheck is how far the request has come as a recheck, and recheckRecord the record of the recheck.
	recheck       recheckState
	recheckRecord almondstep.CrashRecord
	// timerAt is when the timer that is set expires; 0 if none is set.
	timerAt almondstep.Instant
	// knownFingerprint is 0 until it is needed.
	knownFingerprint almondstep.Fingerprint
	trace            almondstep.RequestTrace
}

// shard is the part of a request that one service answers. A request that isn't
// over shards has exactly one.
type shard struct {
	service almondstep.ServiceName
	calls   []call
	// hedgeAt is when the shard is hedged if it isn't answered by then.
	hedgeAt almondstep.Instant
	// part is the shard's answer; nil if there is none.
	part *almondstep.ResponseMessage
	// failure is the last signed error response received from an upstream.
	failure *almondstep.ResponseMessage
	// limitWait is the time until the limits of the upstreams allow a call, if these are
	// why the shard wasn't called; otherwise 0.
	limitWait time.Duration
	// held is set while a retry waits for the first answer to the request, which shows
	// that the request doesn't crash the upstreams.
	held bool
	// settled is set once the shard is answered or marked missing.
	settled bool
	// result is that of the last failed call.
	result almondstep.CallResult
}

// call is one call to one upstream.
type call struct {
	id       almondstep.CallID
	upstream *almondstep.Upstream
	sentAt   almondstep.Instant
	ended    bool
	result   almondstep.CallResult
	// unresponsive reports whether the upstream had left its latest calls unanswered when
	// this one was sent.
	unresponsive bool
	// returning reports whether the upstream returned from a pause when this one was sent.
	returning bool
	// budgeted reports whether the call was taken from the retry budget.
	budgeted bool
}

// overShards reports whether the request is over shards.
func (r *request) overShards() bool { return len(r.route.Shards()) > 0 }

// countedAttempts returns the number of calls that count towards the route's maximum of
// attempts: those that may have reached an upstream.
func (s *shard) countedAttempts() int {
	n := 0
	for _, c := range s.calls {
		if !c.ended || c.result != almondstep.CallRefused {
			n++
		}
	}
	return n
}

// hasPendingCall reports whether one of the shard's calls is pending.
func (s *shard) hasPendingCall() bool {
	for _, c := range s.calls {
		if !c.ended {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether some call may have run.
func (s *shard) mayHaveRun() bool {
	for _, c := range s.calls {
		if !c.ended || !c.result.NotRun() {
			return true
		}
	}
	return false
}

// tried reports whether the upstream was called before.
func (s *shard) tried(u *almondstep.Upstream) bool {
	for _, c := range s.calls {
		if c.upstream.ID == u.ID {
			return true
		}
	}
	return false
}

func (r *request) mayHaveRun() bool {
	if r.regional != nil && !r.regional.refused {
		return true
	}
	for i := range r.shards {
		if r.shards[i].mayHaveRun() {
			return true
		}
	}
	return false
}

// included returns the number of shards whose answer has been received.
func (r *request) included() int {
	n := 0
	for i := range r.shards {
		if r.shards[i].part != nil {
			n++
		}
	}
	return n + r.regional.included()
}

// roundingSlack absorbs the rounding error of a coverage ratio that was configured
// as a decimal fraction.
const roundingSlack = 1e-9

// covers reports whether included shards are enough for an answer.
func (r *request) covers(included int) bool {
	return included > 0 && float64(included) >= r.route.MinCoverage()*float64(r.total())-roundingSlack
}

const (
	// replyTime is reserved for a reply to reach its caller, and for the time before the request
	// arrived: a caller that opens a connection counts two round trips of some 6 ms. The rest is
	// a margin for a busy processor on both ways.
	replyTime = 20 * time.Millisecond
	// minTimeLeft is the minimum time to answer a request, so that one that arrives
	// with almost no time left is still tried.
	minTimeLeft = time.Millisecond
)

// setDeadlines computes when the request must be answered. remaining is how long the
// caller waits; 0 if unknown.
func (r *request) setDeadlines(now almondstep.Instant, remaining time.Duration) {
	limit := r.route.Timeout()
	if remaining > 0 {
		limit = min(limit, remaining)
	}
	r.arrivedAt = now
	r.deadline = now.Add(max(minTimeLeft, limit-replyTime))
	r.answerBy = r.deadline
	if target := r.route.LatencyTarget(); target > 0 {
		r.answerBy = min(r.deadline, now.Add(max(target/2, target-replyTime)))
	}
}
