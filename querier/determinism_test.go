package querier_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"almondstep"
	"almondstep/querier"
)

// The same events give byte-identical effects: nothing depends on map order or
// on state outside the partition.
func TestSameEventsSameEffects(t *testing.T) {
	viewSets := randomViewSets()
	for seed := range uint64(400) {
		if first, second := trace(t, viewSets, seed), trace(t, viewSets, seed); !bytes.Equal(first, second) {
			t.Fatalf("case %d: two runs differ", seed)
		}
	}
}

// trace returns the encoded effects of a random session.
func trace(t *testing.T, viewSets [][]*almondstep.View, seed uint64) []byte {
	var log bytes.Buffer
	r := &random{state: seed}
	f := &fake{
		t:       t,
		r:       r,
		views:   viewSets[r.intN(len(viewSets))],
		q:       querier.New(querier.Config{Seed: seed, ExtraBurst: 8, MaxReputations: 8}),
		queries: map[almondstep.QueryID]*queryTruth{},
		log:     json.NewEncoder(&log),
	}
	f.v = f.views[0]
	for id := range almondstep.QueryID(3) {
		f.arrive(id + 1)
		for range 20 {
			f.step()
		}
	}
	f.end()
	return log.Bytes()
}
