// Package applier reads the configuration from the platform and writes edits to it.
// An edit is accepted only if the revision it was made from is still in force, or if
// it can be rebased to the one that is.
//
// Configuration and history are stored as one value under one key, so that a
// single compare-and-swap accepts an edit together with its history and no edit
// is written partially. The value holds the newest text and, for each recent
// edit, who made it, when and why, and a patch to the previous text, from which
// former revisions are reconstructed.
//
//	a := &applier.Applier{Platform: p, Who: "ana", Check: check}
//	result, err := a.Apply(ctx, applier.Edit{Text: text, Base: 7, Reason: "rain at the depot"})
//
// If err is an almondstep.ErrConflict, another edit was accepted first; a
// *applier.ConflictError lists the conflicting edits. If the answer to a write
// is lost, the value is read back: the edit's write id is in the history if it
// was accepted, even if later edits followed.
package applier
