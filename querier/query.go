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
	id         almondstep.QueryID
	listIndex  int
	stage      stage
	request    request
	arrived    almondstep.Instant
	soft       almondstep.Instant
	hard       almondstep.Instant
	plan       *planner.Plan
	shards     []shard
	attempts   []attempt
	records    merger.Records
	total      int
	merged     int
	missing    int
	inFlight   int
	begun      int
	sent       int
	canaries   int
	crashes    int
	shed       int
	coldTries  int
	flushAfter time.Duration
	softPassed bool
	replanned  bool
	outdated   bool
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
	// maxBegun bounds the tries of one shard that may have begun, over the
	// whole request path.
	maxBegun = 2
)

// shard is one wanted shard of a query.
type shard struct {
	state  shardState
	begun  uint8
	count  uint8
	picked bool
	// outOfTokens is set when there is another replica but the budget has no token
	// for it. It prevents a replan, which would cost far more than the retry.
	outOfTokens bool
	tries       [maxTries]try
	reason      almondstep.Reason
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
	due   almondstep.Instant
	// rtt is the round-trip time to the owner.
	rtt          time.Duration
	open         int
	collects     int
	resolved     bool
	unresponsive bool
}

// attemptOf returns the attempt with a number and owner; nil if the query never
// sent it.
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

// openTry returns the open try that an item's outcome belongs to; nil if there
// is none.
func (qu *query) openTry(id almondstep.AttemptID, item almondstep.Item) (target int, t *try) {
	target, ok := qu.plan.Index(item.Shard)
	if !ok {
		return 0, nil
	}
	sh := &qu.shards[target]
	for i := range sh.count {
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
	for i := range sh.count {
		if sh.tries[i].open {
			n++
		}
	}
	return n
}

// shedAboveThreshold reports whether upstreams shed more than 2% of the
// sub-requests because they were at capacity.
func (qu *query) shedAboveThreshold() bool {
	const shedThreshold = 50
	return qu.shed*shedThreshold > qu.sent
}

// reset clears a query for reuse but keeps its memory.
func (qu *query) reset() {
	clear(qu.attempts)
	clear(qu.shards)
	shards := qu.shards[:0]
	attempts := qu.attempts[:0]
	records := qu.records
	records.Reset(0)
	*qu = query{shards: shards, attempts: attempts, records: records}
}
