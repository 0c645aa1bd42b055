package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"almondstep"
	"almondstep/ranker"
)

func ExampleRanker_Order() {
	r := ranker.New([]almondstep.DaemonID{"a", "b", "c"})
	fmt.Println(r.Order("10.0.0.9:80"))
	// Output: [b a c]
}

func ids(n int) []almondstep.DaemonID {
	ids := make([]almondstep.DaemonID, n)
	for i := range ids {
		ids[i] = almondstep.DaemonID(fmt.Sprintf("daemon-%d", i))
	}
	return ids
}

// When a daemon leaves, only its own keys move, each to the next daemon in its order.
func TestOnlyTheLostDaemonsKeysMove(t *testing.T) {
	const lost, keys = "daemon-3", 5000
	all := ids(9)
	r := ranker.New(all)
	rest := ranker.New(slices.DeleteFunc(slices.Clone(all), func(id almondstep.DaemonID) bool { return id == lost }))
	for k := range keys {
		key := fmt.Sprintf("10.0.%d.%d:80", k/256, k%256)
		want := r.Order(key)[0]
		if want == lost {
			want = r.Order(key)[1]
		}
		got := rest.Order(key)[0]
		if got != want {
			t.Fatalf("owner of %s = %s, want %s", key, got, want)
		}
	}
}

// No daemon gets more than 1.5 times the average number of keys.
func TestSharesAreEven(t *testing.T) {
	const n, keys = 122, 122 * 200
	r := ranker.New(ids(n))
	count := make(map[almondstep.DaemonID]int)
	for k := range keys {
		count[r.First(fmt.Sprint(k), func(almondstep.DaemonID) bool { return true })]++
	}
	for id, got := range count {
		if want := keys / n * 3 / 2; got > want {
			t.Errorf("%s owns %d keys, want at most %d", id, got, want)
		}
	}
}

func TestFirstAgreesWithOrder(t *testing.T) {
	r := ranker.New(ids(20))
	for k := range 200 {
		key := fmt.Sprint(k)
		order := r.Order(key)
		accept := func(id almondstep.DaemonID) bool { return id != order[0] && id != order[1] }
		if got, want := r.First(key, accept), order[2]; got != want {
			t.Fatalf("First(%s) = %s, want %s", key, got, want)
		}
	}
}

func BenchmarkFirst122(b *testing.B) {
	r := ranker.New(ids(122))
	accept := func(almondstep.DaemonID) bool { return true }
	for b.Loop() {
		r.First("10.0.0.9:80", accept)
	}
}

// The place of a daemon is its index in the order, in whatever order the daemons are given.
func TestPlaceIsIndexInOrder(t *testing.T) {
	all := ids(30)
	for _, key := range []string{"i-1", "i-2", ""} {
		for want, id := range ranker.New(all).Order(key) {
			if got := ranker.Place(key, id, slices.Values(all)); got != want {
				t.Errorf("key %q, daemon %s: got place %d, want %d", key, id, got, want)
			}
		}
	}
}
