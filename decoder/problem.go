package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Problem is one error in a text with its position and a remedy.
type Problem struct {
	line   int
	column int
	reason string
	remedy string
}

// NewProblem returns a problem at a position; lines and columns count from 1.
func NewProblem(line, column int, reason, remedy string) Problem {
	return Problem{line: line, column: column, reason: reason, remedy: remedy}
}

// Line returns the line, counted from 1.
func (p Problem) Line() int { return p.line }

// Column returns the column in characters, counted from 1.
func (p Problem) Column() int { return p.column }

// Reason returns what is wrong.
func (p Problem) Reason() string { return p.reason }

// Remedy returns how to correct it.
func (p Problem) Remedy() string { return p.remedy }

// String formats the problem as line:column: reason: remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", p.line, p.column, p.reason, p.remedy)
}

// InvalidError lists all problems of a text in the order of their positions. It
// is an almondstep.ErrInvalid.
type InvalidError struct {
	file     string
	problems []Problem
}

// NewInvalidError sorts the problems by position. file may be empty.
func NewInvalidError(file string, problems []Problem) *InvalidError {
	sorted := slices.Clone(problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
	return &InvalidError{file: file, problems: sorted}
}

// Problems lists all problems. The caller must not change it.
func (e *InvalidError) Problems() []Problem { return e.problems }

// Error formats one problem per line.
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

// Is reports whether target is almondstep.ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == almondstep.ErrInvalid }

// WithFile returns err with a file's name before each problem. An err that is not an
// *InvalidError is returned as it is.
func WithFile(err error, file string) error {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	return NewInvalidError(file, invalid.problems)
}
