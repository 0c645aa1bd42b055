package almondstep

import "time"

// SearchArrived is a caller's search request.
type SearchArrived struct {
	ID     QueryID    `json:"id"`
	Scheme SchemeName `json:"scheme,omitempty"`
	Name   string     `json:"name"`
	Tenant TenantName `json:"tenant"`
	Class  ClassName  `json:"class"`
	// Text is the search text.
	Text string `json:"text"`
	// Limit is the maximum number of merged records, 1 to 10,000.
	Limit int `json:"limit"`
	// Deadline is the time the caller allows; 0 means the class's hard deadline.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Fingerprint identifies the request; it is the same if the request is sent again.
	Fingerprint Fingerprint `json:"fingerprint"`
}

// RunArrived is a caller's request for an operation other than search. It runs at
// most once unless the configuration declares the operation idempotent.
type RunArrived struct {
	ID        QueryID    `json:"id"`
	Scheme    SchemeName `json:"scheme,omitempty"`
	Name      string     `json:"name"`
	Tenant    TenantName `json:"tenant"`
	Class     ClassName  `json:"class"`
	Operation string     `json:"operation"`
	// RecordKey determines the shard.
	RecordKey string `json:"recordKey"`
	Body      string `json:"body"`
	// Key is the caller's idempotency key; empty if it gave none.
	Key         string        `json:"key,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Fingerprint Fingerprint   `json:"fingerprint"`
}

// CallerGone occurs when the caller has abandoned its request.
type CallerGone struct {
	ID QueryID `json:"id"`
}

// Item is one shard of a Work and the upstream to query.
type Item struct {
	Shard    Shard   `json:"shard"`
	Upstream Address `json:"upstream"`
}

// Work is an entry daemon's batch of sub-requests to an owner: one message per
// query and owner.
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
	// FlushAfter is the delay after which the owner answers with the items that have
	// ended and reports the rest as pending.
	FlushAfter time.Duration `json:"flushAfter"`
	// Hedge is set if another attempt at the same shards is in flight.
	Hedge bool   `json:"hedge,omitempty"`
	Items []Item `json:"items"`
}

// Repeatable reports whether the work may safely run twice: it is a search, or an
// operation that the configuration declares idempotent.
func (w *Work) Repeatable() bool { return w.Operation == "" || w.Idempotent }

// ItemOutcome is how one item of a Work ended.
type ItemOutcome uint8

const (
	// ItemDone succeeded; its records are in the answer.
	ItemDone ItemOutcome = iota
	// ItemPending is still queued or running; a Collect fetches its outcome.
	ItemPending
	// ItemNotRun was refused before it started: shed, beyond the cold allowance, or
	// sent to a daemon that isn't the owner.
	ItemNotRun
	// ItemFailed started and failed.
	ItemFailed
	// ItemUnknown may have run; its outcome is unknown.
	ItemUnknown
	// ItemWrongVersion was answered from another snapshot; the answer was discarded.
	ItemWrongVersion
	// ItemCrashed crashed its upstream while it ran.
	ItemCrashed
)

// ItemAnswer is one item's outcome.
type ItemAnswer struct {
	Item    Item        `json:"item"`
	Outcome ItemOutcome `json:"outcome"`
	// Reason explains the outcome in coverage and logs; empty if done.
	Reason Reason `json:"reason,omitempty"`
	// Total is the number of matching records in the shard.
	Total int `json:"total"`
	// Took is the time the upstream took, excluding the time in the queue.
	Took time.Duration `json:"took"`
}

// Reason is why an item failed or was refused, and thus why its shard is missing from
// an answer.
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

// WorkAnswered is an owner's partially merged answer to a Work or a Collect.
type WorkAnswered struct {
	ID      QueryID      `json:"id"`
	Attempt AttemptID    `json:"attempt"`
	Owner   DaemonID     `json:"owner"`
	Version Version      `json:"version"`
	Items   []ItemAnswer `json:"items"`
	// Records are the first Limit records of the done items, in key order.
	Records []Record `json:"records"`
	// Sources holds for each record the index of its item in Items, so that the
	// entry daemon can skip the records of a shard that a hedge has already
	// answered. Without Sources, it discards such an answer entirely.
	Sources []uint32 `json:"sources,omitempty"`
}

// WorkFailed occurs when a Work or Collect got no answer. NotRun is set if it is
// certain that no item started.
type WorkFailed struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Owner   DaemonID  `json:"owner"`
	NotRun  bool      `json:"notRun"`
}

// ClaimAnswered is the outcome of a ClaimKey.
type ClaimAnswered struct {
	ID      QueryID      `json:"id"`
	Outcome ClaimOutcome `json:"outcome"`
}

// ClaimOutcome is the result of claiming an idempotency key.
type ClaimOutcome uint8

const (
	// ClaimGranted allows the request to run, once.
	ClaimGranted ClaimOutcome = iota
	// ClaimTaken means that an earlier request with this key may have run.
	ClaimTaken
	// ClaimUnavailable means that the platform could not be reached; nothing has run.
	ClaimUnavailable
)

// QueryTimer occurs when a timer of a query expires.
type QueryTimer struct {
	ID      QueryID   `json:"id"`
	Purpose TimerKind `json:"what"`
	// Attempt is the attempt the timer belongs to; 0 for the whole query, as for all
	// timers that package querier sets.
	Attempt AttemptID `json:"attempt,omitempty"`
}

// TimerKind is the purpose of a timer.
type TimerKind uint8

const (
	// TimerSoft is the soft deadline.
	TimerSoft TimerKind = iota
	// TimerHard is the hard deadline.
	TimerHard
	// TimerHedge is when the owners that have not answered are checked, so that their
	// shards can be hedged. A query has one such timer, for the owner that is due next.
	TimerHedge
	// TimerFlush is when an owner answers with the items that have ended.
	TimerFlush
	// TimerQueue is when an upstream's queue must be checked again.
	TimerQueue
)

// Query returns the ID of the query the event belongs to.
func (e *SearchArrived) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *RunArrived) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *CallerGone) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *WorkAnswered) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *WorkFailed) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *ClaimAnswered) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
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

// SendWork sends a Work to an owner. The outcome is returned as WorkAnswered or
// WorkFailed.
type SendWork struct {
	Owner DaemonID `json:"owner"`
	Work  *Work    `json:"work"`
}

// SendCollect asks an owner for the pending items of a Work. The outcome is
// returned as WorkAnswered or WorkFailed.
type SendCollect struct {
	Owner     DaemonID      `json:"owner"`
	Query     QueryID       `json:"query"`
	Attempt   AttemptID     `json:"attempt"`
	Remaining time.Duration `json:"remaining"`
}

// SendCancel cancels an attempt at an owner or, if Items is set, only these items,
// such as those that another attempt has already answered.
type SendCancel struct {
	Owner   DaemonID  `json:"owner"`
	Query   QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	Items   []Item    `json:"items,omitempty"`
}

// ClaimKey claims the idempotency key of a request. The outcome is returned as
// ClaimAnswered.
type ClaimKey struct {
	ID          QueryID       `json:"id"`
	Key         string        `json:"key"`
	Fingerprint Fingerprint   `json:"fingerprint"`
	Remaining   time.Duration `json:"remaining"`
}

// SetQueryTimer requests a QueryTimer after a delay. A timer of a query that has
// ended is ignored.
type SetQueryTimer struct {
	ID      QueryID       `json:"id"`
	Purpose TimerKind     `json:"what"`
	Attempt AttemptID     `json:"attempt,omitempty"`
	After   time.Duration `json:"after"`
}

// ReplyCaller sends the answer to the caller and ends the query.
type ReplyCaller struct {
	ID     QueryID `json:"id"`
	Answer *Answer `json:"answer"`
}

// ReportCrash reports to the control thread that a request crashed an upstream.
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

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*ReportCrash) Control() {}
