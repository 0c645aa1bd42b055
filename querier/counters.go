package querier

// Counters tells what has happened since the start. They only rise.
type Counters struct {
	Admitted uint64
	Refused  uint64
	// Needed counts sub-requests of plans, Attempts those sent.
	Needed   uint64
	Attempts uint64
	// Hedges and Retries count further attempts paid out of the budget; Repicks
	// those after a certain refusal, which cost the upstreams nothing.
	Hedges  uint64
	Retries uint64
	Repicks uint64
	Replans uint64
	// Late counts events of queries or attempts that have ended, Repeated item
	// answers that came before, Foreign ones that were never asked for,
	// WrongVersion those from another snapshot. All were dropped.
	Late         uint64
	Repeated     uint64
	Foreign      uint64
	WrongVersion uint64
	// Mixed counts answers dropped because their records could not be told apart.
	Mixed    uint64
	Canaries uint64
	Crashes  uint64
}
