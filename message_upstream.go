package almondstep

import "time"

// WorkArrived is a Work received from an entry daemon, possibly this one, for
// upstreams that this daemon owns. It belongs to the query partition.
type WorkArrived struct {
	From DaemonID `json:"from"`
	Work *Work    `json:"work"`
}

// CollectArrived is an entry daemon's request for the pending items of a Work.
type CollectArrived struct {
	ID        QueryID       `json:"id"`
	Attempt   AttemptID     `json:"attempt"`
	Remaining time.Duration `json:"remaining"`
}

// CancelArrived cancels an attempt or, if Items is set, only these items.
type CancelArrived struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Items   []Item    `json:"items,omitempty"`
}

// GatherTimer occurs when a timer of a gathered Work expires.
type GatherTimer struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Purpose TimerKind `json:"what"`
}

// ItemFinished carries the outcome of one item from the upstream partition to the
// gathered Work it is part of.
type ItemFinished struct {
	ID      QueryID    `json:"id"`
	Attempt AttemptID  `json:"attempt"`
	Answer  ItemAnswer `json:"answer"`
	Records []Record   `json:"records,omitempty"`
}

// ItemArrived adds one item to an upstream's queue.
type ItemArrived struct {
	Item Item  `json:"item"`
	Work *Work `json:"work"`
	// Deadline is when the result of the item is no longer needed.
	Deadline Instant `json:"deadline"`
}

// ItemCanceled removes an item from an upstream's queue, or cancels its attempt.
type ItemCanceled struct {
	ID      QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	Item    Item      `json:"item"`
}

// AttemptEnded is the outcome of a StartAttempt.
type AttemptEnded struct {
	Addr   Address       `json:"addr"`
	Call   CallID        `json:"call"`
	Result CallResult    `json:"result"`
	Took   time.Duration `json:"took"`
	// Boot is the upstream's boot from its response; empty if there was none.
	Boot BootID `json:"boot,omitempty"`
	// Leaving is set if the response carried the upstream's leaving header.
	Leaving bool `json:"leaving,omitempty"`
	// Cold is set if the response carried the upstream's own cold header, a hint that
	// can only reduce the load sent to it.
	Cold    bool     `json:"cold,omitempty"`
	Version Version  `json:"version,omitempty"`
	Total   int      `json:"total,omitempty"`
	Records []Record `json:"records,omitempty"`
}

// CallID identifies a call that is not answered yet: one that this daemon sent, or one
// that it received from another daemon. It is unique only among the calls of the
// component that assigned it.
type CallID uint64

// CallResult is how a call to an upstream ended. The zero value is CallDone.
type CallResult uint8

const (
	// CallDone got a valid response.
	CallDone CallResult = iota
	// CallShed was refused by the upstream before it ran.
	CallShed
	// CallRefused ended before any of it was sent, as it got no connection or the
	// connection failed; it didn't run.
	CallRefused
	// CallBroken lost its connection while it may have run.
	CallBroken
	// CallTimeout had no response by its deadline; it may have run.
	CallTimeout
	// CallCanceled was canceled by this daemon; it may have run.
	CallCanceled
	// CallRejected was answered with an error by the upstream's application.
	CallRejected
	// CallWrongVersion was answered from another snapshot.
	CallWrongVersion
	// CallMisdirected reached a different upstream at the address; it didn't run.
	CallMisdirected
	// CallInvalidResponse got a response that doesn't belong to this call or is
	// malformed; it may have run.
	CallInvalidResponse
)

// String returns the result's name in metrics and logs.
func (r CallResult) String() string {
	names := [...]string{
		CallDone:            "done",
		CallShed:            "shed",
		CallRefused:         "refused",
		CallBroken:          "broken",
		CallTimeout:         "timeout",
		CallCanceled:        "canceled",
		CallRejected:        "rejected",
		CallWrongVersion:    "wrongVersion",
		CallMisdirected:     "misdirected",
		CallInvalidResponse: "spoiled",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// NotRun reports whether a call with this result has certainly not run.
func (r CallResult) NotRun() bool {
	switch r {
	case CallShed, CallRefused, CallMisdirected:
		return true
	default:
		return false
	}
}

// UpstreamTimer occurs when a timer of an upstream expires.
type UpstreamTimer struct {
	Addr    Address   `json:"addr"`
	Purpose TimerKind `json:"what"`
}

// ViewChanged occurs at each traffic thread when there is a new view, so that it starts
// no further attempts at drained zones and leaving upstreams.
type ViewChanged struct{}

// Query returns the ID of the query the event belongs to.
func (e *WorkArrived) Query() QueryID { return e.Work.Query }

// Query returns the ID of the query the event belongs to.
func (e *CollectArrived) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *CancelArrived) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *GatherTimer) Query() QueryID { return e.ID }

