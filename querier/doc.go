// Package querier is the query partition at the daemon a caller talks to: it
// takes a query from its arrival to its one answer.
//
// It is apart from the upstream side because the two meet only in messages: a
// query asks owners, each with one message for all the shards that owner
// serves, and never an upstream itself. What it decides, and in which package:
//
//	admit      package admitter   before anything begins, so that a refusal is true
//	plan       package planner    one snapshot version for the whole answer
//	canary     canary.go          one shard first, if the request isn't known to be good
//	fan out    send.go            one Work per owner
//	hedge      retry.go           package hedger says when, and pays out of one budget
//	merge      answered.go        one answer per shard, whatever comes late or twice
//	answer     finish.go          at the deadline that the class gives
//
// Example: a search over 3 shards, two of which have one owner, gives
//
//	searchArrived  -> setQueryTimer (soft, hard), sendWork o1 [0 2], sendWork o2 [1], setQueryTimer (hedge)
//	workAnswered 1 -> nothing: 2 of 3 shards are merged
//	workAnswered 2 -> replyCaller complete, 3 of 3
package querier
