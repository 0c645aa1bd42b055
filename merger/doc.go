// Package merger keeps the first records, in key order, of all that come in.
//
// It is apart because owners and entry daemons both merge, and because the
// result must be the same in whatever order the answers arrive. Memory is
// bounded by the limit, however many shards answer with however much.
//
// Example: with a limit of 2, adding [b d] and then [a c] keeps [a b].
package merger