// Query returns the ID of the query the event belongs to.
func (e *ItemFinished) Query() QueryID { return e.ID }

// Upstream returns the address of the upstream the event belongs to.
func (e *ItemArrived) Upstream() Address { return e.Item.Upstream }

// Upstream returns the address of the upstream the event belongs to.
func (e *ItemCanceled) Upstream() Address { return e.Item.Upstream }

// Upstream returns the address of the upstream the event belongs to.
func (e *AttemptEnded) Upstream() Address { return e.Addr }

// Upstream returns the address of the upstream the event belongs to.
func (e *UpstreamTimer) Upstream() Address { return e.Addr }

// Kind names the event.
func (*WorkArrived) Kind() string { return "workArrived" }

// Kind names the event.
func (*CollectArrived) Kind() string { return "collectArrived" }

// Kind names the event.
func (*CancelArrived) Kind() string { return "cancelArrived" }

// Kind names the event.
func (*GatherTimer) Kind() string { return "gatherTimer" }

// Kind names the event and the effect.
func (*ItemFinished) Kind() string { return "itemFinished" }

// Kind names the event and the effect.
func (*ItemArrived) Kind() string { return "itemArrived" }

// Kind names the event and the effect.
func (*ItemCanceled) Kind() string { return "itemCanceled" }

// Kind names the event.
func (*AttemptEnded) Kind() string { return "attemptEnded" }

// Kind names the event.
func (*UpstreamTimer) Kind() string { return "upstreamTimer" }

// Kind names the event.
func (*ViewChanged) Kind() string { return "viewChanged" }

// ReplyWork sends the answer to an entry daemon's Work or Collect.
type ReplyWork struct {
	Answer *WorkAnswered `json:"answer"`
}

// SetGatherTimer requests a GatherTimer after a delay.
type SetGatherTimer struct {
	ID      QueryID       `json:"id"`
	Attempt AttemptID     `json:"attempt"`
	Purpose TimerKind     `json:"what"`
	After   time.Duration `json:"after"`
}

// StartAttempt sends one request to an upstream. The outcome is returned as
// AttemptEnded.
type StartAttempt struct {
	Addr        Address       `json:"addr"`
	Call        CallID        `json:"call"`
	Shard       Shard         `json:"shard"`
	Version     Version       `json:"version"`
	Text        string        `json:"text"`
	Limit       int           `json:"limit"`
	Operation   string        `json:"operation,omitempty"`
	Idempotent  bool          `json:"idempotent"`
	Timeout     time.Duration `json:"timeout"`
	Connections int           `json:"connections"`
	// LivenessProbe is set if the call only checks whether the upstream answers: it
	// carries no caller's request, and any response counts.
	LivenessProbe bool `json:"proof,omitempty"`
}

// ReasonCanceled is the reason of a canceled item. It never appears in an answer
// to a caller.
const ReasonCanceled Reason = "canceled"

// CancelAttempt cancels a request in flight, also at the upstream.
type CancelAttempt struct {
	Addr Address `json:"addr"`
	Call CallID  `json:"call"`
}

// SetUpstreamTimer requests an UpstreamTimer after a delay.
type SetUpstreamTimer struct {
	Addr    Address       `json:"addr"`
	Purpose TimerKind     `json:"what"`
	After   time.Duration `json:"after"`
}

// MarkUpstream reports an upstream's warm-up state, as observed in its traffic, to the
// control thread.
type MarkUpstream struct {
	Addr        Address     `json:"addr"`
	Boot        BootID      `json:"boot"`
	Temperature Temperature `json:"temperature"`
}

// Kind names the effect.
func (*ReplyWork) Kind() string { return "replyWork" }

// Kind names the effect.
func (*SetGatherTimer) Kind() string { return "setGatherTimer" }

// Kind names the effect.
func (*StartAttempt) Kind() string { return "startAttempt" }

// Kind names the effect.
func (*CancelAttempt) Kind() string { return "cancelAttempt" }

// Kind names the effect.
func (*SetUpstreamTimer) Kind() string { return "setUpstreamTimer" }

// Kind names the effect and the event.
func (*MarkUpstream) Kind() string { return "markUpstream" }

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*MarkUpstream) Control() {}
