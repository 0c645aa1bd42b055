// Package merger merges the records of several answers, up to a limit.
//
// Records keeps the first records in key order, for searches. Its memory is bounded by
// the limit, independent of the number of shards and the size of their answers. Greatest
// returns the greatest of fixed-length records, for routed requests over shards.
//
// It is a separate package because queries and routed requests both merge, and because
// the result must be the same in whatever order the answers arrive.
//
// Example: Records with a limit of 2 keeps [a b] after [b d] and then [a c] are added.
package merger
