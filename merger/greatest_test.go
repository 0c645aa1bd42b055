package merger_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"almondstep/merger"
)

func ExampleGreatest() {
	fmt.Printf("%s\n", merger.Greatest(2, []byte("aaaaaaaaaaaaaaaacccccccccccccccc"), []byte("bbbbbbbbbbbbbbbbrest")))
	// Output: ccccccccccccccccbbbbbbbbbbbbbbbb
}

// The result is the same as that of sorting all complete records byte by byte, with
// equal ones kept.
func TestGreatestAgreesWithSorting(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 300 {
		var parts [][]byte
		var all [][]byte
		for range rng.Intn(5) {
			part := make([]byte, rng.Intn(100))
			for i := range part {
				part[i] = byte(rng.Intn(2)) * 255
			}
			parts = append(parts, part)
			for ; len(part) >= merger.RecordBytes; part = part[merger.RecordBytes:] {
				all = append(all, part[:merger.RecordBytes])
			}
		}
		limit := rng.Intn(8)
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := merger.Greatest(limit, parts...); !bytes.Equal(got, want) {
			t.Fatalf("limit %d of %x: got %x, want %x", limit, parts, got, want)
		}
	}
}
