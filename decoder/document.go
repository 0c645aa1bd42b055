package decoder

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxBytes bounds a text; the platform keeps values up to a megabyte.
const MaxBytes = 1 << 20

// maxDepth bounds nesting, so that a hostile text can't exhaust the stack.
const maxDepth = 32

// Document is a parsed text that remembers where its values stand.
type Document struct {
	body  []byte
	root  hujson.Value
	found []finding
}

// finding is a problem before its place is known as line and column.
type finding struct {
	offset int
	reason string
	remedy string
}

// Parse reads the syntax only. The error is an *InvalidError.
func Parse(body []byte) (*Document, error) {
	d := &Document{body: body}
	if len(body) > MaxBytes {
		d.Add(0, fmt.Sprintf("the text has %d bytes", len(body)),
			fmt.Sprintf("shorten it to at most %d bytes", MaxBytes))
		return nil, d.Err("")
	}
	if at, deep := tooDeep(body); deep {
		d.Add(at, fmt.Sprintf("nested deeper than %d levels", maxDepth), "write it flatter")
		return nil, d.Err("")
	}
	root, err := hujson.Parse(body)
	if err != nil {
		return nil, NewInvalidError("", []Problem{syntaxProblem(err)})
	}
	d.root = root
	return d, nil
}

// syntaxProblem takes the place out of the library's message.
func syntaxProblem(err error) Problem {
	message := err.Error()
	line, column := 1, 1
	if n, _ := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		_, message, _ = strings.Cut(message, ": ")
	}
	return NewProblem(line, column, message, "correct the syntax; it is JSON with comments and trailing commas")
}

// Root is the outermost value.
func (d *Document) Root() Node { return Node{doc: d, value: &d.root} }

// Add notes a problem at a byte offset.
func (d *Document) Add(offset int, reason, remedy string) {
	offset = min(max(offset, 0), len(d.body))
	d.found = append(d.found, finding{offset: offset, reason: reason, remedy: remedy})
}

// Err gives an *InvalidError if there are problems. It walks the text once,
// however many problems there are.
func (d *Document) Err(file string) error {
	if len(d.found) == 0 {
		return nil
	}
	slices.SortStableFunc(d.found, func(a, b finding) int { return a.offset - b.offset })
	problems := make([]Problem, 0, len(d.found))
	line, column, at := 1, 1, 0
	for _, f := range d.found {
		line, column = advance(d.body[at:f.offset], line, column)
		at = f.offset
		problems = append(problems, NewProblem(line, column, f.reason, f.remedy))
	}
	return NewInvalidError(file, problems)
}

// advance moves a place over text.
func advance(text []byte, line, column int) (newLine, newColumn int) {
	last := bytes.LastIndexByte(text, '\n')
	if last < 0 {
		return line, column + utf8.RuneCount(text)
	}
	return line + bytes.Count(text, []byte("\n")), 1 + utf8.RuneCount(text[last+1:])
}

// tooDeep counts open brackets.
func tooDeep(body []byte) (int, bool) {
	depth := 0
	for i, c := range Structure(body) {
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
