// Package watcher is the control partition of a daemon that reads everything from
// the platform's registry: routes, upstreams, drained zones and the other daemons.
// From these it builds the views that the traffic threads use.
//
// While the registry is down or rejects this daemon, the daemon goes on with its
// registry cache unchanged. Entries whose leases expired during the outage may be
// renewed, so they are kept for a short time after the outage ends:
//
//	watch fails ... watch answers: entry removed -> kept for LapseGrace
//	watch answers: entry removed                 -> no new requests at once
//
// The daemons form a tree (source.go): one or two read the registry, and the others
// read from their parents. Each registry update carries its age: how long ago the
// registry itself confirmed it. A confirmation passes through the tree once per
// confirmation interval, so that a daemon detects from the age alone that its updates
// are late, whatever the reason, and asks other daemons until one has a fresher
// registry cache (search.go):
//
//	age <= 3/4 MaxAge           reads from its source only
//	age >  3/4 MaxAge           also asks other daemons of all zones
//	age >  MaxAge               doesn't reply "no route": a route may have been added
//
// The version of the routes never decreases, and neither does the revision of the
// registry cache. This package uses no clock and no I/O.
package watcher
