package almondstep

import "time"

// Delegate is a daemon that queries shards on behalf of others: one of the same
// region, or a regional delegate of another region.
type Delegate struct {
	ID   DaemonID
	Addr Address
	// Zone is the availability zone of its VM; empty if unknown.
	Zone ZoneName `json:",omitempty"`
	// Cores is the CPU capacity of its VM, in cores. Requests are distributed over
	// the delegates in proportion to it.
	Cores float64
}

// GatherRequest is a request over shards that a daemon has matched to a route and
// delegates to another.
type GatherRequest struct {
	Request *RequestMessage
	// Route is from the delegating daemon's route table, so that its callers see one
	// version of the routes whichever daemon queries the shards.
	Route   *Route
	Version RouteVersion
	// Remaining is the time left for the reply.
	Remaining time.Duration
}

// SendGather sends a request over shards to a delegate. The outcome is returned as
// GatherEnded.
type SendGather struct {
	ID      QueryID       `json:"id"`
	Call    CallID        `json:"call"`
	To      Delegate      `json:"to"`
	Request GatherRequest `json:"-"`
}

// GatherEnded is the outcome of a SendGather.
type GatherEnded struct {
	ID   QueryID `json:"id"`
	Call CallID  `json:"call"`
	// Reply is the delegate's reply; nil if none was received.
	Reply *Reply `json:"reply,omitempty"`
	// NotRun is set if there is no reply and the request has certainly not run.
	NotRun bool `json:"notRun,omitempty"`
	// Err is the reason there is no reply; empty if there is one.
	Err string `json:"err,omitempty"`
}

// HasNotRun reports whether the request has certainly not run at the delegate.
func (e *GatherEnded) HasNotRun() bool {
	return e.NotRun || e.Reply != nil && e.Reply.Outcome == OutcomeNotRun
}

// MeasureRTT measures the round-trip time to another daemon, which also opens the
// connection to it. The outcome is returned as RTTMeasured.
type MeasureRTT struct {
	To Delegate `json:"to"`
}

// RTTMeasured is the outcome of a MeasureRTT.
type RTTMeasured struct {
	To   DaemonID      `json:"to"`
	Took time.Duration `json:"took"`
	// Err is the reason the measurement failed; empty if it succeeded.
	Err string `json:"err,omitempty"`
}

// Kind names the event.
func (*RTTMeasured) Kind() string { return "wayMeasured" }

// Kind names the effect.
func (*MeasureRTT) Kind() string { return "measureWay" }

// Query returns the ID of the request the event belongs to.
func (e *GatherEnded) Query() QueryID { return e.ID }

// Kind names the event.
func (*GatherEnded) Kind() string { return "gatherEnded" }

// Kind names the effect.
func (*SendGather) Kind() string { return "sendGather" }
