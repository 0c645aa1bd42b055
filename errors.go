package almondstep

import "github.com/cockroachdb/errors"

// Sentinel errors. Callers test for them with errors.Is.
var (
	// ErrConflict means that a compare-and-swap found a revision other than its base,
	// or that another holder has the lease.
	ErrConflict = errors.New("another write came first")
	// ErrUnavailable means that the remote side didn't answer; whether it carried out
	// the request is unknown.
	ErrUnavailable = errors.New("no answer")
	// ErrNotRun means that the request has certainly not run.
	ErrNotRun = errors.New("not run")
	// ErrRefused means that the remote side answered with a refusal.
	ErrRefused = errors.New("refused")
	// ErrNotFound means that the name or key doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrAmbiguousName means that a name without a scheme refers to several services.
	ErrAmbiguousName = errors.New("name is used in more than one scheme")
	// ErrInvalid means that an input is malformed; the message describes where.
	ErrInvalid = errors.New("invalid input")
	// ErrStale means that a value or revision is older than what the receiver holds,
	// or that the receiver no longer has the changes since that revision.
	ErrStale = errors.New("older than what is held")
	// ErrCorrupt means that the hash of a value doesn't match its content.
	ErrCorrupt = errors.New("hash mismatch")
	// ErrClosed means that the receiver has stopped.
	ErrClosed = errors.New("closed")
)
