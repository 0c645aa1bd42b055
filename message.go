package almondstep

// Event is an input of the reducer. Except for ViewChanged, each event is an event of
// exactly one kind of state: a ControlEvent, a QuotaEvent, a RolloutEvent, a QueryEvent (by
// QueryID) or an UpstreamEvent (by Address). A ControlTick is also passed to the state of
// quotas and of rollouts.
//
// Golden files record events and effects as JSON, so their fields are exported,
// unlike those of domain values.
type Event interface {
	// Kind names the event in golden files and logs.
	Kind() string
}

// Effect is an action that the reducer requests. The runner performs it and
// returns its outcome, if it has one, as an event.
type Effect interface {
	// Kind names the effect in golden files and logs.
	Kind() string
}

// QueryEvent is an event of one query, gathered Work or routed request.
type QueryEvent interface {
	Event
	// Query returns the query ID, which determines the traffic thread.
	Query() QueryID
}

// UpstreamEvent is an event of one upstream, at its owner.
type UpstreamEvent interface {
	Event
	// Upstream returns the upstream's address, which determines the traffic thread.
	Upstream() Address
}

// QuotaEvent is an event of the control thread's state of organisations' quotas.
type QuotaEvent interface {
	Event
	// Quota marks the type as a QuotaEvent; it does nothing.
	Quota()
}

// RolloutEvent is an event of the control thread's state of rollouts.
type RolloutEvent interface {
	Event
	// Rollout marks the type as a RolloutEvent; it does nothing.
	Rollout()
}

// ControlEvent is an event of the control thread's state.
type ControlEvent interface {
	Event
	// Control marks the type as a ControlEvent; it does nothing.
	Control()
}
