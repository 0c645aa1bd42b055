package querier_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"almondstep"
	"almondstep/querier"
)

// The same events give the same effects, to the byte: nothing depends on the
// order of a map or on anything outside.
func TestSameEventsSameEffects(t *testing.T) {
	worlds := randomWorlds()
	for seed := range uint64(400) {
		if first, second := trace(t, worlds, seed), trace(t, worlds, seed); !bytes.Equal(first, second) {
			t.Fatalf("case %d: two runs differ", seed)
		}
	}
}

// trace writes down the effects of a random session.
func trace(t *testing.T, worlds [][]*almondstep.View, seed uint64) []byte {
	var log bytes.Buffer
	r := &random{state: seed}
	f := &fake{
		t:       t,
		r:       r,
		views:   worlds[r.below(len(worlds))],
		q:       querier.New(querier.Config{Seed: seed, ExtraBurst: 8, Remembered: 8}),
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
