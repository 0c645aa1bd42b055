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
// The daemons of a zone read for each other (source.go): one reads the registry,
// the others ask it for news, and each can take over.
//
// The version of the routes only rises. There is no clock and no I/O here.
package watcher
