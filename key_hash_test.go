package almondstep_test

import (
	"fmt"
	"testing"

	"almondstep"
)

func ExampleShardOfKey() {
	s := almondstep.ShardOfKey("intake-desk", "lot-0001", 40)
	fmt.Println(s)
	// Output: intake-desk/9/40
}

// KeyHash gives the published check value of CRC-32C.
func TestKeyHashIsCRC32C(t *testing.T) {
	if got, want := almondstep.KeyHash("123456789"), uint32(0xe3069283); got != want {
		t.Errorf("KeyHash = %08x, want %08x", got, want)
	}
}

// Every key's hash lies in the range of the shard that the key is assigned to.
func TestShardOfKeyIsInRange(t *testing.T) {
	for _, shardCount := range []uint32{1, 3, 7, 40, 1_200, 4_099} {
		for i := range 20_000 {
			key := fmt.Sprintf("lot-%d", i)
			s := almondstep.ShardOfKey("s", key, shardCount)
			from, to := s.Range()
			hash := uint64(almondstep.KeyHash(key))
			if hash < from || hash >= to || s.Index() >= shardCount {
				t.Fatalf("hash %d of %q is not in shard %v, %d to %d", hash, key, s, from, to)
			}
		}
	}
}
