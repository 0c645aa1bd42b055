package applier

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/patcher"
)

// write is the state of one edit while it is being applied.
type write struct {
	edit Edit
	id   string
	// stored is the value that was last read.
	stored storedValue
	// keyRevision is the revision of the key that value replaces. sent reports
	// whether value was sent and may still be accepted.
	keyRevision uint64
	value       []byte
	next        *Envelope
	sent        bool
	// rebased is set if the edit was rebased to a newer revision.
	rebased bool
}

// Apply checks the edit's text and replaces the text of the edit's base by it. It
// returns the error of Check, a *ConflictError if other edits were accepted first, an
// almondstep.ErrUnavailable if the platform didn't answer and nothing was written, and
// ErrOutcomeUnknown if a write was sent and no attempt showed whether it was accepted.
//
// A write whose answer was lost is resent only with the same value and the same
// base revision, so that it can't be accepted twice, however late the first
// write arrives.
func (a *Applier) Apply(ctx context.Context, edit Edit) (*Result, error) {
	if err := a.Check(edit.Text); err != nil {
		return nil, err
	}
	w := &write{edit: edit, id: a.NewID()}
	var result *Result
	err := a.retry(ctx, func() (done bool, err error) {
		result, err = a.attempt(ctx, w)
		return result != nil || err != nil && !errors.Is(err, almondstep.ErrUnavailable), err
	})
	switch {
	case result != nil:
		return result, nil
	case w.sent && (err == nil || errors.Is(err, almondstep.ErrUnavailable)):
		return nil, errors.Wrapf(ErrOutcomeUnknown, "write id %s", w.id)
	case err == nil:
		return nil, errors.Wrap(almondstep.ErrConflict, "each attempt conflicted with another edit")
	default:
		return nil, err
	}
}

// attempt reads the platform's value and, unless the edit was already accepted
// or is rejected, writes the next value. If it returns neither a result nor an
// error, the value has to be read again.
func (a *Applier) attempt(ctx context.Context, w *write) (*Result, error) {
	err := a.fetch(ctx, &w.stored)
	if w.edit.ReplaceCorrupt && errors.Is(err, almondstep.ErrCorrupt) {
		w.stored.envelope, err = &Envelope{Revision: w.edit.Base}, nil
	}
	if err != nil {
		return nil, err
	}
	if w.sent {
		if result, err := w.readBack(); result != nil || err != nil {
			return result, err
		}
	}
	if !w.sent {
		result, err := a.prepare(w)
		if result != nil || err != nil {
			return result, err
		}
	}
	w.sent = true
	_, err = a.Platform.CompareAndSwap(ctx, Key, w.keyRevision, w.value)
	switch {
	case err == nil:
		return w.newResult(w.next.History[0], nil), nil
	case errors.Is(err, almondstep.ErrConflict):
		return nil, nil
	default:
		return nil, err
	}
}

// readBack searches the whole history for a write that was sent, since later edits
// may have followed it. If another write replaced its base, it can't be accepted any
// more and counts as not sent.
func (w *write) readBack() (*Result, error) {
	if edit, ok := w.stored.envelope.Find(w.id); ok {
		later, _ := w.stored.envelope.Since(edit.Revision)
		return w.newResult(edit, later), nil
	}
	if w.stored.keyRevision == w.keyRevision {
		return nil, nil
	}
	if _, complete := w.stored.envelope.Since(w.next.Revision - 1); !complete {
		return nil, errors.Wrapf(ErrOutcomeUnknown, "write id %s: the history no longer reaches back to it", w.id)
	}
	w.sent = false
	return nil, nil
}

// newResult describes the write as accepted by edit.
func (w *write) newResult(edit AcceptedEdit, later []AcceptedEdit) *Result {
	return &Result{
		Revision: edit.Revision,
		Hash:     edit.Hash,
		WriteID:  w.id,
		Entries:  edit.Entries,
		Rebased:  w.rebased,
		Later:    later,
	}
}

// prepare encodes the value that replaces the stored one. It returns a result only if
// the edit changes nothing.
func (a *Applier) prepare(w *write) (*Result, error) {
	e := w.stored.envelope
	text, err := a.newText(w)
	if err != nil {
		return nil, err
	}
	if bytes.Equal(text, []byte(e.Text)) && w.edit.AboveRevision <= e.Revision && e.Revision > 0 {
		return &Result{Revision: e.Revision, Hash: e.Hash, Unchanged: true}, nil
	}
	entries, err := changedEntries([]byte(e.Text), text)
	if err != nil {
		return nil, err
	}
	w.next = e.next(text, AcceptedEdit{
		WriteID:  w.id,
		Revision: max(e.Revision, w.edit.AboveRevision) + 1,
		Who:      a.Who,
		When:     a.Now().UTC(),
		Reason:   w.edit.Reason,
		Entries:  entries,
	})
	w.value, err = w.next.Encode()
	w.keyRevision = w.stored.keyRevision
	return nil, err
}

// newText returns the text that replaces the stored one: the edit's own text if it
// was made from the stored revision, else the edit rebased to that revision.
func (a *Applier) newText(w *write) ([]byte, error) {
	e := w.stored.envelope
	if e.Revision == w.edit.Base {
		return w.edit.Text, nil
	}
	edits, _ := e.Since(w.edit.Base)
	conflict := &ConflictError{Base: w.edit.Base, Current: e.Revision, Edits: edits}
	if !w.edit.Rebase {
		if bytes.Equal(w.edit.Text, []byte(e.Text)) {
			return w.edit.Text, nil
		}
		return nil, conflict
	}
	base, err := e.TextAt(w.edit.Base)
	if errors.Is(err, almondstep.ErrNotFound) {
		return nil, conflict
	}
	if err != nil {
		return nil, errors.Wrap(err, "can't rebase the edit")
	}
	merged, overlap, err := patcher.Rebase(base, w.edit.Text, []byte(e.Text))
	if err != nil {
		return nil, err
	}
	if len(overlap) > 0 {
		conflict.Overlap = overlap
		return nil, conflict
	}
	w.rebased = true
	return merged, a.Check(merged)
}
