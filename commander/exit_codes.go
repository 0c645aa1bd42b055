package commander

import (
	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
)

// Exit codes of all verbs.
const (
	codeDone = iota
	codeFailed
	codeUsage
	codeUnknown
	codeInvalid
	codeConflict
	codeUnavailable
	codeNotFound
	codeNotRun
	codePartial
)

// exitCode is one row of the table of exit codes that the help prints.
type exitCode struct {
	code int
	help string
	// errs are the errors that map to the code.
	errs []error
}

// exitCodes lists the exit codes for the help and for codeOf.
func exitCodes() []exitCode {
	return []exitCode{
		{code: codeDone, help: "success; an answer is complete"},
		{code: codeFailed, help: "failed for another reason"},
		{code: codeUsage, help: "the arguments are invalid; nothing was done", errs: []error{errUsage}},
		{code: codeUnknown, help: "no answer was received; the request may have taken effect", errs: []error{applier.ErrOutcomeUnknown, errOutcomeUnknown}},
		{code: codeInvalid, help: "a configuration or file is invalid; nothing was done", errs: []error{almondstep.ErrInvalid, almondstep.ErrCorrupt}},
		{code: codeConflict, help: "another edit was accepted first; nothing was done", errs: []error{almondstep.ErrConflict}},
		{code: codeUnavailable, help: "the platform or a daemon doesn't answer", errs: []error{almondstep.ErrUnavailable}},
		{code: codeNotFound, help: "a name or revision doesn't exist or isn't unique", errs: []error{almondstep.ErrNotFound, almondstep.ErrAmbiguousName}},
		{code: codeNotRun, help: "refused; nothing was started", errs: []error{almondstep.ErrNotRun}},
		{code: codePartial, help: "the answer is partial; its coverage says what is missing", errs: []error{errPartial}},
	}
}

// errOutcomeUnknown is returned by a verb whose request may have run.
var errOutcomeUnknown = errors.New("the outcome is unknown")

// errPartial is returned by a verb whose answer is partial.
var errPartial = errors.New("the answer is partial")

// errUsage marks an error in the arguments that go-arg doesn't detect. The usage is
// printed after it.
var errUsage = errors.New("usage")

// usageError returns an errUsage with a formatted message.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// errReported marks an error that the verb has already printed.
var errReported = errors.New("reported")

// reported marks an error as already printed.
func reported(err error) error { return errors.Mark(err, errReported) }

// codeOf returns the exit code of the first row that lists an error matching err.
func codeOf(err error) int {
	if err == nil {
		return codeDone
	}
	for _, c := range exitCodes() {
		for _, target := range c.errs {
			if errors.Is(err, target) {
				return c.code
			}
		}
	}
	return codeFailed
}
