// Package distributor brings each new edition of a document to this daemon and
// passes it on.
//
// It is pure: the controller hands it what was heard and appends the effects it
// returns. The relays of a zone read the platform; the others hear of a higher
// revision in a digest and pull it from whoever told them, as a patch from the
// edition they hold.
//
//	relay:  ReadDocument(after 7) ... DocumentRead(8)   -> holds 8, its digests say so
//	other:  Hear(digest: revision 8) -> SendPull(have 7) ... PullEnded(patch 7 to 8)
//
// Only a strictly higher revision with a matching hash is ever taken, wherever
// it comes from, so an accepted configuration can't revert here: neither by a
// platform that returns with older data, nor by a peer that was cut off.
package distributor
