// Package applier keeps the operators' text at the platform: it reads it, and
// puts an edit in the place of the revision the edit was made from.
//
// All of it is one value under one key, so that one compare-and-swap accepts an
// edit with its history, and nothing can be half done. The value holds the
// newest text and, for each recent edit, who made it, when and why, and a patch
// back to the text before, from which former revisions are made.
//
//	a := &applier.Applier{Platform: p, Who: "ana", Check: check}
//	result, err := a.Apply(ctx, applier.Edit{Text: text, Base: 7, Reason: "rain at the depot"})
//
// If err is an almondstep.ErrConflict, another edit came first; a
// *applier.ConflictError says whose. If the answer to a write is lost, the
// value is read back: the edit's write id is in the history if it was
// accepted, also under later edits.
package applier
