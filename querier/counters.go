package querier

// Counters are event counts since the start. They never decrease.
type Counters struct {
	Admitted uint64
	// Refused counts requests that were not admitted, and queries that ended before
	// any sub-request because no shard had a replica or the idempotency key could not
	// be claimed.
	Refused uint64
	// Needed counts the sub-requests that first plans require, Attempts all those
	// sent.
	Needed   uint64
	Attempts uint64
	// Hedges and Retries count further sub-requests that took a token from the
	// budget; Repicks those that needed none: after a refusal that put no load on an
	// upstream, or of a request that is not idempotent.
	Hedges  uint64
	Retries uint64
	Repicks uint64
	Replans uint64
	// Late counts events of queries or attempts that have ended, Repeated item
	// answers whose try is not open and other events received before, Unsolicited
	// answers and failures of attempts never sent to that owner, WrongVersion item
	// answers from another snapshot version. None of them was merged.
	Late         uint64
	Repeated     uint64
	Unsolicited  uint64
	WrongVersion uint64
	// Ambiguous counts answers whose records were dropped because they could not be
	// attributed to items.
	Ambiguous uint64
	Canaries  uint64
	Crashes   uint64
}
