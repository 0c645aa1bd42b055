// Package querier implements the query partition of an entry daemon's traffic
// thread: it handles a query from its arrival to its single answer.
//
// It is separate from the upstream side because the two communicate only by
// messages: a query sends each owner one message for all the shards that owner
// serves, and never calls an upstream itself. The steps of a query, and where
// they are decided:
//
//	admit      package admitter   before anything has run, so that a refusal can be reported as not run
//	plan       package planner    one snapshot version for the whole answer
//	canary     canary.go          one shard first, unless the request is known to be good
//	fan out    send.go            one Work per owner
//	hedge      retry.go           package hedger computes the delay; one budget limits the total
//	merge      answered.go        one answer per shard; late and repeated ones are dropped
//	answer     finish.go          by the deadline of the class
//
// Example: a search over 3 shards, two of which have the same owner. The request is
// known to be good, so that no canary is sent:
//
//	searchArrived  -> setQueryTimer (soft, hard), sendWork o1 [0 2], sendWork o2 [1], setQueryTimer (hedge)
//	workAnswered 1 -> no effect: 2 of 3 shards are merged
//	workAnswered 2 -> replyCaller complete, 3 of 3
package querier
