// Package forwarder decides how a routed request is handled: which upstreams it
// is sent to, when it is hedged or retried, and when and how it is answered.
//
// A request goes to one upstream of its service, or to one of each shard. Calls
// go to the upstreams directly, within limits that each daemon enforces by itself
// (package budgeter). Where the directory names delegates, a request over many
// shards is forwarded to one of them instead, which calls the upstreams.
//
//	RequestArrived -> SendGather, SetRequestTimer -> GatherEnded -> ReplyRequest
//	RequestArrived -> SendCall ... SendCall, SetRequestTimer
//	RequestArrived -> SendGather and SendCall ... -> GatherEnded, CallEnded -> ReplyRequest
//	CallEnded      -> (another SendCall) -> ReplyRequest
//	RequestTimer   -> hedges, then ReplyRequest with the parts received
//
// A request that isn't idempotent is sent a second time only if the first call
// certainly hasn't run. A refusal has the outcome notRun only if no call can have
// run.
//
// The package has no clock and does no I/O.
package forwarder
