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
	// defaultAttempts is the number of attempts before an operation fails.
	defaultAttempts = 10
	// defaultRetryDelay is the delay between two attempts.
	defaultRetryDelay = 300 * time.Millisecond
)

// Applier writes edits to the platform. Its fields are set before its first use.
type Applier struct {
	Platform almondstep.Platform
	// Check returns an error if a text is invalid.
	Check func(text []byte) error
	// Who is the author recorded with the edits.
	Who string
	// Now is the clock for the edits' timestamps.
	Now func() time.Time
	// NewID generates a unique write id.
	NewID func() string
	// Attempts bounds the number of attempts per operation; 0 means 10.
	Attempts int
	// Sleep waits between two attempts; nil waits 300 ms.
	Sleep func(ctx context.Context) error
}

// Edit is a change requested by an operator.
type Edit struct {
	// Text is the whole new text.
	Text []byte
	// Base is the revision the new text was made from; 0 if there was none.
	Base almondstep.Revision
	// Reason is recorded in the history.
	Reason string
	// Rebase applies the edit to the newest revision if the entries that changed
	// since Base are different ones.
	Rebase bool
	// AboveRevision is a lower bound: the new revision is higher than it and than the
	// stored one. It is used when the platform was restored with older data than the
	// daemons hold.
	AboveRevision almondstep.Revision
	// ReplaceCorrupt allows replacing a platform value that can't be decoded. Base is
	// then the highest revision that daemons hold.
	ReplaceCorrupt bool
}

// Result describes an accepted edit.
type Result struct {
	Revision almondstep.Revision
	Hash     almondstep.Hash
	WriteID  string
	// Entries lists the addresses of the entries that changed.
	Entries []string
	// Unchanged reports that the text was already in force and nothing was written.
	Unchanged bool
	// Rebased reports that the edit was rebased to a newer revision than its base.
	Rebased bool
	// Later lists the edits that were accepted after this one, newest first. It is set
	// only if the result comes from reading back, after a write's answer was lost.
	Later []AcceptedEdit
}

// ConflictError reports that other edits were accepted first. It is an
// almondstep.ErrConflict.
type ConflictError struct {
	Base    almondstep.Revision
	Current almondstep.Revision
	// Edits lists the edits accepted since Base, newest first.
	Edits []AcceptedEdit
	// Overlap lists the entries that both the edit and the accepted edits changed;
	// empty without Rebase.
	Overlap []string
}

// Error names the conflicting revisions; Edits and Overlap have the details.
func (e *ConflictError) Error() string {
	if len(e.Overlap) > 0 {
		return fmt.Sprintf("revision %d changed the same entries since revision %d: %v", e.Current, e.Base, e.Overlap)
	}
	return fmt.Sprintf("the edit was made from revision %d, but revision %d is in force", e.Base, e.Current)
}

// Is reports whether target is almondstep.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == almondstep.ErrConflict }

// ErrOutcomeUnknown means that a write was sent and its answer was lost, and that
// reading the value back didn't show whether it was accepted: the edit may be in
// force or still come into force.
var ErrOutcomeUnknown = errors.New("the platform doesn't answer; the edit may have been accepted")

// Read fetches the envelope. It retries on almondstep.ErrUnavailable.
func (a *Applier) Read(ctx context.Context) (*Envelope, error) {
	v := &storedValue{}
	err := a.retry(ctx, func() (done bool, err error) {
		err = a.fetch(ctx, v)
		return err == nil || !errors.Is(err, almondstep.ErrUnavailable), err
	})
	return v.envelope, err
}

// storedValue is the platform's value as it was last read.
type storedValue struct {
	envelope    *Envelope
	keyRevision uint64
}

func (a *Applier) fetch(ctx context.Context, v *storedValue) error {
	entry, err := a.Platform.Get(ctx, Key)
	if err != nil {
		return err
	}
	v.keyRevision = entry.Revision
	v.envelope, err = DecodeEnvelope(entry.Value)
	return err
}

// retry calls f until it is done or the attempts are used up, with a delay
// between the calls.
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
		if stop := a.waitBeforeRetry(ctx); stop != nil {
			return errors.CombineErrors(err, stop)
		}
	}
}

func (a *Applier) waitBeforeRetry(ctx context.Context) error {
	if a.Sleep != nil {
		return a.Sleep(ctx)
	}
	timer := time.NewTimer(defaultRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Rollback applies the text of a former revision again as a new, higher
// revision. It overrides all edits accepted since.
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
	// maxEntries is the number of changed entries that the history lists per edit.
	maxEntries = 50
	// maxAddressBytes bounds the length of each listed address.
	maxAddressBytes = 160
)

// changedEntries lists the addresses of the entries that differ, within the limits
// of the history.
func changedEntries(before, after []byte) ([]string, error) {
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
