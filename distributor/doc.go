// Package distributor keeps this daemon's documents up to date and distributes
// them to peers.
//
// It is a pure state machine: the controller passes it the document states in
// digests and executes the effects it returns. The relays of a zone read the
// platform; the other daemons find a higher revision in a digest and pull it from the
// sender, as a patch from the revision they hold.
//
//	relay:  ReadDocument(after 7) ... DocumentRead(8)      -> holds 8, and its digests report 8
//	other:  Observe(digest: revision 8) -> SendPull(have 7) ... PullEnded(patch 7 to 8)
//
// Only a strictly higher revision with a matching hash is ever accepted, from any
// source, so this daemon never reverts to an older configuration: neither by a
// platform that has older data after an outage, nor by a peer that was partitioned.
package distributor
