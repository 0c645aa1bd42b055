package almondstep

import (
	"strings"
	"time"
)

// HeaderField is one field of a request's or answer's header.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Header is a header in the order of its fields.
type Header []HeaderField

// Get gives the first value of a field; empty if there is none. Names are
// compared without case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has says whether a field is there.
func (h Header) Has(name string) bool {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return true
		}
	}
	return false
}

// RequestMessage is a caller's request as it is passed on to upstreams.
type RequestMessage struct {
	// Key identifies the request for the caller and the upstreams.
	Key    string `json:"key"`
	Method string `json:"method"`
	// Target is the path and query as the caller sent them.
	Target string `json:"target"`
	Path   string `json:"path"`
	Host   string `json:"host"`
	Header Header `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// ResponseMessage is an upstream's whole answer.
type ResponseMessage struct {
	Status int    `json:"status"`
	Header Header `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Signature is the upstream's proof that the answer is its own; empty if it
	// gave none.
	Signature string `json:"signature,omitempty"`
}

// RequestArrived is a caller's request for a route.
type RequestArrived struct {
	ID      QueryID         `json:"id"`
	Request *RequestMessage `json:"request"`
	// Remaining is how long the caller waits; 0 if it didn't say.
	Remaining time.Duration `json:"remaining"`
	// At is when the daemon had the request; 0 means now.
	At Instant `json:"at,omitempty"`
	// Route is set where another daemon has matched the request and hands it over;
	// Version is that of its routes.
	Route   *Route       `json:"-"`
	Version RouteVersion `json:"version,omitempty"`
}

// RequesterGone says that the caller of a request has gone away.
type RequesterGone struct {
	ID QueryID `json:"id"`
}

// RequestTimer is the timer of a request that has come due.
type RequestTimer struct {
	ID QueryID `json:"id"`
}

// SendCall asks for one request to be sent to an upstream. The outcome comes
// back as CallEnded.
type SendCall struct {
	ID       QueryID         `json:"id"`
	Call     CallID          `json:"call"`
	Upstream *Upstream       `json:"upstream"`
	Request  *RequestMessage `json:"request"`
	// Timeout is when the call is given up.
	Timeout time.Duration `json:"timeout"`
	// Wanted is how long its answer is wanted, at most Timeout. The upstream is told
	// what is left of it when the call is sent.
	Wanted time.Duration `json:"wanted"`
	// Records is the number of greatest records that are wanted of the answer; 0
	// means all of it.
	Records int `json:"records,omitempty"`
	// Connections is the number of connections this daemon may have open to the
	// upstream.
	Connections int `json:"connections"`
	// FreshConnection asks for a connection that has carried nothing yet, or that was
	// heard from a moment ago.
	FreshConnection bool `json:"unused,omitempty"`
}

// UpstreamLoad is what an upstream says of its load.
type UpstreamLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// CallEnded says how a call to an upstream ended.
type CallEnded struct {
	ID     QueryID       `json:"id"`
	Call   CallID        `json:"call"`
	Result CallResult    `json:"result"`
	Took   time.Duration `json:"took"`
	// Response is the upstream's answer, whatever its status; nil if there is none.
	Response *ResponseMessage `json:"response,omitempty"`
	// Load is nil if the upstream didn't tell it.
	Load *UpstreamLoad `json:"load,omitempty"`
	// ColdFor is how much longer the upstream says it stays cold.
	ColdFor time.Duration `json:"coldFor,omitempty"`
}

// CancelCall asks for a call in flight to be given up after a while. Until then
// its answer may still come, which leaves its connection usable.
type CancelCall struct {
	ID    QueryID       `json:"id"`
	Call  CallID        `json:"call"`
	After time.Duration `json:"after"`
}

// SetRequestTimer asks for a RequestTimer after a delay.
type SetRequestTimer struct {
	ID    QueryID       `json:"id"`
	After time.Duration `json:"after"`
}

