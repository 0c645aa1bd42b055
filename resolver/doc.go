// Package resolver resolves the names that callers use to services.
//
// The same services have names in several naming schemes, which the configuration
// lists, and each scheme has callers. With a scheme, a name is looked up in that scheme only. Without one,
// it is looked up in every scheme and among the canonical names; if the matches
// are different services, the name is rejected, since a guess could search other
// records than those the caller means.
//
//	resolver.Resolve(c, "spanish", "mesón")  dispatch-counter
//	resolver.Resolve(c, "", "horno")         roast-scheduler
//	resolver.Resolve(c, "", "mesón")         an almondstep.ErrAmbiguousName: billing-office
//	                                         in ledger, dispatch-counter in spanish
package resolver
