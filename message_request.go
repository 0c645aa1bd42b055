package almondstep

import (
	"slices"
	"strings"
	"time"
)

// HeaderField is one header field of a request or a response.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Header is a list of header fields in their original order.
type Header []HeaderField

// Get returns the first value of a field, or the empty string if there is none.
// Names are case-insensitive.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has reports whether a field is present. Names are case-insensitive.
func (h Header) Has(name string) bool {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return true
		}
	}
	return false
}

// RequestMessage is a caller's request as it is forwarded to upstreams.
type RequestMessage struct {
	// Key is the request's ID for both the caller and the upstreams.
	Key    string `json:"key"`
	Method string `json:"method"`
	// Target is the path and query as the caller sent them.
	Target string `json:"target"`
	Path   string `json:"path"`
	Host   string `json:"host"`
	Header Header `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Organisation is that of the caller; empty if the route is public or the routes
	// define no organisations. Upstreams receive it.
	Organisation OrganisationName `json:"organisation,omitempty"`
	// APIKey is the key that the caller sent; empty if it didn't send exactly one. It is
	// secret and never leaves the daemon.
	APIKey string `json:"-"`
	// Identity holds the header fields by which the caller identified itself. They are
	// forwarded only if the routes define no organisations.
	Identity Header `json:"-"`
}

// ForOrganisation returns the message as it is forwarded for an organisation, without the
// fields by which the caller identified itself. The name is empty on a public route.
func (m *RequestMessage) ForOrganisation(name OrganisationName) *RequestMessage {
	forwarded := *m
	forwarded.Organisation, forwarded.APIKey, forwarded.Identity = name, "", nil
	return &forwarded
}

// WithIdentity returns the message as it is forwarded if the routes define no organisations:
// with the fields by which the caller identified itself.
func (m *RequestMessage) WithIdentity() *RequestMessage {
	if len(m.Identity) == 0 {
		return m
	}
	forwarded := m.ForOrganisation("")
	forwarded.Header = append(slices.Clone(m.Header), m.Identity...)
	return forwarded
}

// Fingerprint is the same for a request and for its repetitions with another ID by callers
// of the same organisation, whichever daemon they reach. It doesn't depend on the header, in
// which each attempt may differ.
func (m *RequestMessage) Fingerprint() Fingerprint {
	if m.Organisation == "" {
		return FingerprintOf(m.Method, m.Host, m.Target, string(m.Body))
	}
	return FingerprintOf(m.Method, m.Host, m.Target, string(m.Body), string(m.Organisation))
}

// ResponseMessage is an upstream's complete response.
type ResponseMessage struct {
	Status int    `json:"status"`
	Header Header `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Signature authenticates the response as the upstream's own; empty if it sent
	// none.
	Signature string `json:"signature,omitempty"`
}

// RequestArrived is a caller's request to be matched to a route.
type RequestArrived struct {
	ID      QueryID         `json:"id"`
	Request *RequestMessage `json:"request"`
	// Remaining is how long the caller waits; 0 if unknown.
	Remaining time.Duration `json:"remaining"`
	// At is when the daemon received the request; 0 means now.
	At Instant `json:"at,omitempty"`
	// Route is set if another daemon has matched the request and delegated it;
	// Version is then the version of that daemon's routes.
	Route   *Route       `json:"-"`
	Version RouteVersion `json:"version,omitempty"`
}

// RequesterGone occurs when the caller of a request has abandoned it.
type RequesterGone struct {
	ID QueryID `json:"id"`
}

// RequestTimer occurs when the timer of a request expires.
type RequestTimer struct {
	ID QueryID `json:"id"`
}

