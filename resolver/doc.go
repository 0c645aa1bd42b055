// Package resolver finds the service a caller means.
//
// Three naming schemes have grown for the same services, and each still has
// callers. With a scheme, a name means what that scheme says. Without one, it
// may mean a service in any scheme or by its canonical name; if these are not
// the same service, it is refused, since a guess would search other records
// than the caller wants.
//
//	resolver.Resolve(c, "spanish", "mesón")  dispatch-counter
//	resolver.Resolve(c, "", "horno")         roast-scheduler
//	resolver.Resolve(c, "", "mesón")         an almondstep.ErrAmbiguousName: billing-office
//	                                         in ledger, dispatch-counter in spanish
package resolver
