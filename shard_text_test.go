package almondstep_test

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Decoding an encoded item, as event logs hold it, returns the same item.
func TestItemJSONRoundTrip(t *testing.T) {
	want := almondstep.Item{Shard: almondstep.NewShard("intake-desk", 3, 40), Upstream: "127.0.0.1:9001"}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got almondstep.Item
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("got %v, want %v, from %s", got, want, text)
	}
}

func TestShardRefusesBadText(t *testing.T) {
	for _, text := range []string{"", "a", "a/1", "a/x/2", "a/1/y", "a/1/2/3", "a/-1/2"} {
		var s almondstep.Shard
		if err := s.UnmarshalText([]byte(text)); !errors.Is(err, almondstep.ErrInvalid) {
			t.Errorf("%q: got %v, want ErrInvalid", text, err)
		}
	}
}
