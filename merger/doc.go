// Package merger keeps the first records, in key order, of all that are added.
//
// It is a package of its own because owners and entry daemons both merge, and
// because the result must be the same in whatever order the answers arrive.
// Memory is bounded by the limit, independent of the number of shards and the
// size of their answers.
//
// Example: with a limit of 2, adding [b d] and then [a c] keeps [a b].
package merger
