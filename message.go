package almondstep

// Event is something that happened. Each event goes to exactly one partition
// of the state: control, query (by QueryID) or upstream (by Address).
//
// Events and effects are the unit of record: golden files hold them as JSON,
// so their fields are exported, other than those of domain values.
type Event interface {
	// Kind names the event in golden files and logs.
	Kind() string
}

// Effect is something to be done. The reducer only describes it; the runner
// does it and, where there is an outcome, brings it back as an event.
type Effect interface {
	// Kind names the effect in golden files and logs.
	Kind() string
}

// QueryEvent is an event of the query partition.
type QueryEvent interface {
	Event
	// Query says which traffic thread the event belongs to.
	Query() QueryID
}

// UpstreamEvent is an event of the upstream partition.
type UpstreamEvent interface {
	Event
	// Upstream says which traffic thread the event belongs to.
	Upstream() Address
}

// ControlEvent is an event of the control partition.
type ControlEvent interface {
	Event
	// Control marks the event.
	Control()
}
