// Package hedger decides when a further attempt at a shard is worth its load.
//
// It is a package of its own because the decision depends on three things
// together: how long a sub-request usually takes (Digest), how many further
// attempts the whole query path may make (Budget), and whether the upstreams are
// shedding, in which case further attempts would only add load.
//
// Example: a service's sub-requests mostly take 2 ms, and 3 in 100 take over 9 ms.
// A query asks an owner to answer after 9 ms with the results available by then.
// Of 1,200 shards, some 36 are then still pending, and this query has added 60
// attempts to the budget, so all 36 are hedged.
package hedger
