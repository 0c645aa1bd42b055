// Package hedger decides whether and after which delay a further attempt at a shard may
// be made.
//
// It is a separate package because the decision depends on three things together: how
// long sub-requests take (Digest), how many further attempts all queries together may
// make (Budget), and whether the upstreams shed sub-requests, in which case further
// attempts would only add load (Budget.Shedding).
//
// Example: a service's sub-requests mostly take 2 ms, and 3 in 100 take over 9 ms.
// A query asks an owner to answer after 9 ms with the results available by then.
// Of 1,200 shards, some 36 are then still pending. With a share of 50 per 1,000, the
// query has added 60 attempts to the budget, so all 36 are hedged.
package hedger
