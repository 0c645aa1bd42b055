// Package promoter decides on rollouts: how much of a service's requests a new version gets, and
// whether it is completed or rolled back.
//
// Each daemon has a Promoter in its control thread. It sums up what the forwarder observes, and
// reports it to the leader once a second, and at once after a failure of the new version. One
// daemon leads all rollouts. It compares the new version with the old one, advances the stages by
// the plan, and writes each decision to the registry, on the condition that it still leads.
//
//	forwarder --RolloutObserved--> Promoter --SendRolloutReport--> leader's Promoter
//	leader    --WriteRollout-----> registry --> watcher --> view --> every forwarder
//
// The forwarder of each daemon enforces the share itself (package budgeter, Exposure). The package
// has no clock and does no I/O.
package promoter
