package querier

import (
	"time"

	"almondstep"
	"almondstep/merger"
	"almondstep/planner"
)

// stage is how far a query has come.
type stage uint8

const (
	// stageClaim waits for the claim of an idempotency key; nothing has begun.
	stageClaim stage = iota
	// stageCanary waits for a shard or two, to see that the request is safe.
	stageCanary
	// stageFanOut has asked for all shards.
	stageFanOut
)

// query is one open query.
type query struct {
	id         almondstep.QueryID
	place      int
	stage      stage
	ask        ask
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
	trickled   int
	flushAfter time.Duration
	softPassed bool
	replanned  bool
	outdated   bool
	stopped    bool
	timerIsSet bool
}

// ask is what the caller wants, the same for searches and other operations.
type ask struct {
	service     almondstep.Service
	tenant      almondstep.TenantConfig
	class       almondstep.Class
	text        string
	limit       int
	operation   string
	once        bool
	fingerprint almondstep.Fingerprint
}

// shardState is what is known of one wanted shard.
type shardState uint8

const (
	// shardWaiting has not been asked for, or may be asked for again.
	shardWaiting shardState = iota
	// shardAsked has at least one open try.
	shardAsked
	// shardMerged is part of the answer.
	shardMerged
	// shardMissing will not be part of the answer.
	shardMissing
)

const (
	// maxTries bounds all tries of one shard, those refused before they began
	// included.
	maxTries = 4
	// maxBegun bounds the tries of one shard that may have begun, over the
	// whole path.
	maxBegun = 2
)

// shard is one wanted shard of a query.
type shard struct {
	state  shardState
	begun  uint8
	count  uint8
	picked bool
	// unpaid says that there is another replica, but the budget is used up: to
	// start over for that would cost far more.
	unpaid bool
	tries  [maxTries]try
	reason almondstep.Reason
	// stamp is the number of the answer that last had the shard.
	stamp uint64
}

// try is one item of one attempt, seen from its shard.
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
	// way is the time to the owner and back.
	way      time.Duration
	open     int
	collects int
	heard    bool
	silent   bool
}

// attemptOf finds an attempt by its number and owner; nil if the query never
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

// openTry finds the open try that an item's outcome is for.
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

// closeTry notes that nothing more is expected of a try.
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

// shedNoticeably says whether upstreams refused 2 in 100 of the sub-requests
// because they were full.
func (qu *query) shedNoticeably() bool {
	const noticeable = 50
	return qu.shed*noticeable > qu.sent
}

// reset empties a query for the next use but keeps its memory.
func (qu *query) reset() {
	clear(qu.attempts)
	clear(qu.shards)
	shards := qu.shards[:0]
	attempts := qu.attempts[:0]
	records := qu.records
	records.Reset(0)
	*qu = query{shards: shards, attempts: attempts, records: records}
}
