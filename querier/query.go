package querier

import (
	"time"

	"almondstep"
	"almondstep/merger"
	"almondstep/planner"
)

// stage is the current phase of a query.
type stage uint8

const (
	// stageClaim waits for the claim of an idempotency key; nothing has been sent.
	stageClaim stage = iota
	// stageCanary waits for a few shards, to find out whether the request is safe.
	stageCanary
	// stageFanOut has requested all shards.
	stageFanOut
)

// query is one open query.
type query struct {
	id almondstep.QueryID
	// listIndex is the query's index in Queries.openList.
	listIndex int
	stage     stage
	request   request
	arrived   almondstep.Instant
	// soft and hard are the deadlines.
	soft almondstep.Instant
	hard almondstep.Instant
	plan *planner.Plan
	// shards has the state of each of the plan's targets, in the same order.
	shards   []shard
	attempts []attempt
	records  merger.Records
	// total is the number of matching records in the merged shards.
	total   int
	merged  int
	missing int
	// inFlight counts the open tries, begun those that may have begun, and sent all.
	inFlight  int
	begun     int
	sent      int
	canaries  int
	crashes   int
	shed      int
	coldTries int
	// flushAfter is the delay after which owners answer with the items that have
	// ended.
	flushAfter time.Duration
	softPassed bool
	replanned  bool
	// outdated is set if a newer plan may have replicas of a missing shard.
	outdated bool
	// stopped is set by a crash in the fan-out; no further attempts are sent then.
	stopped    bool
	timerIsSet bool
}

// request is the caller's request, a search or another operation.
type request struct {
	service     almondstep.Service
	tenant      almondstep.TenantConfig
	class       almondstep.Class
	text        string
	limit       int
	operation   string
	atMostOnce  bool
	fingerprint almondstep.Fingerprint
}

// shardState is the state of one wanted shard.
type shardState uint8

const (
	// shardWaiting has not been requested, or may be requested again.
	shardWaiting shardState = iota
	// shardRequested has at least one open try.
	shardRequested
	// shardMerged is part of the answer.
	shardMerged
	// shardMissing will not be part of the answer.
	shardMissing
)

const (
	// maxTries bounds all tries of one shard, including those refused before
	// they began.
	maxTries = 4
	// maxBegun bounds the tries of one shard that may have begun. It holds for the
	// whole request path, since owners don't retry; a replan counts anew.
	maxBegun = 2
)

// shard is one wanted shard of a query.
type shard struct {
	state shardState
	// begun counts the tries that may have begun, tryCount all of them.
	begun    uint8
	tryCount uint8
	// picked is set while a try is queued for sendPicks.
	picked bool
	// outOfTokens is set when there is another replica but the budget has no token
	// for it. It prevents a replan, which would cost far more than the retry.
	outOfTokens bool
	tries       [maxTries]try
	// reason is why the last failed try ended, or why the shard is missing.
	reason almondstep.Reason
	// stamp is the sequence number of the last answer that listed the shard.
	stamp uint64
}

// try is one item of one attempt, as recorded for its shard.
type try struct {
	attempt almondstep.AttemptID
	item    uint32
	open    bool
}

// attempt is one Work sent to one owner.
type attempt struct {
	owner almondstep.DaemonID
	items []almondstep.Item
	sent  almondstep.Instant
	// due is when the owner counts as unresponsive if it hasn't answered.
	due almondstep.Instant
	// rtt is the round-trip time to the farthest replica among the tries sent
	// together with this attempt.
	rtt time.Duration
	// open counts the open tries, collects the Collects sent.
	open     int
	collects int
	// resolved is set once the owner has answered or the Work has failed.
	resolved bool
	// unresponsive is set if the owner hadn't answered when the attempt was due.
	unresponsive bool
}

// attemptOf returns the attempt with the given number; nil if the query has sent
// no such attempt to the owner.
func (qu *query) attemptOf(id almondstep.AttemptID, owner almondstep.DaemonID) *attempt {
	if id == 0 || int(id) > len(qu.attempts) {
		return nil
	}
	at := &qu.attempts[id-1]
	if at.owner != owner {
		return nil
	}
	return at
}

// openTry returns the open try of an item of an attempt and the index of its
// shard; the try is nil if there is none.
func (qu *query) openTry(id almondstep.AttemptID, item almondstep.Item) (target int, t *try) {
	target, ok := qu.plan.Index(item.Shard)
	if !ok {
		return 0, nil
	}
	sh := &qu.shards[target]
	for i := range sh.tryCount {
		t := &sh.tries[i]
		if t.open && t.attempt == id && qu.attempts[id-1].items[t.item].Upstream == item.Upstream {
			return target, t
		}
	}
	return 0, nil
}

// closeTry records that no more answers are expected for a try.
func (qu *query) closeTry(t *try) {
	t.open = false
	qu.attempts[t.attempt-1].open--
	qu.inFlight--
}

// openTries counts a shard's open tries.
func (sh *shard) openTries() int {
	n := 0
	for i := range sh.tryCount {
		if sh.tries[i].open {
			n++
		}
	}
	return n
}

// shedAboveThreshold reports whether upstreams shed more than 1 in 50 of the
// sub-requests sent, because they were at capacity.
func (qu *query) shedAboveThreshold() bool {
	const thresholdDivisor = 50
	return qu.shed*thresholdDivisor > qu.sent
}

// reset clears a query for reuse but keeps its allocated memory.
func (qu *query) reset() {
	clear(qu.attempts)
	clear(qu.shards)
	shards := qu.shards[:0]
	attempts := qu.attempts[:0]
	records := qu.records
	records.Reset(0)
	*qu = query{shards: shards, attempts: attempts, records: records}
}
