package almondstep_test

import (
	"fmt"
	"testing"

	"almondstep"
)

func ExampleShard_Range() {
	from, to := almondstep.NewShard("intake-desk", 1, 4).Range()
	fmt.Printf("%08x %08x\n", from, to)
	// Output: 40000000 80000000
}

// The ranges of a partitioning cover the key space without gap or overlap,
// also where the number of shards doesn't divide it.
func TestShardRangesTile(t *testing.T) {
	const shardCount = 7
	next := uint64(0)
	for i := range uint32(shardCount) {
		from, to := almondstep.NewShard("s", i, shardCount).Range()
		if got, want := from, next; got != want {
			t.Errorf("shard %d starts at %d, want %d", i, got, want)
		}
		next = to
	}
	if got, want := next, uint64(1)<<32; got != want {
		t.Errorf("last shard ends at %d, want %d", got, want)
	}
}
