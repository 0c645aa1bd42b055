package almondstep

import "time"

// Delegate is a daemon of the same availability zone to which requests over many
// shards are handed.
type Delegate struct {
	ID   DaemonID
	Addr Address
	// Cores is the processor time that its VM has, in cores; by it the requests
	// are shared out.
	Cores float64
}

// GatherRequest is a request over shards that another daemon has matched to a route
// and hands over.
type GatherRequest struct {
	Request *RequestMessage
	// Route is the daemon's own, so that its callers see one version of the routes
	// whoever asks the shards.
	Route   *Route
	Version RouteVersion
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
}

// SendGather asks a delegate for the answer to a request. The outcome comes back
// as GatherEnded.
type SendGather struct {
	ID      QueryID       `json:"id"`
	Call    CallID        `json:"call"`
	To      Delegate      `json:"to"`
	Request GatherRequest `json:"-"`
}

// GatherEnded says how a delegate answered.
type GatherEnded struct {
	ID   QueryID `json:"id"`
	Call CallID  `json:"call"`
	// Reply is nil if none came.
	Reply *Reply `json:"reply,omitempty"`
	// NotRun says, where there is no reply, that the request can't have run.
	NotRun bool   `json:"notRun,omitempty"`
	Err    string `json:"err,omitempty"`
}

// HasNotRun says that the request certainly hasn't run at the delegate.
func (e *GatherEnded) HasNotRun() bool {
	return e.NotRun || e.Reply != nil && e.Reply.Outcome == OutcomeNotRun
}

// MeasureRTT asks how long a message to another daemon and its answer need. The
// outcome comes back as RTTMeasured. It also opens the connection.
type MeasureRTT struct {
	To Delegate `json:"to"`
}

// RTTMeasured brings the outcome of a MeasureRTT.
type RTTMeasured struct {
	To   DaemonID      `json:"to"`
	Took time.Duration `json:"took"`
	// Err says why nothing was measured; empty if it was.
	Err string `json:"err,omitempty"`
}

// Kind names the event.
func (*RTTMeasured) Kind() string { return "wayMeasured" }

// Kind names the effect.
func (*MeasureRTT) Kind() string { return "measureWay" }

// Query says which request the event is for.
func (e *GatherEnded) Query() QueryID { return e.ID }

// Kind names the event.
func (*GatherEnded) Kind() string { return "gatherEnded" }

// Kind names the effect.
func (*SendGather) Kind() string { return "sendGather" }
