package almondstep

import "time"

// UpstreamVersion names the version of the program that an upstream runs; empty if unknown.
type UpstreamVersion string

// RolloutState is how far a rollout has come. The zero value is RolloutInProgress.
type RolloutState uint8

const (
	// RolloutInProgress moves requests to the new version, or waits to.
	RolloutInProgress RolloutState = iota
	// RolloutCompleted sends all requests to the new version; the old upstreams may stop.
	RolloutCompleted
	// RolloutRolledBack sends no requests to the new version, because it is bad.
	RolloutRolledBack
)

// RolloutStage is the stage of a rollout in progress. Stages only advance.
type RolloutStage uint8

const (
	// StageCanary sends a small share of the requests to the new version.
	StageCanary RolloutStage = iota + 1
	// StageRamp sends a larger share to it for a short time.
	StageRamp
	// StageAll sends all requests to it.
	StageAll
)

// String names the stage in logs and metrics.
func (s RolloutStage) String() string {
	switch s {
	case StageCanary:
		return "canary"
	case StageRamp:
		return "ramp"
	case StageAll:
		return "all"
	default:
		return "none"
	}
}

// RolloutOrder is an operator's order to move the requests of a service to a version.
type RolloutOrder struct {
	Version UpstreamVersion `json:"version"`
	// CompleteBy is the time limit, counted from when the order was read.
	CompleteBy time.Duration `json:"completeBy"`
}

// RolloutDecision is the leader's decision on a rollout.
type RolloutDecision struct {
	Service ServiceName     `json:"service"`
	Version UpstreamVersion `json:"version"`
	// OrderRevision is that of the order.
	OrderRevision uint64       `json:"orderRevision"`
	State         RolloutState `json:"state"`
	Stage         RolloutStage `json:"stage"`
	// Share is the share, 0 to 1, of a daemon's requests that may go to the version.
	Share float64 `json:"share"`
	// Age is the age of the order when the decision was made.
	Age time.Duration `json:"age"`
	// Avoid lists other versions that get no requests: the targets of earlier rollouts that
	// weren't completed.
	Avoid []UpstreamVersion `json:"avoid,omitempty"`
}

// Final reports whether the rollout has ended.
func (d *RolloutDecision) Final() bool { return d.State != RolloutInProgress }

// Supersedes reports whether the decision is further than another on the same rollout, or is
// for a later order. The first of two final decisions on one rollout remains.
func (d *RolloutDecision) Supersedes(other *RolloutDecision) bool {
	switch {
	case other == nil:
		return true
	case !sameOrder(d.OrderRevision, other.OrderRevision):
		return d.OrderRevision > other.OrderRevision
	case other.Final():
		return false
	}
	return d.Final() || d.Stage > other.Stage
}

// RolloutKind is the subject of a RolloutChange.
type RolloutKind uint8

const (
	// RolloutOrdered is a change of an operator's order.
	RolloutOrdered RolloutKind = iota
	// RolloutDecisionMade is a change of the leader's decision.
	RolloutDecisionMade
	// RolloutLeaderChanged is a change of the leader of all rollouts.
	RolloutLeaderChanged
)

// RolloutChange is a change of an entry about rollouts.
type RolloutChange struct {
	Subject RolloutKind `json:"subject"`
	// Service is the service; empty for a RolloutLeaderChanged.
	Service  ServiceName `json:"service,omitempty"`
	Revision uint64      `json:"revision"`
	// Order, Decision or Leader is the new value; nil if the entry was removed or can't be
	// decoded.
	Order    *RolloutOrder    `json:"order,omitempty"`
	Decision *RolloutDecision `json:"decision,omitempty"`
	Leader   *RolloutLeader   `json:"leader,omitempty"`
}

// RolloutLeader is the daemon that decides on rollouts.
type RolloutLeader struct {
	// Daemon is empty if there is none.
	Daemon DaemonID `json:"daemon"`
	Addr   Address  `json:"addr"`
	// Revision is that of the leader's entry, or of its removal.
	Revision uint64 `json:"revision,omitempty"`
}

// RolloutCounts counts the answers of the old or the new version on one route.
type RolloutCounts struct {
	Route RouteName `json:"route"`
	// New is set for the new version.
	New     bool   `json:"new,omitempty"`
	Answers uint64 `json:"answers"`
	// Bad counts those among them that are failures.
	Bad uint64 `json:"bad,omitempty"`
	// Latencies is a histogram of the others' latencies. Bucket i counts those of up to
	// LatencyBound(i).
	Latencies []uint64 `json:"latencies,omitempty"`
}

// RolloutTally is what one daemon has observed of a rollout since it learned of the order.
type RolloutTally struct {
	Service       ServiceName  `json:"service"`
	OrderRevision uint64       `json:"orderRevision"`
	Stage         RolloutStage `json:"stage"`
	// OldOpen is the number of open calls to old upstreams.
	OldOpen int `json:"oldOpen,omitempty"`
	// Paused is set if the daemon has stopped using the new version by itself.
	Paused bool `json:"paused,omitempty"`
	// Requests is the number of requests, and Exposed that of the calls to the new version.
	Requests uint64          `json:"requests"`
	Exposed  uint64          `json:"exposed"`
	Counts   []RolloutCounts `json:"counts,omitempty"`
}

