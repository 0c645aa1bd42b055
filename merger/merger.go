package merger

import (
	"cmp"
	"slices"

	"almondstep"
)

// Records keeps the first records in key order. Records with equal keys are
// ordered by their bodies, so that the result doesn't depend on the order of
// arrival. The zero value keeps nothing until Reset sets a limit.
type Records struct {
	limit int
	kept  []almondstep.Record
	// spare is the buffer for the result of the next merge.
	spare []almondstep.Record
}

// Reset discards all records and sets the limit.
func (m *Records) Reset(limit int) {
	m.limit = max(0, limit)
	clear(m.kept)
	clear(m.spare)
	m.kept = m.kept[:0]
	m.spare = m.spare[:0]
}

// Add merges records. They are expected to be in key order; if they aren't, a
// sorted copy is used.
func (m *Records) Add(records []almondstep.Record) {
	if !slices.IsSortedFunc(records, Compare) {
		records = slices.Clone(records)
		slices.SortFunc(records, Compare)
	}
	if len(records) > m.limit {
		records = records[:m.limit]
	}
	if len(records) == 0 {
		return
	}
	if m.appendIfLast(records) {
		return
	}
	m.interleave(records)
}

// appendIfLast handles the cheap case that no record sorts before the last kept one: it
// appends as many as the limit allows. It reports whether this was the case.
func (m *Records) appendIfLast(records []almondstep.Record) bool {
	if len(m.kept) > 0 && Compare(records[0], m.kept[len(m.kept)-1]) < 0 {
		return false
	}
	room := m.limit - len(m.kept)
	m.kept = append(m.kept, records[:min(room, len(records))]...)
	return true
}

// interleave merges records that sort among the kept ones, up to the limit.
func (m *Records) interleave(records []almondstep.Record) {
	merged := m.spare[:0]
	i, j := 0, 0
	for len(merged) < m.limit && (i < len(m.kept) || j < len(records)) {
		if j == len(records) || (i < len(m.kept) && Compare(m.kept[i], records[j]) <= 0) {
			merged = append(merged, m.kept[i])
			i++
			continue
		}
		merged = append(merged, records[j])
		j++
	}
	m.spare = m.kept
	m.kept = merged
}

// Kept returns a copy of the kept records, in key order.
func (m *Records) Kept() []almondstep.Record {
	return append(make([]almondstep.Record, 0, len(m.kept)), m.kept...)
}

// Compare orders records by key, then by body.
func Compare(a, b almondstep.Record) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Body, b.Body))
}
