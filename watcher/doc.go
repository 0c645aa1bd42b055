// Package watcher is the control partition of a daemon that learns everything
// from the platform's registry: routes, upstreams, drained zones and the other
// daemons. From what it reads it builds the views that the traffic threads use.
//
// While the registry is down or rejects this daemon, the daemon goes on with its
// registry cache unchanged. Entries whose leases expired during the outage may be
// renewed, so they are kept for a short time after the registry's return:
//
//	watch fails ... watch answers: entry removed -> kept for LapseGrace
//	watch answers: entry removed                 -> no new requests at once
//
// The daemons read for each other, in a tree (source.go): one or two read the
// registry, the others read from their parents. Each registry update carries its
// age: how long ago the registry itself confirmed it. Each confirmation passes
// through the tree once per confirmation interval, so that a daemon detects from the
// age alone that its updates are late, whatever the reason, and asks other daemons
// until one has a fresher registry cache (search.go):
//
//	age <= 3/4 MaxAge           continues reading from its source
//	age >  3/4 MaxAge           asks other daemons of all zones as well
//	age >  MaxAge               a route missing from the cache may exist: not "no route"
//
// The version of the routes never decreases, and neither does the revision of the
// registry cache. This package uses no clock and no I/O.
package watcher
