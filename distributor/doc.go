// Package distributor keeps this daemon's documents up to date and distributes
// them to peers.
//
// It is a pure state machine: the controller passes it the document states in
// digests and executes the effects it returns. The relays of a zone read the
// platform; the other daemons learn of a higher revision from a digest and pull it
// from the sender, as a patch from the revision they hold.
//
//	relay:  ReadDocument(after 7) ... DocumentRead(8)      -> holds 8, as its digests state
//	other:  Observe(digest: revision 8) -> SendPull(have 7) ... PullEnded(patch 7 to 8)
//
// Only a strictly higher revision with a matching hash is ever accepted, from any
// source, so an accepted configuration can't revert here: neither by a platform
// that returns with older data, nor by a peer that was partitioned.
package distributor
