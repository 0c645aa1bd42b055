package applier

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/patcher"
)

// write is one edit on its way to the platform.
type write struct {
	edit Edit
	id   string
	// held is what was last read.
	held held
	// key is the key's revision that the sent value replaces, and value is what
	// was sent; sent says whether anything was.
	key   uint64
	value []byte
	next  *Envelope
	sent  bool
	// rebased says that the edit was carried over to a newer base.
	rebased bool
}

// Apply puts an edit in the place of its base. It returns a *ConflictError if
// other edits came first, an almondstep.ErrUnavailable if the platform didn't
// answer and nothing was written, and ErrOutcomeUnknown if a write was sent and
// neither it nor reading back was answered.
//
// A write whose answer was lost is sent again only with the same value over the
// same base, so that it can't be accepted twice, however late the first arrives.
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
		return nil, errors.Wrap(almondstep.ErrConflict, "other edits keep coming first")
	default:
		return nil, err
	}
}

// attempt reads the platform's value and, unless the edit turns out to be
// accepted or refused, writes the next one. Without a result or an error the
// value has to be read again.
func (a *Applier) attempt(ctx context.Context, w *write) (*Result, error) {
	err := a.fetch(ctx, &w.held)
	if w.edit.Damaged && errors.Is(err, almondstep.ErrCorrupt) {
		w.held.envelope, err = &Envelope{Revision: w.edit.Base}, nil
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
	_, err = a.Platform.CompareAndSwap(ctx, Key, w.key, w.value)
	switch {
	case err == nil:
		return w.accepted(w.next.History[0], nil), nil
	case errors.Is(err, almondstep.ErrConflict):
		return nil, nil
	default:
		return nil, err
	}
}

// readBack looks for a write that was sent, also under later edits. If another
// write replaced its base, it can't be accepted any more and counts as not sent.
func (w *write) readBack() (*Result, error) {
	if edit, ok := w.held.envelope.Find(w.id); ok {
		later, _ := w.held.envelope.Since(edit.Revision)
		return w.accepted(edit, later), nil
	}
	if w.held.key == w.key {
		return nil, nil
	}
	if _, whole := w.held.envelope.Since(w.next.Revision - 1); !whole {
		return nil, errors.Wrapf(ErrOutcomeUnknown, "write id %s; too many later edits to see it", w.id)
	}
	w.sent = false
	return nil, nil
}

func (w *write) accepted(edit AcceptedEdit, later []AcceptedEdit) *Result {
	return &Result{
		Revision: edit.Revision,
		Hash:     edit.Hash,
		WriteID:  w.id,
		Entries:  edit.Entries,
		Rebased:  w.rebased,
		Later:    later,
	}
}

// prepare makes the value to write over the one held.
func (a *Applier) prepare(w *write) (*Result, error) {
	e := w.held.envelope
	text, err := a.textOver(w)
	if err != nil {
		return nil, err
	}
	if bytes.Equal(text, []byte(e.Text)) && w.edit.Above <= e.Revision && e.Revision > 0 {
		return &Result{Revision: e.Revision, Hash: e.Hash, Unchanged: true}, nil
	}
	entries, err := entriesChanged([]byte(e.Text), text)
	if err != nil {
		return nil, err
	}
	w.next = e.next(text, AcceptedEdit{
		WriteID:  w.id,
		Revision: max(e.Revision, w.edit.Above) + 1,
		Who:      a.Who,
		When:     a.Now().UTC(),
		Reason:   w.edit.Reason,
		Entries:  entries,
	})
	w.value, err = w.next.Encode()
	w.key = w.held.key
	return nil, err
}

// textOver gives the text to write over the envelope held: the edit's own if
// it was made from that revision, else the edit carried over to it.
func (a *Applier) textOver(w *write) ([]byte, error) {
	e := w.held.envelope
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
		return nil, errors.Wrap(err, "can't carry the edit over")
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
