package querier_test

import (
	"fmt"
	"testing"

	"almondstep"
	"almondstep/querier"
)

// TestProperties drives partitions through random orders of events: answers
// early, late, twice, from other snapshots and for items never asked for,
// owners lost, upstreams crashing, views changing, callers leaving. The seed
// of a case is its number, so that a failure names its case.
func TestProperties(t *testing.T) {
	worlds := randomWorlds()
	const parts = 4
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < propertyCases; seed += parts {
				runCase(t, worlds, uint64(seed))
				if t.Failed() {
					t.Fatalf("case %d", seed)
				}
			}
		})
	}
}

// runCase is one random session of up to three queries.
func runCase(t *testing.T, worlds [][]*almondstep.View, seed uint64) {
	r := &random{state: seed}
	f := &fake{
		t:       t,
		r:       r,
		views:   worlds[r.below(len(worlds))],
		q:       querier.New(querier.Config{Seed: seed, ExtraBurst: 1 + r.below(40), Remembered: 8}),
		queries: map[almondstep.QueryID]*queryTruth{},
	}
	f.v = f.views[0]
	for id := range 1 + r.below(3) {
		f.arrive(almondstep.QueryID(id + 1))
		for range r.below(12) {
			f.step()
		}
	}
	for range 40 {
		f.step()
	}
	f.end()
}

// TestPropertiesSeeEveryPath makes sure that the random sessions are not all
// alike: each path that a promise is about must have been taken.
func TestPropertiesSeeEveryPath(t *testing.T) {
	worlds := randomWorlds()
	var seen querier.Counters
	outcomes := map[almondstep.Outcome]int{}
	for seed := range uint64(3_000) {
		r := &random{state: seed}
		f := &fake{
			t:        t,
			r:        r,
			views:    worlds[r.below(len(worlds))],
			q:        querier.New(querier.Config{Seed: seed, ExtraBurst: 1 + r.below(40), Remembered: 8}),
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
		seen.Foreign += c.Foreign
		seen.WrongVersion += c.WrongVersion
		seen.Mixed += c.Mixed
		seen.Canaries += c.Canaries
		seen.Crashes += c.Crashes
	}
	for name, n := range map[string]uint64{
		"hedges": seen.Hedges, "retries": seen.Retries, "repicks": seen.Repicks, "replans": seen.Replans,
		"late": seen.Late, "repeated": seen.Repeated, "foreign": seen.Foreign, "wrongVersion": seen.WrongVersion,
		"mixed": seen.Mixed, "canaries": seen.Canaries, "crashes": seen.Crashes,
		"complete": uint64(outcomes[almondstep.OutcomeComplete]), "partial": uint64(outcomes[almondstep.OutcomePartial]),
		"notRun": uint64(outcomes[almondstep.OutcomeNotRun]), "unknown": uint64(outcomes[almondstep.OutcomeUnknown]),
	} {
		if n == 0 {
			t.Errorf("no session had any of: %s", name)
		}
	}
}
