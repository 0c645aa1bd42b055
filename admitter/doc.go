// Package admitter decides whether a query is admitted, before any work is done
// for it.
//
// It is a separate package because a refusal must be truthful: all its inputs
// are known on arrival, so nothing has begun when a query is refused. There is
// no queue at the entry daemon; queries wait at the owners, ordered by class
// and deadline.
//
// Classes: the class of priority 0 may use the whole limit of open queries;
// each lower class leaves a quarter of it to the classes above. Tenants: once
// three quarters of the limit are in use, a tenant that holds its share or more
// gets no more, so that the last quarter is always there for a tenant below its
// share.
//
// Overload: every sub-request of a search goes to another upstream, so full
// upstreams that each refuse a few leave no search complete. If more than an
// eighth of a round's searches each had 2 in 100 of their sub-requests shed,
// the service's limit falls by an eighth, so that fewer searches are admitted
// and those are complete; it rises by a sixteenth after a round with fewer
// sheds. Other services are not affected.
//
// Example: with a limit of 100, a tenant with share 1 of 2 floods with urgent
// lookups. It is refused at 75 open ones; the other tenant's next 25 are
// admitted.
package admitter
