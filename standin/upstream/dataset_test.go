package upstream_test

import (
	"slices"
	"strings"
	"testing"

	"almondstep"
	"almondstep/standin/upstream"
)

// A search over all shards finds the same records under any partitioning.
func TestPartitionings(t *testing.T) {
	d := &upstream.Dataset{Service: "intake-desk", Seed: 3, Records: 1000}
	const version = 5
	want, wantRecords := d.Search(version, "walnut", 1000)
	if want < 50 {
		t.Fatalf("got %d matching records, want at least 50", want)
	}
	for _, of := range []uint32{1, 2, 7, 60} {
		got := 0
		var records []almondstep.Record
		for i := range of {
			n, found := d.Shard(almondstep.NewShard("intake-desk", i, of), version, "walnut", 1000)
			got += n
			records = append(records, found...)
		}
		slices.SortFunc(records, func(a, b almondstep.Record) int { return strings.Compare(a.Key, b.Key) })
		if got != want || !slices.Equal(records, wantRecords) {
			t.Errorf("%d shards: got %d records, want the %d of a search over all", of, got, want)
		}
	}
}

// A new version changes some of the records, not all.
func TestVersions(t *testing.T) {
	d := &upstream.Dataset{Service: "intake-desk", Seed: 3, Records: 1000}
	_, older := d.Search(5, "", 1000)
	_, newer := d.Search(6, "", 1000)
	changed := 0
	for i := range older {
		if older[i] != newer[i] {
			changed++
		}
	}
	if changed == 0 || changed > len(older)/2 {
		t.Errorf("got %d of %d records changed, want 1 to a half of them", changed, len(older))
	}
}

// The limit selects the first records in key order; the total counts all matches.
func TestLimit(t *testing.T) {
	d := &upstream.Dataset{Service: "intake-desk", Seed: 3, Records: 1000}
	total, all := d.Search(5, "walnut", 1000)
	n, first := d.Search(5, "walnut", 3)
	if n != total || !slices.Equal(first, all[:3]) {
		t.Errorf("got %v of %d, want %v of %d", first, n, all[:3], total)
	}
}
