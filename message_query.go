package almondstep

import "time"

// SearchArrived says that a caller asks for a search.
type SearchArrived struct {
	ID     QueryID    `json:"id"`
	Scheme SchemeName `json:"scheme,omitempty"`
	Name   string     `json:"name"`
	Tenant TenantName `json:"tenant"`
	Class  ClassName  `json:"class"`
	// Text is what to search for.
	Text string `json:"text"`
	// Limit bounds the merged records, 1 to 10,000.
	Limit int `json:"limit"`
	// Deadline is the time the caller gives; 0 means the class's hard deadline.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Fingerprint identifies the request over resends.
	Fingerprint Fingerprint `json:"fingerprint"`
}

// RunArrived says that a caller asks for an operation other than search. It
// runs at most once unless the operators' text calls it idempotent.
type RunArrived struct {
	ID        QueryID    `json:"id"`
	Scheme    SchemeName `json:"scheme,omitempty"`
	Name      string     `json:"name"`
	Tenant    TenantName `json:"tenant"`
	Class     ClassName  `json:"class"`
	Operation string     `json:"operation"`
	// RecordKey chooses the shard.
	RecordKey string `json:"recordKey"`
	Body      string `json:"body"`
	// Key is the caller's idempotency key; empty if it gave none.
	Key         string        `json:"key,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Fingerprint Fingerprint   `json:"fingerprint"`
}

// CallerGone says that the caller closed its request.
type CallerGone struct {
	ID QueryID `json:"id"`
}

// Item is one shard's part of a message to an owner.
type Item struct {
	Shard    Shard   `json:"shard"`
	Upstream Address `json:"upstream"`
}

// Work is what an entry daemon asks an owner: one message per query and owner.
type Work struct {
	Query   QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	Version Version   `json:"version"`
	Class   ClassName `json:"class"`
	// Priority is the class's priority; 0 is served first.
	Priority int        `json:"priority"`
	Tenant   TenantName `json:"tenant"`
	Text     string     `json:"text"`
	Limit    int        `json:"limit"`
	// Operation is empty for a search.
	Operation   string      `json:"operation,omitempty"`
	Idempotent  bool        `json:"idempotent"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Remaining is the time left until the hard deadline.
	Remaining time.Duration `json:"remaining"`
	// FlushAfter is when the owner answers with what it has, and the rest as pending.
	FlushAfter time.Duration `json:"flushAfter"`
	// Hedge says that another attempt of the same shards is under way.
	Hedge bool   `json:"hedge,omitempty"`
	Items []Item `json:"items"`
}

// Repeatable says whether running the work twice does no harm: it is a search,
// or an operation that the operators' text calls idempotent.
func (w *Work) Repeatable() bool { return w.Operation == "" || w.Idempotent }

// ItemOutcome says how one item of a Work ended.
type ItemOutcome uint8

const (
	// ItemDone has its records in the answer.
	ItemDone ItemOutcome = iota
	// ItemPending is still queued or running; Collect brings it.
	ItemPending
	// ItemNotRun was refused before it began: shed, no allowance, not the owner.
	ItemNotRun
	// ItemFailed began and failed.
	ItemFailed
	// ItemUnknown may have run.
	ItemUnknown
	// ItemWrongVersion was answered from another snapshot, and dropped.
	ItemWrongVersion
	// ItemCrashed took its upstream down while it ran.
	ItemCrashed
)

// ItemAnswer is one item's outcome.
type ItemAnswer struct {
	Item    Item        `json:"item"`
	Outcome ItemOutcome `json:"outcome"`
	// Reason says why, for coverage and logs; empty if done.
	Reason Reason `json:"reason,omitempty"`
	// Total is the number of matching records in the shard.
	Total int `json:"total"`
	// Took is the time the upstream took, without the queue.
	Took time.Duration `json:"took"`
}

// Reason says why a shard is missing from an answer.
type Reason string

// Reasons a shard can be missing.
const (
	ReasonNoReplica    Reason = "noReplica"
	ReasonShed         Reason = "shed"
	ReasonCold         Reason = "cold"
	ReasonNotOwner     Reason = "notOwner"
	ReasonLeaving      Reason = "leaving"
	ReasonDeadline     Reason = "deadline"
	ReasonFailed       Reason = "failed"
	ReasonWrongVersion Reason = "wrongVersion"
	ReasonCrashed      Reason = "crashed"
	ReasonQuarantined  Reason = "quarantined"
	ReasonUnreachable  Reason = "unreachable"
	ReasonZoneDrained  Reason = "zoneOut"
	ReasonStopping     Reason = "stopping"
)

// WorkAnswered brings an owner's partly merged answer to a Work or a Collect.
type WorkAnswered struct {
	ID      QueryID      `json:"id"`
	Attempt AttemptID    `json:"attempt"`
	Owner   DaemonID     `json:"owner"`
	Version Version      `json:"version"`
	Items   []ItemAnswer `json:"items"`
	// Records are the first Limit of the done items, in key order.
	Records []Record `json:"records"`
	// Sources says for each record which of Items it is from, so that the entry
	// daemon can leave out those of a shard that a hedge has already answered.
	// Without it, such an answer is dropped as a whole.
	Sources []uint32 `json:"sources,omitempty"`
}