// SendCall sends one request to an upstream. The outcome is returned as CallEnded.
type SendCall struct {
	ID       QueryID         `json:"id"`
	Call     CallID          `json:"call"`
	Upstream *Upstream       `json:"upstream"`
	Request  *RequestMessage `json:"request"`
	// Timeout is the time after which the call is abandoned.
	Timeout time.Duration `json:"timeout"`
	// UsefulFor is how long the response is of use, at most Timeout. The time that is left
	// of it when the call is sent is passed to the upstream as its deadline.
	UsefulFor time.Duration `json:"wanted"`
	// Records is how many of the greatest records in the response are needed; 0
	// means the whole response.
	Records int `json:"records,omitempty"`
	// Connections is the maximum number of connections from this daemon to the
	// upstream.
	Connections int `json:"connections"`
	// StatusCheck is set if the call is no caller's request, but asks the upstream for its status.
	StatusCheck bool `json:"statusCheck,omitempty"`
	// FreshConnection requires a new connection, or one on which bytes were received
	// very recently.
	FreshConnection bool `json:"unused,omitempty"`
}

// UpstreamLoad is an upstream's load as it reports it, in numbers of requests.
type UpstreamLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Pace is how long work takes on the upstream's machine now, in percent of its usual
	// time; 0 if unknown.
	//
	// Example: at 200, a request takes twice as long as usual.
	Pace int `json:"pace,omitempty"`
}

// CallEnded is the outcome of a SendCall.
type CallEnded struct {
	ID     QueryID       `json:"id"`
	Call   CallID        `json:"call"`
	Result CallResult    `json:"result"`
	Took   time.Duration `json:"took"`
	// Disconnected is set if the upstream ended the connection after the request was sent
	// and before its response was complete.
	Disconnected bool `json:"disconnected,omitempty"`
	// ClaimsNotRun is set if the status of the response tells a caller that the request hasn't
	// run, although the upstream doesn't confirm it.
	ClaimsNotRun bool `json:"claimsNotRun,omitempty"`
	// Leaving is set if the upstream says in its response that it leaves: it gets no new
	// requests.
	Leaving bool `json:"leaving,omitempty"`
	// Response is the upstream's response, whatever its status; nil if there is none.
	Response *ResponseMessage `json:"response,omitempty"`
	// Load is nil if the upstream didn't report it.
	Load *UpstreamLoad `json:"load,omitempty"`
	// Limit is the number of requests per second that the upstream takes from all daemons
	// together, as it states; nil if it states none.
	Limit *float64 `json:"limit,omitempty"`
	// ColdFor is how much longer the upstream stays cold, as it reports.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// RetryAfter is the time for which the upstream wants no requests from this daemon, as it
	// states when it turns one away; 0 if it states none.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// OddRetryAfter is what the upstream states instead of such a time, or beyond the longest that is
	// heeded; usually empty.
	OddRetryAfter string `json:"oddRetryAfter,omitempty"`
}

// CancelCall cancels a call in flight after a delay. If the response arrives
// before that, the connection stays usable.
type CancelCall struct {
	ID    QueryID       `json:"id"`
	Call  CallID        `json:"call"`
	After time.Duration `json:"after"`
}

// SetRequestTimer requests a RequestTimer after a delay.
type SetRequestTimer struct {
	ID    QueryID       `json:"id"`
	After time.Duration `json:"after"`
}

// ReplyRequest answers a caller's request.
type ReplyRequest struct {
	ID    QueryID `json:"id"`
	Reply *Reply  `json:"reply"`
}

// Reply is the result of a routed request that its caller receives.
type Reply struct {
	Outcome Outcome     `json:"outcome"`
	Code    RefusalCode `json:"code,omitempty"`
	// Response is an upstream's response that is forwarded unchanged; nil if none is.
	Response *ResponseMessage `json:"response,omitempty"`
	// Merged is the merged answer of a request over shards; nil if there is none.
	Merged *MergedAnswer `json:"merged,omitempty"`
	// RetryAfter is the delay after which the caller may retry a refused request.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Trace      RequestTrace  `json:"trace"`
}

// MergedAnswer is an answer over shards, from one version of the routes.
type MergedAnswer struct {
	// Records are the greatest records of the included shards, greatest first.
	Records []byte `json:"records"`
	// Signatures are those of the included shards' responses.
	Signatures []string `json:"signatures"`
	// Missing is the number of shards that are not included.
	Missing int `json:"missing"`
}

