package almondstep_test

import (
	"testing"

	"almondstep"
)

// The sequence is that of splitmix64 from seed 0. A different sequence would change
// the replay of recorded sessions.
func TestRandomIsSplitmix64(t *testing.T) {
	r := almondstep.NewRandom(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		if got := r.Next(); got != want {
			t.Errorf("number %d: got %x, want %x", i, got, want)
		}
	}
	if got, want := almondstep.HashUint64(0), uint64(0xe220a8397b1dcdaf); got != want {
		t.Errorf("got %x, want %x", got, want)
	}
}
