package almondstep

import "time"

// WorkArrived says that an entry daemon, perhaps this one, asks for work at
// upstreams this daemon owns. It belongs to the query partition.
type WorkArrived struct {
	From DaemonID `json:"from"`
	Work *Work    `json:"work"`
}

// CollectArrived says that an entry daemon waits for the pending rest of a Work.
type CollectArrived struct {
	ID        QueryID       `json:"id"`
	Attempt   AttemptID     `json:"attempt"`
	Remaining time.Duration `json:"remaining"`
}

// CancelArrived says that nothing more is wanted of an attempt, or of some of
// its items.
type CancelArrived struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Items   []Item    `json:"items,omitempty"`
}

// GatherTimer is a timer of a gathered Work that has come due.
type GatherTimer struct {
	ID      QueryID   `json:"id"`
	Attempt AttemptID `json:"attempt"`
	What    TimerKind `json:"what"`
}

// ItemFinished brings the outcome of one item from the upstream partition to
// the gathered Work it is part of.
type ItemFinished struct {
	ID      QueryID    `json:"id"`
	Attempt AttemptID  `json:"attempt"`
	Answer  ItemAnswer `json:"answer"`
	Records []Record   `json:"records,omitempty"`
}

// ItemArrived asks an upstream's queue for one item to be run.
type ItemArrived struct {
	Item Item  `json:"item"`
	Work *Work `json:"work"`
	// Deadline is when the item is no longer wanted.
	Deadline Instant `json:"deadline"`
}

// ItemCanceled says that an item is no longer wanted.
type ItemCanceled struct {
	ID      QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	Item    Item      `json:"item"`
}

// AttemptEnded says how an attempt at an upstream ended.
type AttemptEnded struct {
	Addr   Address       `json:"addr"`
	Call   CallID        `json:"call"`
	Result CallResult    `json:"result"`
	Took   time.Duration `json:"took"`
	// Boot is the upstream's boot, from its answer; empty if there was none.
	Boot BootID `json:"boot,omitempty"`
	// Leaving says that the answer carried the upstream's leaving mark.
	Leaving bool `json:"leaving,omitempty"`
	// Cold says that the answer carried the upstream's own cold mark, a hint
	// that can only make the tier more careful.
	Cold    bool     `json:"cold,omitempty"`
	Version Version  `json:"version,omitempty"`
	Total   int      `json:"total,omitempty"`
	Records []Record `json:"records,omitempty"`
}

// CallID numbers the calls to one upstream.
type CallID uint64

// CallResult says how a call to an upstream ended.
type CallResult uint8

const (
	// CallDone brought an answer.
	CallDone CallResult = iota
	// CallShed was refused by the upstream before it ran.
	CallShed
	// CallRefused found no one listening; it didn't run.
	CallRefused
	// CallBroken lost its connection while it may have run.
	CallBroken
	// CallTimeout had no answer by its deadline; it may have run.
	CallTimeout
	// CallCanceled was canceled by us; it may have run.
	CallCanceled
	// CallRejected was answered with an error by the upstream's program.
	CallRejected
	// CallWrongVersion was answered from another snapshot.
	CallWrongVersion
	// CallMisdirected met another upstream at the address; it didn't run.
	CallMisdirected
	// CallInvalidResponse brought an answer that isn't one to this call; it may have run.
	CallInvalidResponse
)

// String names the result as metrics and logs show it.
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

// NotRun says that a call that ended so certainly didn't run.
func (r CallResult) NotRun() bool {
	switch r {
	case CallShed, CallRefused, CallMisdirected:
		return true
	default:
		return false
	}
}

// UpstreamTimer is a timer of an upstream that has come due.
type UpstreamTimer struct {
	Addr Address   `json:"addr"`
	What TimerKind `json:"what"`
}

// ViewChanged tells a traffic thread that there is a new view, so that it can
// stop further attempts at zones out and upstreams leaving.
type ViewChanged struct{}

// Query says which query the event is for.
func (e *WorkArrived) Query() QueryID { return e.Work.Query }

// Query says which query the event is for.
func (e *CollectArrived) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *CancelArrived) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *GatherTimer) Query() QueryID { return e.ID }

// Query says which query the event is for.
func (e *ItemFinished) Query() QueryID { return e.ID }

// Upstream says which upstream the event is for.
func (e *ItemArrived) Upstream() Address { return e.Item.Upstream }

// Upstream says which upstream the event is for.
func (e *ItemCanceled) Upstream() Address { return e.Item.Upstream }

// Upstream says which upstream the event is for.
func (e *AttemptEnded) Upstream() Address { return e.Addr }

// Upstream says which upstream the event is for.
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

// ReplyWork answers an entry daemon's Work or Collect.
type ReplyWork struct {
	Answer *WorkAnswered `json:"answer"`
}

// SetGatherTimer asks for a GatherTimer after a delay.
type SetGatherTimer struct {
	ID      QueryID       `json:"id"`
	Attempt AttemptID     `json:"attempt"`
	What    TimerKind     `json:"what"`
	After   time.Duration `json:"after"`
}

// StartAttempt asks for one request to be sent to an upstream. The outcome
// comes back as AttemptEnded.
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
	// LivenessProbe asks only whether the upstream answers: the call carries no caller's
	// request, and any answer will do.
	LivenessProbe bool `json:"proof,omitempty"`
}

// ReasonCanceled is the reason of an item that nobody waits for any more. It is
// in no answer to a caller.
const ReasonCanceled Reason = "canceled"

// CancelAttempt asks for a request in flight to be canceled, up to the upstream.
type CancelAttempt struct {
	Addr Address `json:"addr"`
	Call CallID  `json:"call"`
}

// SetUpstreamTimer asks for an UpstreamTimer after a delay.
type SetUpstreamTimer struct {
	Addr  Address       `json:"addr"`
	What  TimerKind     `json:"what"`
	After time.Duration `json:"after"`
}

// MarkUpstream tells the control thread what traffic has shown of an upstream.
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

// Control marks the event: the effect comes back to the control partition.
func (*MarkUpstream) Control() {}
