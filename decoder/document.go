package decoder

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxBytes bounds the length of a text; the platform stores values of up to a
// megabyte.
const MaxBytes = 1 << 20

// maxDepth bounds nesting, so that a malicious text can't exhaust the stack.
const maxDepth = 32

// Document is a parsed text with the positions of its values.
type Document struct {
	body     []byte
	root     hujson.Value
	problems []pendingProblem
}

// pendingProblem is a problem whose offset hasn't been converted to line and
// column yet.
type pendingProblem struct {
	offset int
	reason string
	remedy string
}

// Parse parses a text and checks its length, nesting and syntax, but not the types of
// its values. The error is an *InvalidError.
func Parse(body []byte) (*Document, error) {
	d := &Document{body: body}
	if len(body) > MaxBytes {
		d.AddProblem(0, fmt.Sprintf("the text has %d bytes", len(body)),
			fmt.Sprintf("shorten it to at most %d bytes", MaxBytes))
		return nil, d.Err("")
	}
	if at, deep := tooDeep(body); deep {
		d.AddProblem(at, fmt.Sprintf("nested deeper than %d levels", maxDepth), "reduce the nesting")
		return nil, d.Err("")
	}
	root, err := hujson.Parse(body)
	if err != nil {
		return nil, NewInvalidError("", []Problem{syntaxProblem(err)})
	}
	d.root = root
	return d, nil
}

// syntaxProblem converts an error of hujson, whose position is only in its message.
func syntaxProblem(err error) Problem {
	message := err.Error()
	line, column := 1, 1
	if n, _ := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		_, message, _ = strings.Cut(message, ": ")
	}
	return NewProblem(line, column, message, "correct the syntax; it is JSON with comments and trailing commas")
}

// Root returns the outermost value.
func (d *Document) Root() Node { return Node{doc: d, value: &d.root} }

// AddProblem records a problem at a byte offset.
func (d *Document) AddProblem(offset int, reason, remedy string) {
	offset = min(max(offset, 0), len(d.body))
	d.problems = append(d.problems, pendingProblem{offset: offset, reason: reason, remedy: remedy})
}

// Err returns an *InvalidError if there are problems, else nil. It scans the text
// once, however many problems there are. file may be empty.
func (d *Document) Err(file string) error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b pendingProblem) int { return a.offset - b.offset })
	problems := make([]Problem, 0, len(d.problems))
	line, column, at := 1, 1, 0
	for _, p := range d.problems {
		line, column = advance(d.body[at:p.offset], line, column)
		at = p.offset
		problems = append(problems, NewProblem(line, column, p.reason, p.remedy))
	}
	return NewInvalidError(file, problems)
}

// advance returns the position after text that starts at line and column.
func advance(text []byte, line, column int) (newLine, newColumn int) {
	last := bytes.LastIndexByte(text, '\n')
	if last < 0 {
		return line, column + utf8.RuneCount(text)
	}
	return line + bytes.Count(text, []byte("\n")), 1 + utf8.RuneCount(text[last+1:])
}

// tooDeep returns the offset at which the nesting exceeds maxDepth, if it does.
func tooDeep(body []byte) (int, bool) {
	depth := 0
	for i, c := range StructuralBytes(body) {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}
