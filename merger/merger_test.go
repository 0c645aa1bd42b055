package merger_test

import (
	"fmt"
	"slices"
	"testing"

	"almondstep"
	"almondstep/merger"
)

func records(keys ...string) []almondstep.Record {
	var all []almondstep.Record
	for _, k := range keys {
		all = append(all, almondstep.Record{Key: k})
	}
	return all
}

func ExampleRecords() {
	var m merger.Records
	m.Reset(2)
	m.Add(records("b", "d"))
	m.Add(records("a", "c"))
	for _, r := range m.Kept() {
		fmt.Print(r.Key, " ")
	}
	// Output: a b
}

// The first records in key order are kept, whatever the order of arrival and
// however the records are distributed over answers.
func TestResultIsIndependentOfArrivalOrder(t *testing.T) {
	const seed = 1
	state := uint64(seed)
	next := func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % n
	}
	for range 2_000 {
		var all []almondstep.Record
		var parts [][]almondstep.Record
		for range 1 + next(8) {
			var part []almondstep.Record
			for range next(12) {
				r := almondstep.Record{Key: fmt.Sprint(next(40)), Body: fmt.Sprint(next(3))}
				part = append(part, r)
			}
			all = append(all, part...)
			slices.SortFunc(part, merger.Compare)
			parts = append(parts, part)
		}
		limit := next(30)
		slices.SortFunc(all, merger.Compare)
		want := all[:min(limit, len(all))]
		var m merger.Records
		m.Reset(limit)
		for len(parts) > 0 {
			i := next(len(parts))
			m.Add(parts[i])
			parts = slices.Delete(parts, i, i+1)
		}
		if got := m.Kept(); !slices.Equal(got, want) {
			t.Fatalf("limit %d: got %v, want %v", limit, got, want)
		}
	}
}

// An unsorted answer of a faulty peer is sorted, and its slice isn't modified.
func TestUnsortedAnswer(t *testing.T) {
	var m merger.Records
	m.Reset(2)
	in := records("c", "a", "b")
	m.Add(in)
	if got, want := m.Kept(), records("a", "b"); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := in, records("c", "a", "b"); !slices.Equal(got, want) {
		t.Errorf("input is %v now, want %v", got, want)
	}
}
