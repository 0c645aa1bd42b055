// Package hedger decides when a further attempt at a shard is worth its load.
//
// It is apart because three things belong together here and nowhere else: how
// long a sub-request usually takes (Digest), how many further attempts the
// whole path may make (Budget), and whether the upstreams are shedding, when
// further attempts only make things worse.
//
// Example: a service's sub-requests mostly take 2 ms, three in a hundred take
// over 9 ms. A query asks an owner to answer after 9 ms with what it has. Of
// 1,200 shards some 36 are then still pending, and the budget has grown by 60
// attempts with this query, so all 36 are hedged.
package hedger
