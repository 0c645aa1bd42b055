package almondstep

import "time"

// Outcome is how a request ended. Every request has one of the outcomes below.
type Outcome string

const (
	// OutcomeComplete is an answer that covers every shard.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial is an answer whose coverage lists the missing shards.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun is a refusal; no upstream has started the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcomeUnknown"
)

// Answer is the result of a query that a caller receives.
type Answer struct {
	Query   QueryID `json:"-"`
	Outcome Outcome `json:"outcome"`
	// Code is the machine-readable reason of the outcome; empty if complete.
	Code RefusalCode `json:"code,omitempty"`
	// Message is the human-readable reason of the outcome.
	Message  string   `json:"message,omitempty"`
	Coverage Coverage `json:"coverage"`
	// Total is the number of matching records in the covered shards.
	Total int `json:"total"`
	// Records are the first matching records in key order, at most the requested
	// limit.
	Records []Record      `json:"records"`
	Took    time.Duration `json:"tookNanos"`
	// Attempts is the number of sub-requests sent, hedges and retries included.
	Attempts int `json:"attempts"`
	// Needed is the number of sub-requests that the query needs without hedges and
	// retries: one for each shard.
	Needed int `json:"needed"`
}

// RefusalCode is the reason why a request was refused or is not complete.
type RefusalCode string

// Refusal codes.
const (
	CodeNoConfiguration RefusalCode = "noConfiguration"
	CodeUnknownName     RefusalCode = "unknownName"
	CodeAmbiguousName   RefusalCode = "ambiguousName"
	CodeUnknownTenant   RefusalCode = "unknownTenant"
	CodeUnknownClass    RefusalCode = "unknownClass"
	CodeUnknownOp       RefusalCode = "unknownOperation"
	CodeOverload        RefusalCode = "overload"
	CodeDeadline        RefusalCode = "deadline"
	CodeQuarantined     RefusalCode = "quarantined"
	CodeNoReplica       RefusalCode = "noReplica"
	CodeLimited         RefusalCode = "limited"
	CodeKeyInvalid      RefusalCode = "keyInvalid"
	CodeKeyExpired      RefusalCode = "keyExpired"
	CodeKeyTaken        RefusalCode = "keyTaken"
	CodeNoPlatform      RefusalCode = "noPlatform"
	CodeStopping        RefusalCode = "stopping"
	CodeShed            RefusalCode = "shed"
	CodeFailed          RefusalCode = "failed"
	CodeMissingShards   RefusalCode = "missingShards"
	CodeUnknownRoute    RefusalCode = "unknownRoute"
	CodeCallerGone      RefusalCode = "callerGone"
	CodeUnauthorized    RefusalCode = "unauthorized"
	CodeRateLimited     RefusalCode = "rateLimited"
	CodeNoQuota         RefusalCode = "noQuota"
	CodeBodyTooLarge    RefusalCode = "bodyTooLarge"
	CodeBadBody         RefusalCode = "badBody"
)

// Coverage describes which shards an answer includes. It counts only shards that
// were merged.
type Coverage struct {
	// Version is the snapshot that all merged records are from; 0 if no shard was
	// merged.
	Version  Version `json:"version"`
	Complete bool    `json:"complete"`
	// Included is the number of shards merged.
	Included int `json:"included"`
	// Wanted is the number of shards the search covers.
	Wanted int `json:"wanted"`
	// Missing lists the shards that were not merged.
	Missing []MissingShard `json:"missing,omitempty"`
}

// MissingShard is a shard that an answer doesn't include, and the reason.
type MissingShard struct {
	Service ServiceName `json:"service"`
	// Shard is the shard's index, and Of the number of shards in its partitioning.
	Shard uint32 `json:"shard"`
	Of    uint32 `json:"of"`
	// From and To bound the missing key hashes; To is exclusive.
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Reason Reason `json:"reason"`
}
