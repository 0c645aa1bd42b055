// Package almondstep defines the shared types of a query tier that spans many
// shards.
//
// It holds the domain types, the messages (events in, effects out), the
// interfaces to external services and the sentinel errors, and it does no I/O.
// Package reducer and the pure packages it is composed of turn events into
// effects; package runner performs the effects.
//
// A search is processed as follows:
//
//	caller -> entry daemon:  SearchArrived
//	entry  -> owners:        SendWork      one message per (query, owner)
//	owner  -> upstream:      StartAttempt  within the upstream's slot limit
//	owner  -> entry:         WorkAnswered  a partially merged answer
//	entry  -> caller:        ReplyCaller   records, snapshot version, coverage
package almondstep
