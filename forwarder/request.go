package forwarder

import (
	"time"

	"almondstep"
)

// request is one caller's request under way.
type request struct {
	id        almondstep.QueryID
	message   *almondstep.RequestMessage
	route     *almondstep.Route
	directory *almondstep.Directory
	arrivedAt almondstep.Instant
	// answerBy is the last moment at which an answer is still in time; a partial
	// one leaves then.
	answerBy almondstep.Instant
	// deadline is when the caller is answered in any case.
	deadline almondstep.Instant
	shards   []shard
	// open counts the shards that are neither in nor given up; out counts the
	// calls under way.
	open     int
	out      int
	answered bool
	// own says that this daemon must ask the shards itself, since another one has
	// handed the request over.
	own bool
	// handed is the call to a delegate that is out, if there is one; handedTo are
	// those that were asked.
	handed   *handed
	handedTo []almondstep.DaemonID
	// help is the part that another region's daemon answers, if there is one.
	help *help
	// timerAt is when the armed timer comes due; 0 if none is armed.
	timerAt almondstep.Instant
	trace   almondstep.RequestTrace
}

// shard is the part of a request that one service answers. A request that isn't
// over shards has one.
type shard struct {
	service almondstep.ServiceName
	calls   []call
	// hedgeAt is when the shard is hedged if it isn't in by then.
	hedgeAt almondstep.Instant
	part    *almondstep.ResponseMessage
	// failure is an upstream's own answer that isn't a success.
	failure *almondstep.ResponseMessage
	settled bool
	result  almondstep.CallResult
}

// call is one call to one upstream.
type call struct {
	id       almondstep.CallID
	upstream *almondstep.Upstream
	ended    bool
	result   almondstep.CallResult
	// paid says that the call was taken from the retry budget.
	paid bool
}

// gathers says that the request is over shards.
func (r *request) gathers() bool { return len(r.route.Shards()) > 0 }

// arrivals counts the calls that may have reached an upstream.
func (s *shard) arrivals() int {
	n := 0
	for _, c := range s.calls {
		if !c.ended || c.result != almondstep.CallRefused {
			n++
		}
	}
	return n
}

// waiting says that a call is under way.
func (s *shard) waiting() bool {
	for _, c := range s.calls {
		if !c.ended {
			return true
		}
	}
	return false
}

// mayHaveRun says that some call may have run.
func (s *shard) mayHaveRun() bool {
	for _, c := range s.calls {
		if !c.ended || !c.result.NotRun() {
			return true
		}
	}
	return false
}

// tried says that the upstream was called before.
func (s *shard) tried(u *almondstep.Upstream) bool {
	for _, c := range s.calls {
		if c.upstream.ID == u.ID {
			return true
		}
	}
	return false
}

func (r *request) mayHaveRun() bool {
	if r.help != nil {
		return true
	}
	for i := range r.shards {
		if r.shards[i].mayHaveRun() {
			return true
		}
	}
	return false
}

// included is the number of shards that are in.
func (r *request) included() int {
	n := 0
	for i := range r.shards {
		if r.shards[i].part != nil {
			n++
		}
	}
	return n + r.help.included()
}

// roundingSlack forgives the rounding of a share that operators wrote in
// decimals.
const roundingSlack = 1e-9

// covers says that so many shards are enough for an answer.
func (r *request) covers(included int) bool {
	return included > 0 && float64(included) >= r.route.MinCoverage()*float64(r.total())-roundingSlack
}

const (
	// replyTime is what a reply takes to reach its caller, with some room for a
	// busy processor.
	replyTime = 13 * time.Millisecond
	// leastWait keeps a request with hardly any time left from being dropped
	// before it is tried.
	leastWait = time.Millisecond
)

// setTimes derives when the request must be answered.
func (r *request) setTimes(now almondstep.Instant, remaining time.Duration) {
	limit := r.route.Timeout()
	if remaining > 0 {
		limit = min(limit, remaining)
	}
	r.arrivedAt = now
	r.deadline = now.Add(max(leastWait, limit-replyTime))
	r.answerBy = r.deadline
	if target := r.route.LatencyTarget(); target > 0 {
		r.answerBy = min(r.deadline, now.Add(max(target/2, target-replyTime)))
	}
}
