package patcher

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// step is one part of a patch: a run of the old version's spans to copy, or text to
// insert. In JSON it is [from, count] or a string.
type step struct {
	from   int
	count  int
	insert []byte
}

// MarshalJSON writes [from, count] or the text to insert.
func (s step) MarshalJSON() ([]byte, error) {
	if s.count > 0 {
		return json.Marshal([2]int{s.from, s.count})
	}
	return marshalText(s.insert)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (s *step) UnmarshalJSON(body []byte) error {
	if len(body) > 0 && body[0] == '"' {
		var text string
		err := json.Unmarshal(body, &text)
		s.insert = []byte(text)
		return err
	}
	var run [2]int
	err := json.Unmarshal(body, &run)
	s.from, s.count = run[0], run[1]
	return err
}

// marshalText returns the text as a JSON string without escaping <, > and &.
func marshalText(text []byte) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(string(text)); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// Make returns a patch from old to body, or nil if it would be no shorter than body
// itself or body isn't UTF-8.
func Make(old, body []byte) []byte {
	return NewIndex(old).Make(body)
}

// Make returns a patch from the indexed version to body, or nil if it would be no
// shorter than body itself or body isn't UTF-8.
func (x Index) Make(body []byte) []byte {
	if !utf8.Valid(body) {
		return nil
	}
	positions := make(map[uint64]int, len(x.spans))
	for i, f := range x.spans {
		if _, ok := positions[f]; !ok {
			positions[f] = i
		}
	}
	var steps []step
	for _, span := range split(body) {
		steps = x.addSpan(steps, span, positions)
	}
	patch, err := encode(steps)
	if err != nil || len(patch) >= len(body) {
		return nil
	}
	return patch
}

// addSpan appends a span to the steps, extending the last step if possible.
func (x Index) addSpan(steps []step, span []byte, positions map[uint64]int) []step {
	f := fingerprint(span)
	var last *step
	if len(steps) > 0 {
		last = &steps[len(steps)-1]
	}
	if last != nil && last.count > 0 {
		if next := last.from + last.count; next < len(x.spans) && x.spans[next] == f {
			last.count++
			return steps
		}
	}
	if at, ok := positions[f]; ok {
		return append(steps, step{from: at, count: 1})
	}
	if last != nil && last.count == 0 {
		last.insert = append(last.insert, span...)
		return steps
	}
	return append(steps, step{insert: bytes.Clone(span)})
}

// encode returns the patch with the given steps, without escaping <, > and &.
func encode(steps []step) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(steps); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// Apply applies patch to old. The caller must compare the hash of the result with that
// of the new version: a patch of another version results in almondstep.ErrCorrupt or
// in a different text.
func Apply(old, patch []byte) ([]byte, error) {
	var steps []step
	if err := json.Unmarshal(patch, &steps); err != nil {
		return nil, errors.Wrapf(almondstep.ErrCorrupt, "patch: %v", err)
	}
	spans := split(old)
	size, err := sizeOf(spans, steps)
	if err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, s := range steps {
		body = append(body, s.insert...)
		for _, span := range spans[s.from : s.from+s.count] {
			body = append(body, span...)
		}
	}
	return body, nil
}

// maxResultBytes limits the result of a patch, so that a corrupt patch can't exhaust the
// memory.
const maxResultBytes = 64 << 20

// sizeOf checks that every run lies within the old version and returns the length of
// the result.
func sizeOf(spans [][]byte, steps []step) (int, error) {
	size := 0
	for _, s := range steps {
		if s.from < 0 || s.count < 0 || s.from > len(spans) || s.count > len(spans)-s.from {
			return 0, errors.Wrapf(almondstep.ErrCorrupt, "patch copies spans %d+%d of %d", s.from, s.count, len(spans))
		}
		size += len(s.insert)
		for _, span := range spans[s.from : s.from+s.count] {
			size += len(span)
		}
		if size > maxResultBytes {
			return 0, errors.Wrapf(almondstep.ErrCorrupt, "patch results in more than %d bytes", maxResultBytes)
		}
	}
	return size, nil
}
