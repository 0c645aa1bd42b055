// Package almondstep is the vocabulary of a query tier that spans many shards.
//
// It holds the domain types, the messages (events in, effects out), the
// interfaces to the outside and the sentinel errors, and it does no I/O. The
// decisions are in package reducer and the pure packages it is made of; package
// runner performs their effects.
//
// A search travels like this:
//
//	caller -> entry daemon:  SearchArrived
//	entry  -> owners:        SendWork      one message per (query, owner)
//	owner  -> upstream:      StartAttempt  within the upstream's slot limit
//	owner  -> entry:         WorkAnswered  a partly merged answer
//	entry  -> caller:        ReplyCaller   records, snapshot version, coverage
package almondstep
