package almondstep

import "time"

// ExplainPath is the path at a daemon's address for operators under which it explains where a
// request would go.
const ExplainPath = "/almondstep/explain"

const (
	// MaxExplainedShards is the maximum number of shards in an explanation.
	MaxExplainedShards = 256
	// MaxExplainedCandidates is the maximum number of upstreams of each shard.
	MaxExplainedCandidates = 16
)

// ExplainRequest asks where a request would go now, without sending it. The reply is a
// ReplyExplain.
type ExplainRequest struct {
	ID   QueryID `json:"id"`
	Call CallID  `json:"call"`
	Host string  `json:"host"`
	Path string  `json:"path"`
	// Organisation is that of the caller; empty if the caller has no key.
	Organisation OrganisationName `json:"organisation,omitempty"`
	// Remaining is how long the caller waits; 0 if unknown.
	Remaining time.Duration `json:"remaining,omitempty"`
}

// ReplyExplain returns the explanation that an ExplainRequest asked for.
type ReplyExplain struct {
	Call        CallID       `json:"call"`
	Explanation *Explanation `json:"explanation"`
}

// ExplainedDecision is what would happen to a request.
type ExplainedDecision string

// Values of ExplainedDecision.
const (
	ExplainedCall     ExplainedDecision = "call"
	ExplainedDelegate ExplainedDecision = "delegate"
	ExplainedWait     ExplainedDecision = "wait"
	ExplainedRefuse   ExplainedDecision = "refuse"
)

// Explanation says where a request would go now and why. Times are in milliseconds.
type Explanation struct {
	Decision ExplainedDecision `json:"decision"`
	// Code is why the request would be refused, and RetryAfterMillis the time after which its
	// caller would be told to retry. Short is the resource that the request would lack.
	Code             RefusalCode `json:"code,omitempty"`
	RetryAfterMillis float64     `json:"retryAfterMillis,omitempty"`
	Short            string      `json:"short,omitempty"`

	Route    RouteName    `json:"route,omitempty"`
	Version  RouteVersion `json:"version,omitempty"`
	Priority int          `json:"priority"`
	// Organisation is that of the caller, with its limit in requests per second and its burst;
	// 0 if it has none. The quota itself is assumed to be granted, since asking for it takes it.
	Organisation OrganisationName `json:"organisation,omitempty"`
	Rate         float64          `json:"rate,omitempty"`
	Burst        float64          `json:"burst,omitempty"`

	// Delegate is the daemon that would query the shards; NoDelegate says why none would.
	Delegate   DaemonID `json:"delegate,omitempty"`
	NoDelegate string   `json:"noDelegate,omitempty"`
	// RegionalDelegate is the daemon of another region that would query RegionalShards.
	RegionalDelegate DaemonID      `json:"regionalDelegate,omitempty"`
	RegionalShards   []ServiceName `json:"regionalShards,omitempty"`

	Shards []ExplainedShard `json:"shards,omitempty"`
	// OmittedShards is the number of shards above MaxExplainedShards.
	OmittedShards int `json:"omittedShards,omitempty"`
}

// ExplainedShard is a shard, or the one service of a request.
type ExplainedShard struct {
	Service ServiceName `json:"service"`
	// Chosen is the upstream that would be called; empty if none would.
	Chosen UpstreamID `json:"chosen,omitempty"`
	// HedgeAfterMillis is when another upstream would be called; 0 if none would.
	HedgeAfterMillis float64              `json:"hedgeAfterMillis,omitempty"`
	Candidates       []ExplainedCandidate `json:"candidates,omitempty"`
	// OmittedCandidates is the number of upstreams above MaxExplainedCandidates.
	OmittedCandidates int `json:"omittedCandidates,omitempty"`
}

// ExplainedCandidate is an upstream with the terms of its cost.
type ExplainedCandidate struct {
	Upstream UpstreamID      `json:"upstream"`
	Zone     ZoneName        `json:"zone"`
	Region   RegionName      `json:"region"`
	Version  UpstreamVersion `json:"version,omitempty"`
	// Excluded is why the upstream can't be called; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// CostMillis is the sum of the terms Latency, Failures, Queue, Overdue and Cold.
	CostMillis     float64 `json:"costMillis"`
	LatencyMillis  float64 `json:"latencyMillis"`
	FailuresMillis float64 `json:"failuresMillis,omitempty"`
	QueueMillis    float64 `json:"queueMillis,omitempty"`
	OverdueMillis  float64 `json:"overdueMillis,omitempty"`
	ColdMillis     float64 `json:"coldMillis,omitempty"`
	// MeanMillis and DeviationMillis are those of the expected latency at the present pace,
	// which is in percent of the usual time.
	MeanMillis      float64 `json:"meanMillis"`
	DeviationMillis float64 `json:"deviationMillis"`
	PacePercent     float64 `json:"pacePercent"`
	// Trial is set if the upstream was slow and would get a call as if it weren't.
	Trial bool `json:"trial,omitempty"`
	// BackoffMillis is the time until the upstream's backoff ends; 0 if it is in none.
	BackoffMillis float64 `json:"backoffMillis,omitempty"`
}

// Query returns the ID of the request the event belongs to.
func (e *ExplainRequest) Query() QueryID { return e.ID }

// Kind names the event.
func (*ExplainRequest) Kind() string { return "explainRequest" }

// Kind names the effect.
func (*ReplyExplain) Kind() string { return "replyExplain" }
