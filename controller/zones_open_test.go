package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// usableZones returns the zones of the upstreams in a daemon's placements.
func usableZones(v *almondstep.View) map[almondstep.ZoneName]bool {
	zones := make(map[almondstep.ZoneName]bool)
	for _, p := range v.Placements("lots") {
		for shard := range p.ShardCount() {
			for _, r := range p.Replicas(shard) {
				zones[r.Zone()] = true
			}
		}
	}
	return zones
}

// While all daemons restart in turn, a ready daemon can use the upstreams of every
// zone. With only those of its own zone, which are in a handover, it would refuse
// callers.
func TestReadyDaemonUsesAllZones(t *testing.T) {
	zones := []almondstep.ZoneName{"x", "y", "z"}
	for _, latency := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("latency=%v/seed=%d", latency, seed), func(t *testing.T) {
				f := newFleet(seed)
				f.latency = latency
				f.setConfig(zones, nil)
				for _, z := range zones {
					f.addUpstreams(z, 3)
				}
				for i := range 2 * len(zones) {
					f.start(almondstep.DaemonID(fmt.Sprintf("d%d", i)), zones[i%len(zones)])
				}
				f.runFor(15 * time.Second)
				for _, id := range f.ids {
					f.restart(id, 500*time.Millisecond)
					for step := 0; step < 400; step++ {
						f.runFor(20 * time.Millisecond)
						f.wantAllZones(t, len(zones))
						if step > 50 && f.nodes[id].view != nil && f.nodes[id].view.Ready() {
							break
						}
					}
				}
			})
		}
	}
}

func (f *fleet) wantAllZones(t *testing.T, want int) {
	t.Helper()
	for _, id := range f.ids {
		n := f.nodes[id]
		if n.dead || n.view == nil || !n.view.Ready() {
			continue
		}
		if got := len(usableZones(n.view)); got != want {
			t.Fatalf("%v: %s is ready and can use %d zones, want %d", f.now, id, got, want)
		}
	}
}
