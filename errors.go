package almondstep

import "github.com/cockroachdb/errors"

// Sentinel errors. Callers test for them with errors.Is.
var (
	// ErrConflict says that a compare-and-swap found another base revision.
	ErrConflict = errors.New("another write came first")
	// ErrUnavailable says that the other side didn't answer; whether it acted is unknown.
	ErrUnavailable = errors.New("no answer")
	// ErrNotRun says that the other side refused before it began.
	ErrNotRun = errors.New("not run")
	// ErrRefused says that the other side answered, with a refusal.
	ErrRefused = errors.New("refused")
	// ErrNotFound says that the name or key doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrAmbiguousName says that a name without a scheme means several services.
	ErrAmbiguousName = errors.New("name is used in more than one scheme")
	// ErrInvalid says that an input was malformed; the message says where.
	ErrInvalid = errors.New("invalid input")
	// ErrStale says that a value is older than the one already held.
	ErrStale = errors.New("older than what is held")
	// ErrCorrupt says that a value's hash doesn't match its content.
	ErrCorrupt = errors.New("hash mismatch")
	// ErrClosed says that the receiver has stopped.
	ErrClosed = errors.New("closed")
)
