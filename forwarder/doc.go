// Package forwarder decides what becomes of a routed request: which upstreams it
// is sent to, when it is sent to another one, and when and how it is answered.
//
// A request goes to one upstream of its service, or to one of each shard. Calls
// go to the upstreams directly, within bounds that each daemon keeps for itself
// (package budgeter). Where the directory names delegates, a request over many
// shards is handed to one of them instead, which calls the upstreams.
//
//	RequestArrived -> SendGather, SetRequestTimer -> GatherEnded -> ReplyRequest
//	RequestArrived -> SendCall ... SendCall, SetRequestTimer
//	RequestArrived -> SendGather and SendCall ... -> GatherEnded, CallEnded -> ReplyRequest
//	CallEnded      -> (another SendCall) -> ReplyRequest
//	RequestTimer   -> hedges, then ReplyRequest with the parts that are in
//
// A request that isn't idempotent is sent a second time only if the first call
// certainly hasn't run. A refusal says notRun only if no call can have run.
//
// There is no clock and no I/O here.
package forwarder
