package almondstep

import (
	"context"
	"slices"
	"time"
)

// Rollout is the state of a service's rollout in the registry cache. It is immutable.
type Rollout struct {
	Service ServiceName
	// Order is nil if the order was withdrawn; OrderRevision is that of the order.
	Order         *RolloutOrder
	OrderRevision uint64
	// SeenAt is when this daemon learned of the order.
	SeenAt Instant
	// Decision is the newest decision, which may be on an earlier order; nil if there is none.
	// DecisionRevision is that of its entry, and DecidedAt when this daemon learned of it.
	Decision         *RolloutDecision
	DecisionRevision uint64
	DecidedAt        Instant
	// Unstored is set if the registry's entry isn't Decision: the decision came from the leader
	// alone, or was lost when the registry was restored.
	Unstored bool
}

// sameOrder reports whether two revisions are those of one order. A restore of the registry changes
// the era of its revision.
func sameOrder(a, b uint64) bool { return RevisionInEra(a) == RevisionInEra(b) }

// Version is the version that the rollout is about.
func (r *Rollout) Version() UpstreamVersion {
	switch {
	case r.Order != nil:
		return r.Order.Version
	case r.Decision != nil:
		return r.Decision.Version
	}
	return ""
}

// Current returns the decision on the present order; nil if there is none yet. An order that
// is written again continues the rollout of the same version, unless that was rolled back.
func (r *Rollout) Current() *RolloutDecision {
	d := r.Decision
	if r.Order == nil || d == nil || d.Version != r.Order.Version {
		return nil
	}
	if !sameOrder(d.OrderRevision, r.OrderRevision) && d.State == RolloutRolledBack {
		return nil
	}
	return d
}

// StartedAt is when the order was given, as far as this daemon knows.
func (r *Rollout) StartedAt() Instant {
	if d := r.Current(); d != nil && sameOrder(d.OrderRevision, r.OrderRevision) {
		return min(r.SeenAt, r.DecidedAt.Add(-d.Age))
	}
	return r.SeenAt
}

// Share is the share of the requests that may go to the version; 1 if all must.
func (r *Rollout) Share() float64 {
	d := r.Current()
	switch {
	case r.Order == nil && r.Decision != nil && r.Decision.State == RolloutCompleted:
		return 1
	case d == nil || d.State == RolloutRolledBack:
		return 0
	case d.State == RolloutCompleted || d.Stage == StageAll:
		return 1
	}
	return d.Share
}

// Restricts reports whether the versions of the service's upstreams matter: not if the order
// was withdrawn after its completion.
func (r *Rollout) Restricts() bool {
	return r.Order != nil || r.Decision != nil && r.Decision.State != RolloutCompleted
}

// Avoids reports whether upstreams of a version other than the rollout's get no requests,
// since an earlier rollout to it wasn't completed.
func (r *Rollout) Avoids(v UpstreamVersion) bool {
	d := r.Decision
	if d == nil {
		return false
	}
	return d.Version == v && v != r.Version() && d.State != RolloutCompleted || slices.Contains(d.Avoid, v)
}

// LatencyBuckets is the number of buckets of the histogram in RolloutCounts.
const LatencyBuckets = 26

// LatencyBound returns the longest latency in a bucket: 1 ms in the first, and half as much
// again in each further one. The last one has no bound.
func LatencyBound(bucket int) time.Duration {
	bound := time.Millisecond
	for range bucket {
		bound += bound / 2
	}
	return bound
}

// LatencyBucket returns the bucket of a latency.
func LatencyBucket(took time.Duration) int {
	i := 0
	for bound := time.Millisecond; took > bound && i < LatencyBuckets-1; i++ {
		bound += bound / 2
	}
	return i
}

// RolloutRegistry writes what a WriteRollout requests, in one transaction.
type RolloutRegistry interface {
	WriteRollout(ctx context.Context, f *WriteRollout) *RolloutWritten
}

// RolloutServer receives the reports of other daemons.
type RolloutServer interface {
	ReportRollout(ctx context.Context, r *RolloutReport) (*RolloutReply, error)
}

// RolloutClient sends reports to other daemons.
type RolloutClient interface {
	ReportRollout(ctx context.Context, to Address, r *RolloutReport) (*RolloutReply, error)
}