// ReplyRequest answers a caller's request.
type ReplyRequest struct {
	ID    QueryID `json:"id"`
	Reply *Reply  `json:"reply"`
}

// Reply is what the caller of a routed request gets.
type Reply struct {
	Outcome Outcome     `json:"outcome"`
	Code    RefusalCode `json:"code,omitempty"`
	// Response is an upstream's answer that is passed on unchanged.
	Response *ResponseMessage `json:"response,omitempty"`
	// Merged is the answer over shards.
	Merged *MergedAnswer `json:"merged,omitempty"`
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Trace      RequestTrace  `json:"trace"`
}

// MergedAnswer is an answer over shards, from one version of the routes.
type MergedAnswer struct {
	// Records are the greatest records of the parts, greatest first.
	Records []byte `json:"records"`
	// Signatures prove the parts that are included.
	Signatures []string `json:"signatures"`
	// Missing is the number of shards that are left out.
	Missing int `json:"missing"`
}

// RequestTrace says what decided a request's outcome, for its log line.
type RequestTrace struct {
	Route   RouteName    `json:"route"`
	Version RouteVersion `json:"version"`
	// Delegate is the daemon that asked the shards, if it was another one.
	Delegate DaemonID `json:"delegate,omitempty"`
	// RegionalDelegate is the daemon of another region that was asked for the shards there;
	// empty if none was.
	RegionalDelegate DaemonID `json:"helper,omitempty"`
	Shards           int      `json:"shards"`
	Included         int      `json:"included"`
	Calls            int      `json:"calls"`
	// Hedges and Retries count the further calls of the shards.
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	// Denied counts further calls that the retry budget didn't allow.
	Denied int `json:"denied"`
	// Steps are the first decisions to call another upstream.
	Steps []RequestStep `json:"steps,omitempty"`
	// Missing names a few of the shards that are left out, and why.
	Missing []MissingPart `json:"missing,omitempty"`
	Took    time.Duration `json:"took"`
}

// RequestStep is one decision to call another upstream, or that it isn't
// allowed.
type RequestStep struct {
	// AfterMillis is the time since the request's arrival, in milliseconds.
	AfterMillis int64       `json:"afterMillis"`
	Service     ServiceName `json:"service"`
	// What is hedge, retry or denied.
	What string `json:"what"`
	// From is the upstream called before, and Why how that call stood.
	From UpstreamID `json:"from,omitempty"`
	Why  string     `json:"why"`
	// To is the upstream called now; empty if the budget denied it.
	To UpstreamID `json:"to,omitempty"`
}

// MissingPart is a shard left out of an answer and how its last call stood.
type MissingPart struct {
	Service  ServiceName `json:"service"`
	Upstream UpstreamID  `json:"upstream,omitempty"`
	Result   string      `json:"result"`
	// Listed is the number of upstreams that could have got new requests.
	Listed int `json:"listed"`
}

// Query says which request the event is for.
func (e *RequestArrived) Query() QueryID { return e.ID }

// Query says which request the event is for.
func (e *RequesterGone) Query() QueryID { return e.ID }

// Query says which request the event is for.
func (e *RequestTimer) Query() QueryID { return e.ID }

// Query says which request the event is for.
func (e *CallEnded) Query() QueryID { return e.ID }

// Kind names the event.
func (*RequestArrived) Kind() string { return "requestArrived" }

// Kind names the event.
func (*RequesterGone) Kind() string { return "requesterGone" }

// Kind names the event.
func (*RequestTimer) Kind() string { return "requestTimer" }

// Kind names the event.
func (*CallEnded) Kind() string { return "callEnded" }

// Kind names the effect.
func (*SendCall) Kind() string { return "sendCall" }

// Kind names the effect.
func (*CancelCall) Kind() string { return "cancelCall" }

// Kind names the effect.
func (*SetRequestTimer) Kind() string { return "setRequestTimer" }

// Kind names the effect.
func (*ReplyRequest) Kind() string { return "replyRequest" }
