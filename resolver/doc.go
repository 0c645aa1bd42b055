// Package resolver resolves the names that callers use to services.
//
// There are three naming schemes for the same services, and each still has
// callers. With a scheme, a name is looked up in that scheme only. Without one,
// it is looked up in every scheme and among the canonical names; if the matches
// are different services, the name is rejected, since a guess could search other
// records than the caller wants.
//
//	resolver.Resolve(c, "spanish", "mesón")  dispatch-counter
//	resolver.Resolve(c, "", "horno")         roast-scheduler
//	resolver.Resolve(c, "", "mesón")         an almondstep.ErrAmbiguousName: billing-office
//	                                         in ledger, dispatch-counter in spanish
package resolver
