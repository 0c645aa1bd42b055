// Package planner chooses the snapshot version that a search is answered from, and
// a replica for each of its shards.
//
// It is a separate package because the choice is a pure function of a view: views
// are immutable, so a plan is made once per view and service, and a query only
// picks among the prepared candidates.
//
// The version is the newest at which every shard of the service, and of all it
// depends on, has a warm replica; else the newest at which every shard has a
// replica at all, warm or cold; else the one that covers the largest part of the
// key space, the newer of two equals. A replica that is leaving, lost, without an
// owner or in a drained zone isn't usable and doesn't count.
//
// Example: version 8 has warm replicas for shards 0 and 1 of 2, but version 9
// so far only for shard 0. The plan is version 8, complete. As soon as a view
// shows shard 1 at version 9, plans of that view are version 9.
package planner
