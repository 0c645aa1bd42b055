// Package budgeter enforces fleet-wide limits on calls by giving each daemon a
// fixed share.
//
// A fixed share needs no communication, so the limit holds during network
// partitions. The alternative, one owner for each service, would need a request to
// the owner for each call, and two daemons could act as owner at once.
//
//	b := &budgeter.Budget{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
//	b.CountRequest(now, "intake-desk~3")                  // a caller's request
//	ok := b.Take(now, "intake-desk~3", 9, budgeter.Retry) // an extra call, with 9 daemons
//
//	l := &budgeter.RateLimiter{}
//	l.State(now, upstream, 12.5, 9) // the upstream takes 12.5 requests a second
//	ok = l.Take(now, upstream, 9)   // one of them, with 9 daemons
//
// The package has no clock and does no I/O.
package budgeter
