package querier

// Counters are event counts since the start. They never decrease.
type Counters struct {
	Admitted uint64
	Refused  uint64
	// Needed counts the sub-requests that plans require, Attempts those sent.
	Needed   uint64
	Attempts uint64
	// Hedges and Retries count further sub-requests that took a token from the
	// budget; Repicks those that needed none, as after a refusal that put no load
	// on an upstream.
	Hedges  uint64
	Retries uint64
	Repicks uint64
	Replans uint64
	// Late counts events of queries or attempts that have ended, Repeated item
	// answers and other events received before, Unsolicited answers that were never
	// requested, WrongVersion those from another snapshot version. All were
	// dropped.
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