// RolloutReport is a daemon's report to the leader. It holds totals, so that a lost report
// loses nothing.
type RolloutReport struct {
	From    DaemonID       `json:"from"`
	Tallies []RolloutTally `json:"tallies"`
}

// RolloutReply is the reply to a RolloutReport.
type RolloutReply struct {
	// Leads is set if the replying daemon is the leader.
	Leads     bool              `json:"leads,omitempty"`
	Decisions []RolloutDecision `json:"decisions,omitempty"`
}

// RolloutObserved reports to the control thread the end of a call of a service in rollout.
type RolloutObserved struct {
	Service       ServiceName  `json:"service"`
	OrderRevision uint64       `json:"orderRevision"`
	Stage         RolloutStage `json:"stage"`
	OldOpen       int          `json:"oldOpen,omitempty"`
	Paused        bool         `json:"paused,omitempty"`
	Requests      uint64       `json:"requests"`
	Exposed       uint64       `json:"exposed"`
	// Answered is set if a call ended with an answer or a failure of the upstream.
	Answered bool          `json:"answered,omitempty"`
	Route    RouteName     `json:"route,omitempty"`
	New      bool          `json:"new,omitempty"`
	Bad      bool          `json:"bad,omitempty"`
	Took     time.Duration `json:"took,omitempty"`
	// Cold is set if the upstream was cold, so that its latency isn't compared.
	Cold bool `json:"cold,omitempty"`
}

// RolloutReportArrived is another daemon's report. It is answered by ReplyRolloutReport.
type RolloutReportArrived struct {
	Call   CallID        `json:"call"`
	Report RolloutReport `json:"report"`
}

// ReplyRolloutReport answers a RolloutReportArrived.
type ReplyRolloutReport struct {
	Call  CallID       `json:"call"`
	Reply RolloutReply `json:"reply"`
}

// SendRolloutReport sends a report to the leader. The outcome is a RolloutReportEnded.
type SendRolloutReport struct {
	To     RolloutLeader `json:"to"`
	Report RolloutReport `json:"report"`
}

// RolloutReportEnded is the outcome of a SendRolloutReport. Reply is nil if it failed.
type RolloutReportEnded struct {
	To    RolloutLeader `json:"to"`
	Reply *RolloutReply `json:"reply,omitempty"`
}

// WriteRollout writes the leader's decision to the registry or, if Decision is nil, makes this
// daemon the leader, on the condition that the entries still have the given revisions (0: they
// don't exist). The outcome is returned as RolloutWritten.
type WriteRollout struct {
	LeaderRevision   uint64           `json:"leaderRevision"`
	Decision         *RolloutDecision `json:"decision,omitempty"`
	DecisionRevision uint64           `json:"decisionRevision,omitempty"`
}

// RolloutWritten is the outcome of a WriteRollout.
type RolloutWritten struct {
	WriteRollout
	// Revision is that of the written entries; 0 if nothing was written.
	Revision uint64 `json:"revision,omitempty"`
	// Conflict is set if an entry had another revision; Present lists the present ones.
	Conflict bool            `json:"conflict,omitempty"`
	Present  []RolloutChange `json:"present,omitempty"`
	// Err is the reason for any other failure, after which it isn't known whether the write
	// took effect.
	Err string `json:"err,omitempty"`
}

// RolloutDecided passes a decision to the registry cache before the registry's own update of
// it arrives. Revision is 0 if the registry hasn't confirmed it.
type RolloutDecided struct {
	Decision RolloutDecision `json:"decision"`
	Revision uint64          `json:"revision,omitempty"`
}

// Rollout implements RolloutEvent.
func (*RolloutObserved) Rollout() {}

// Rollout implements RolloutEvent.
func (*RolloutReportArrived) Rollout() {}

// Rollout implements RolloutEvent.
func (*RolloutReportEnded) Rollout() {}

// Rollout implements RolloutEvent.
func (*RolloutWritten) Rollout() {}

// Control implements ControlEvent: the effect is returned to the control partition as an
// event.
func (*RolloutDecided) Control() {}

// Kind names the effect and event.
func (*RolloutObserved) Kind() string { return "rolloutObserved" }

// Kind names the event.
func (*RolloutReportArrived) Kind() string { return "rolloutReportArrived" }

// Kind names the effect.
func (*ReplyRolloutReport) Kind() string { return "replyRolloutReport" }

// Kind names the effect.
func (*SendRolloutReport) Kind() string { return "sendRolloutReport" }

// Kind names the event.
func (*RolloutReportEnded) Kind() string { return "rolloutReportEnded" }

// Kind names the effect.
func (*WriteRollout) Kind() string { return "writeRollout" }

// Kind names the event.
func (*RolloutWritten) Kind() string { return "rolloutWritten" }

// Kind names the effect and event.
func (*RolloutDecided) Kind() string { return "rolloutDecided" }