// WorkFailed says that a Work or Collect got no answer. NotRun says that it is
// certain that nothing began.
type WorkFailed struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Owner   DaemonID  `json:"owner"`
	NotRun  bool      `json:"notRun"`
}

// ClaimAnswered says how the claim of an idempotency key ended.
type ClaimAnswered struct {
	ID      QueryID      `json:"id"`
	Outcome ClaimOutcome `json:"outcome"`
}

// ClaimOutcome says how the claim of an idempotency key ended.
type ClaimOutcome uint8

const (
	// ClaimGranted allows the one run.
	ClaimGranted ClaimOutcome = iota
	// ClaimTaken says that an earlier request with this key may have run.
	ClaimTaken
	// ClaimUnavailable says that the platform could not be asked; nothing has run.
	ClaimUnavailable
)

// QueryTimer is a timer of a query that has come due.
type QueryTimer struct {
	ID   QueryID   `json:"id"`
	What TimerKind `json:"what"`
	// Attempt is the attempt the timer is for; 0 if for the whole query.
	Attempt AttemptID `json:"attempt,omitempty"`
}

// TimerKind says what a timer is for.
type TimerKind uint8

const (
	// TimerSoft is the soft deadline.
	TimerSoft TimerKind = iota
	// TimerHard is the hard deadline.
	TimerHard
	// TimerHedge is the hedge delay of an attempt.
	TimerHedge
	// TimerFlush is when an owner answers with what it has.
	TimerFlush
	// TimerQueue is when an upstream's queue must be looked at again.
	TimerQueue
)

// Query says which query the event is for.
func (e *SearchArrived) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *RunArrived) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *CallerGone) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *WorkAnswered) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *WorkFailed) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *ClaimAnswered) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *QueryTimer) Query() QueryID { return e.ID }

// Kind names the event.
func (*SearchArrived) Kind() string { return "searchArrived" }

// Kind names the event.
func (*RunArrived) Kind() string { return "runArrived" }

// Kind names the event.
func (*CallerGone) Kind() string { return "callerGone" }

// Kind names the event.
func (*WorkAnswered) Kind() string { return "workAnswered" }

// Kind names the event.
func (*WorkFailed) Kind() string { return "workFailed" }

// Kind names the event.
func (*ClaimAnswered) Kind() string { return "claimAnswered" }

// Kind names the event.
func (*QueryTimer) Kind() string { return "queryTimer" }

// SendWork asks the runner to send a Work to an owner. The outcome comes back as
// WorkAnswered or WorkFailed.
type SendWork struct {
	Owner DaemonID `json:"owner"`
	Work  *Work    `json:"work"`
}

// SendCollect asks an owner for the pending rest of a Work. The outcome comes
// back as WorkAnswered or WorkFailed.
type SendCollect struct {
	Owner     DaemonID      `json:"owner"`
	Query     QueryID       `json:"query"`
	Attempt   AttemptID     `json:"attempt"`
	Remaining time.Duration `json:"remaining"`
}

// SendCancel tells an owner that nothing more is wanted of an attempt. With
// Items it is for these only, so that a hedge's losers stop.
type SendCancel struct {
	Owner   DaemonID  `json:"owner"`
	Query   QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	Items   []Item    `json:"items,omitempty"`
}

// ClaimKey asks for the idempotency key of a request to be claimed.
type ClaimKey struct {
	ID          QueryID       `json:"id"`
	Key         string        `json:"key"`
	Fingerprint Fingerprint   `json:"fingerprint"`
	Remaining   time.Duration `json:"remaining"`
}

// SetQueryTimer asks for a QueryTimer after a delay. A timer of a query that
// has ended is ignored.
type SetQueryTimer struct {
	ID      QueryID       `json:"id"`
	What    TimerKind     `json:"what"`
	Attempt AttemptID     `json:"attempt,omitempty"`
	After   time.Duration `json:"after"`
}

// ReplyCaller ends a query.
type ReplyCaller struct {
	ID     QueryID `json:"id"`
	Answer *Answer `json:"answer"`
}

// ReportCrash tells the control thread that a request crashed an upstream.
type ReportCrash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    Address     `json:"upstream"`
}

// Kind names the effect.
func (*SendWork) Kind() string { return "sendWork" }

// Kind names the effect.
func (*SendCollect) Kind() string { return "sendCollect" }

// Kind names the effect.
func (*SendCancel) Kind() string { return "sendCancel" }

// Kind names the effect.
func (*ClaimKey) Kind() string { return "claimKey" }

// Kind names the effect.
func (*SetQueryTimer) Kind() string { return "setQueryTimer" }

// Kind names the effect.
func (*ReplyCaller) Kind() string { return "replyCaller" }

// Kind names the effect and the event.
func (*ReportCrash) Kind() string { return "reportCrash" }

// Control marks the event: the effect comes back to the control partition.
func (*ReportCrash) Control() {}
