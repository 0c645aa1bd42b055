package applier

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/patcher"
)

const (
	// defaultAttempts is how often the platform is asked before an edit is given up.
	defaultAttempts = 10
	// defaultPause is the time between two attempts.
	defaultPause = 300 * time.Millisecond
)

// Applier puts edits in force. Its fields are set before its first use.
type Applier struct {
	Platform almondstep.Platform
	// Check says whether a text is sound.
	Check func(text []byte) error
	// Who makes the edits.
	Who string
	// Now is the clock that edits are dated by.
	Now func() time.Time
	// NewID draws a write id that no other edit has.
	NewID func() string
	// Attempts bounds how often the platform is asked; 0 means 10.
	Attempts int
	// Pause waits between two attempts; nil waits 300 ms.
	Pause func(ctx context.Context) error
}

// Edit is a change an operator asks for.
type Edit struct {
	// Text is the whole new text.
	Text []byte
	// Base is the revision the new text was made from; 0 if there was none.
	Base almondstep.Revision
	// Reason is why, for the history.
	Reason string
	// Rebase carries the edit over to the newest revision if the entries that
	// changed since Base are others.
	Rebase bool
	// Above makes the revision higher than this one as well. It is for a platform
	// that came back with older data than the daemons hold.
	Above almondstep.Revision
	// Damaged replaces a value at the platform that can't be read. Base is then
	// the highest revision that daemons hold.
	Damaged bool
}

// Result says how an edit was accepted.
type Result struct {
	Revision almondstep.Revision
	Hash     almondstep.Hash
	WriteID  string
	// Entries lists the addresses of the entries that changed.
	Entries []string
	// Unchanged says that the text was in force already and nothing was written.
	Unchanged bool
	// Rebased says that the edit was carried over to a newer base.
	Rebased bool
	// Later lists edits that were accepted after it, newest first.
	Later []AcceptedEdit
}

// ConflictError says that other edits came first. It is an almondstep.ErrConflict.
type ConflictError struct {
	Base    almondstep.Revision
	Current almondstep.Revision
	// Edits lists what was accepted since Base, newest first.
	Edits []AcceptedEdit
	// Overlap lists the entries that both sides changed; empty without Rebase.
	Overlap []string
}

// Error says which revisions clash; Edits and Overlap have the rest.
func (e *ConflictError) Error() string {
	if len(e.Overlap) > 0 {
		return fmt.Sprintf("revision %d changed the same entries since revision %d: %v", e.Current, e.Base, e.Overlap)
	}
	return fmt.Sprintf("the edit was made from revision %d, but revision %d is in force", e.Base, e.Current)
}

// Is says that the error is an almondstep.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == almondstep.ErrConflict }

// ErrOutcomeUnknown says that a write was sent and no answer came, neither to it
// nor to reading back: the edit may come into force.
var ErrOutcomeUnknown = errors.New("the platform doesn't answer; the edit may have been accepted")

// Read gets the envelope. An almondstep.ErrUnavailable is tried again.
func (a *Applier) Read(ctx context.Context) (*Envelope, error) {
	h := &held{}
	err := a.retry(ctx, func() (done bool, err error) {
		err = a.fetch(ctx, h)
		return err == nil || !errors.Is(err, almondstep.ErrUnavailable), err
	})
	return h.envelope, err
}

// held is the platform's value as it was last read.
type held struct {
	envelope *Envelope
	key      uint64
}

func (a *Applier) fetch(ctx context.Context, h *held) error {
	entry, err := a.Platform.Get(ctx, Key)
	if err != nil {
		return err
	}
	h.key = entry.Revision
	h.envelope, err = DecodeEnvelope(entry.Value)
	return err
}

// retry calls f until it is done, with a pause after each failure.
func (a *Applier) retry(ctx context.Context, f func() (done bool, err error)) error {
	attempts := a.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	for i := 1; ; i++ {
		done, err := f()
		if done || i >= attempts {
			return err
		}
		if stop := a.pause(ctx); stop != nil {
			return errors.CombineErrors(err, stop)
		}
	}
}

func (a *Applier) pause(ctx context.Context) error {
	if a.Pause != nil {
		return a.Pause(ctx)
	}
	timer := time.NewTimer(defaultPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Rollback puts the text of a former revision in force again, as a new, higher
// revision. It overrides whatever was accepted since.
func (a *Applier) Rollback(ctx context.Context, to almondstep.Revision, reason string) (*Result, error) {
	e, err := a.Read(ctx)
	if err != nil {
		return nil, err
	}
	text, err := e.TextAt(to)
	if err != nil {
		return nil, err
	}
	return a.Apply(ctx, Edit{Text: text, Base: e.Revision, Reason: reason})
}

const (
	// maxEntries is the number of changed entries that the history names.
	maxEntries = 50
	// maxAddressBytes bounds each of their addresses.
	maxAddressBytes = 160
)

// entriesChanged lists the addresses of the entries that differ, so many and so
// long as the history can bear.
func entriesChanged(before, after []byte) ([]string, error) {
	changes, err := patcher.Diff(before, after)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, min(len(changes), maxEntries+1))
	for _, c := range changes[:min(len(changes), maxEntries)] {
		address := c.Address()
		if len(address) > maxAddressBytes {
			address = strings.ToValidUTF8(address[:maxAddressBytes], "") + "..."
		}
		addresses = append(addresses, address)
	}
	if more := len(changes) - maxEntries; more > 0 {
		addresses = append(addresses, fmt.Sprintf("and %d more", more))
	}
	return addresses, nil
}
