package planner_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/planner"
)

// BenchmarkPlan measures one plan over 1,200 shards with 3 replicas each: with a
// single complete version, and with two versions while the newer one rolls out. A
// traffic thread makes one plan per service for each view.
func BenchmarkPlan(b *testing.B) {
	const shards = 1_200
	table := func(held int) [][]almondstep.Replica {
		all := make([][]almondstep.Replica, shards)
		for i := range all {
			for c := range 3 {
				zone := []almondstep.ZoneName{"a", "b", "a"}[c]
				addr := almondstep.Address(fmt.Sprintf("10.0.%d.%d:80", c, i))
				r := almondstep.NewReplica(addr, zone, "o1", almondstep.Warm, time.Millisecond)
				if i < held {
					all[i] = append(all[i], r)
				}
			}
		}
		return all
	}
	for _, c := range []struct {
		name       string
		placements []almondstep.Placement
	}{
		{"complete", []almondstep.Placement{almondstep.NewPlacement(8, shards, table(shards))}},
		{"rolling", []almondstep.Placement{
			almondstep.NewPlacement(9, shards, table(shards/2)), almondstep.NewPlacement(8, shards, table(shards)),
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			v := viewOf(map[almondstep.ServiceName][]almondstep.Placement{"store": c.placements})
			s, _ := v.Catalog().Service("store")
			b.ReportAllocs()
			for b.Loop() {
				var p planner.Planner
				if !p.SearchPlan(v, s).Complete() {
					b.Fatal("not complete")
				}
			}
		})
	}
}
