// Package admitter decides whether a query or a routed request is admitted, before any
// work is done for it. Admitter is for queries, Gate for routed requests.
//
// A Gate knows of each upstream the calls in flight, the queue that it reported or that is
// inferred from sheds and latencies, and its service time. A request passes while an upstream
// of its service, or of as many shards as its answer needs, would start a call within 10 ms.
// Otherwise it waits for a quarter of its latency target at most, if it is expected to start
// by then, or is refused at once. While events are handled late, open calls are limited too.
//
// The rest of this text is about Admitter. It is a separate package so that a refusal is certain to mean that nothing has
// run: all inputs of the decision are known on arrival, before any work begins.
// There is no queue at the entry daemon; requests are queued at the owners, by
// class, tenant and deadline.
//
// Classes: the class of priority 0 may use the whole limit of open queries; each
// lower class may use a quarter of the limit less than the class above it, but at
// least a quarter. Tenants: once three quarters of the limit are in use, a tenant
// with its share or more of open queries is refused, so that the last quarter is
// reserved for tenants below their shares.
//
// Overload: every sub-request of a search goes to another upstream, so upstreams
// at capacity that each shed a few can leave every search incomplete. If more
// than an eighth of a round's searches each had more than 2 in 100 of their
// sub-requests shed, the service's limit falls by an eighth, so that fewer
// searches are admitted and those are complete; it rises by a sixteenth after a
// round with fewer such searches. Other services are not affected.
//
// Example: with a limit of 100, a tenant with share 1 of 2 sends a flood of urgent
// lookups. It is refused at 75 open ones; the other tenant's next 25 are
// admitted.
package admitter