// RequestTrace explains a request's outcome in its log line.
type RequestTrace struct {
	Route   RouteName    `json:"route"`
	Version RouteVersion `json:"version"`
	// Organisation is that of the caller; empty if it isn't known.
	Organisation OrganisationName `json:"organisation,omitempty"`
	// QuotaBy is the daemon that decided on the quota of the organisation; empty if none did.
	QuotaBy DaemonID `json:"quotaBy,omitempty"`
	// Delegate is the daemon that queried the shards; empty if it was this one.
	Delegate DaemonID `json:"delegate,omitempty"`
	// DelegateLoad is the share of its capacity that the delegate uses, as its reply reports;
	// 0 if unknown.
	DelegateLoad float64 `json:"delegateLoad,omitempty"`
	// RegionalDelegate is the daemon of another region to which the shards there were
	// delegated; empty if none was.
	RegionalDelegate DaemonID `json:"helper,omitempty"`
	Shards           int      `json:"shards"`
	Included         int      `json:"included"`
	Calls            int      `json:"calls"`
	// Hedges and Retries count the additional calls for the shards.
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	// Denied counts additional calls that the retry budget didn't allow.
	Denied int `json:"denied"`
	// Exposed counts the calls to versions whose rollout isn't completed.
	Exposed int `json:"exposed,omitempty"`
	// Limited counts the shards that weren't called because of the limits that their
	// upstreams state.
	Limited int `json:"limited,omitempty"`
	// Priority is that of the request; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Waited is how long the request waited for capacity, and Short what was short: service
	// or processor; empty if the request didn't wait and wasn't refused for lack of capacity.
	Waited time.Duration `json:"waited,omitempty"`
	Short  string        `json:"short,omitempty"`
	// Withheld counts the hedges and retries that weren't sent because the service had no
	// capacity to spare.
	Withheld int `json:"withheld,omitempty"`
	// Steps are the first few decisions to call another upstream.
	Steps []RequestStep `json:"steps,omitempty"`
	// Fingerprint is that of the request if Disconnected or Unanswered isn't empty; 0
	// otherwise.
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// Disconnected lists the first few upstreams that ended the connection while they had
	// the request.
	Disconnected []UpstreamRun `json:"disconnected,omitempty"`
	// Unanswered lists the first upstreams that the request was sent to and that hadn't
	// answered it when its caller got a reply, if no upstream had.
	Unanswered []UpstreamRun `json:"unanswered,omitempty"`
	// Leaving lists the upstreams that said in their answers that they leave. A delegate's
	// reply passes them on.
	Leaving []UpstreamRun `json:"leaving,omitempty"`
	// Missing lists a few of the shards that are not included, with their results.
	Missing []MissingPart `json:"missing,omitempty"`
	Took    time.Duration `json:"took"`
}

// RequestStep is one decision to call another upstream, or the denial of it.
type RequestStep struct {
	// AfterMillis is the time since the request's arrival, in milliseconds.
	AfterMillis int64       `json:"afterMillis"`
	Service     ServiceName `json:"service"`
	// Decision is one of hedge, retry and denied.
	Decision string `json:"what"`
	// From is the upstream called before, and PreviousResult the state of that call.
	From           UpstreamID `json:"from,omitempty"`
	PreviousResult string     `json:"why"`
	// To is the upstream called now; empty if the retry budget denied the call.
	To UpstreamID `json:"to,omitempty"`
}

// MissingPart is a shard that an answer doesn't include, and the state of its last
// call.
type MissingPart struct {
	Service  ServiceName `json:"service"`
	Upstream UpstreamID  `json:"upstream,omitempty"`
	Result   string      `json:"result"`
	// Listed is the number of the service's upstreams that the directory lists for new
	// requests.
	Listed int `json:"listed"`
}

// Query returns the ID of the request the event belongs to.
func (e *RequestArrived) Query() QueryID { return e.ID }

// Query returns the ID of the request the event belongs to.
func (e *RequesterGone) Query() QueryID { return e.ID }

// Query returns the ID of the request the event belongs to.
func (e *RequestTimer) Query() QueryID { return e.ID }

// Query returns the ID of the request the event belongs to.
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
