package querier_test

import (
	"fmt"
	"testing"

	"almondstep"
	"almondstep/querier"
)

// TestProperties runs partitions through random sequences of events: answers
// that are late, repeated, from other snapshot versions or never requested, lost
// owners, crashing upstreams, changing views, callers that disconnect. The seed of a
// case is its number, which a failure prints.
func TestProperties(t *testing.T) {
	viewSets := randomViewSets()
	const parts = 4
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < propertyCases; seed += parts {
				runCase(t, viewSets, uint64(seed))
				if t.Failed() {
					t.Fatalf("case %d", seed)
				}
			}
		})
	}
}

// runCase runs one random session of up to three queries.
func runCase(t *testing.T, viewSets [][]*almondstep.View, seed uint64) {
	r := &random{state: seed}
	f := &fake{
		t:       t,
		r:       r,
		views:   viewSets[r.intN(len(viewSets))],
		q:       querier.New(querier.Config{Seed: seed, ExtraBurst: 1 + r.intN(40), MaxReputations: 8}),
		queries: map[almondstep.QueryID]*queryTruth{},
	}
	f.v = f.views[0]
	for id := range 1 + r.intN(3) {
		f.arrive(almondstep.QueryID(id + 1))
		for range r.intN(12) {
			f.step()
		}
	}
	for range 40 {
		f.step()
	}
	f.end()
}

// TestPropertiesCoverEveryPath checks that the random sessions take each path
// that the properties are about.
func TestPropertiesCoverEveryPath(t *testing.T) {
	viewSets := randomViewSets()
	var seen querier.Counters
	outcomes := map[almondstep.Outcome]int{}
	for seed := range uint64(3_000) {
		r := &random{state: seed}
		f := &fake{
			t:        t,
			r:        r,
			views:    viewSets[r.intN(len(viewSets))],
			q:        querier.New(querier.Config{Seed: seed, ExtraBurst: 1 + r.intN(40), MaxReputations: 8}),
			queries:  map[almondstep.QueryID]*queryTruth{},
			outcomes: outcomes,
		}
		f.v = f.views[0]
		for id := range 3 {
			f.arrive(almondstep.QueryID(id + 1))
			for range 20 {
				f.step()
			}
		}
		f.end()
		c := f.q.Counters()
		seen.Hedges += c.Hedges
		seen.Retries += c.Retries
		seen.Repicks += c.Repicks
		seen.Replans += c.Replans
		seen.Late += c.Late
		seen.Repeated += c.Repeated
		seen.Unsolicited += c.Unsolicited
		seen.WrongVersion += c.WrongVersion
		seen.Ambiguous += c.Ambiguous
		seen.Canaries += c.Canaries
		seen.Crashes += c.Crashes
	}
	for name, n := range map[string]uint64{
		"hedges": seen.Hedges, "retries": seen.Retries, "repicks": seen.Repicks, "replans": seen.Replans,
		"late": seen.Late, "repeated": seen.Repeated, "foreign": seen.Unsolicited, "wrongVersion": seen.WrongVersion,
		"mixed": seen.Ambiguous, "canaries": seen.Canaries, "crashes": seen.Crashes,
		"complete": uint64(outcomes[almondstep.OutcomeComplete]), "partial": uint64(outcomes[almondstep.OutcomePartial]),
		"notRun": uint64(outcomes[almondstep.OutcomeNotRun]), "unknown": uint64(outcomes[almondstep.OutcomeUnknown]),
	} {
		if n == 0 {
			t.Errorf("no session had any of: %s", name)
		}
	}
}
