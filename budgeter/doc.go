// Package budgeter keeps bounds that hold over all daemons together, by giving
// each daemon a fixed share.
//
// A share needs no word from anyone, so that the bound holds through every cut.
// Weighed: one owner for each service, which must be asked or two of which may
// act at once.
//
//	b := &budgeter.Budget{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
//	b.Need(now, "intake-desk~3")                  // a caller's request
//	ok := b.Take(now, "intake-desk~3", 9, budgeter.Retry) // a further call, with 9 daemons
//
// It has no clock and does no I/O.
package budgeter
