// Package admitter decides whether a query is taken in, before it costs
// anything.
//
// It is apart because a refusal must be true: everything it looks at is known
// on arrival, so nothing has begun when it says no. There is no queue at the
// entry daemon; waiting is done at the owners, by class and with deadlines.
//
// Classes: class of priority 0 may fill all open places, each lower class
// leaves a quarter to those above. Tenants: one that has more than its share of
// the open places gets no more while three quarters of them are taken, so that
// the last quarter is always there for a tenant below its share.
//
// Overload: every sub-request of a search goes to another upstream, so that full
// upstreams that each refuse a few leave no search whole. Where a search had 2
// in 100 of its sub-requests shed, the service's places fall by an eighth a
// round, so that fewer searches are taken in and those are complete; they rise
// by a sixteenth a round without sheds. Other services are not concerned.
//
// Example: of 100 places, a tenant with share 1 of 2 floods with urgent
// lookups. It is refused at 75 open ones; the other tenant's next 25 are
// admitted.
package admitter
