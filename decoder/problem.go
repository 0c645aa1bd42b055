package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Problem is one thing that is wrong in a text, where, and what to do.
type Problem struct {
	line   int
	column int
	reason string
	remedy string
}

// NewProblem gives a problem at a place; lines and columns count from 1.
func NewProblem(line, column int, reason, remedy string) Problem {
	return Problem{line: line, column: column, reason: reason, remedy: remedy}
}

// Line counts from 1.
func (p Problem) Line() int { return p.line }

// Column counts characters from 1.
func (p Problem) Column() int { return p.column }

// Reason says what is wrong.
func (p Problem) Reason() string { return p.reason }

// Remedy says what to do.
func (p Problem) Remedy() string { return p.remedy }

// String writes the problem as line:column: reason: remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", p.line, p.column, p.reason, p.remedy)
}

// InvalidError lists all problems of a text in the order of their places. It
// is an almondstep.ErrInvalid.
type InvalidError struct {
	file     string
	problems []Problem
}

// NewInvalidError sorts the problems by place. File may be empty.
func NewInvalidError(file string, problems []Problem) *InvalidError {
	sorted := slices.Clone(problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
	return &InvalidError{file: file, problems: sorted}
}

// Problems lists all problems. The caller must not change it.
func (e *InvalidError) Problems() []Problem { return e.problems }

// Error writes one line a problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		line := p.String()
		if e.file != "" {
			line = e.file + ":" + line
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// Is says that the error is an almondstep.ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == almondstep.ErrInvalid }

// WithFile puts a file's name before each problem of err.
func WithFile(err error, file string) error {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	return NewInvalidError(file, invalid.problems)
}
