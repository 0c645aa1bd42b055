// Package watcher is the control partition of a daemon that learns everything
// from the platform's registry: routes, upstreams, zones out and the other
// daemons. From what it reads it makes the views that the traffic threads use.
//
// A registry that is down or turns this daemon away changes nothing that is
// known: the daemon goes on with it. Entries that lapsed while the registry was
// away may come back, so they are kept for a moment after its return:
//
//	watch fails ... watch answers: entry removed -> kept for LapseGrace
//	watch answers: entry removed                 -> no new requests at once
//
// The daemons read for each other, in a tree (source.go): one or two read the
// registry, the others ask their parents. What is told carries its age: how long
// ago the registry itself confirmed it. Each confirmation passes through the tree
// once a beat, so that a daemon notices by the age alone that its word is late,
// whatever the reason, and asks others until one knows more (search.go):
//
//	age <= 3/4 Bound            goes on reading from its source
//	age >  3/4 Bound            asks other daemons of all zones as well
//	age >  Bound                a route that isn't known may be there: not "no route"
//
// The version of the routes only rises, and so does the revision that is known.
// There is no clock and no I/O here.
package watcher
