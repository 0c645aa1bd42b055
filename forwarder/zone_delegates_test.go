package forwarder_test

import (
	"testing"
	"time"

	"almondstep"
)

// A daemon whose zone's only gatherer fails, or falls silent, would otherwise lose its requests over
// shards although the region's other zones have gatherers.
func TestOtherZonesGathererReplacesFailedOne(t *testing.T) {
	for _, silent := range []bool{false, true} {
		full := directory(t, delegatedShards, nil)
		w := newHarness(t, testConfig(), almondstep.NewDirectory(almondstep.DirectorySpec{
			Routes: full.Routes(), Upstreams: full.AllUpstreams(), Daemons: 9, Gatherers: 2,
			Delegates: []almondstep.Delegate{{ID: "near", Zone: "a", Cores: 0.4}, {ID: "other", Zone: "b", Cores: 0.8}},
		}))
		w.reduce(&almondstep.ViewChanged{})
		if counts := w.playDelegates(1, 20, nil); counts["near"] != 20 {
			t.Fatalf("got %v, want all requests at the gatherer of the zone", counts)
		}
		lost, id := 0, almondstep.QueryID(21)
		for range 200 {
			w.request(id, "/search/x")
			switch g := w.gathers[len(w.gathers)-1]; {
			case g.ID != id:
				t.Fatalf("request %d wasn't delegated", id)
			case g.To.ID == "other":
				w.reply(g, 0)
			case silent:
				lost++
			default:
				lost++
				w.endGather(g, almondstep.GatherEnded{Err: "connection reset"})
			}
			id++
			w.advance(20 * time.Millisecond)
		}
		// Within 4 s: until the gatherer is doubted, and one after each backoff.
		if most := 6; lost > most || lost == 0 {
			t.Errorf("silent %v: got %d of 200 requests at the failed gatherer, want 1 to %d", silent, lost, most)
		}
	}
}
