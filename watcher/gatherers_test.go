package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
	"almondstep/watcher"
)

// fleetRegions maps six zones to three regions.
var fleetRegions = map[almondstep.ZoneName]almondstep.RegionName{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// fleetOf returns a registry of daemons of mixed sizes in six zones; every seventh states no
// size. Upstreams of the only shard are in one zone of each region.
func fleetOf(t *testing.T, daemons, connections int) *almondstep.RegistryChanges {
	t.Helper()
	changes := &almondstep.RegistryChanges{Revision: 9, Routes: shardRoutes(t, connections)}
	zones := []almondstep.ZoneName{"a1", "a2", "b1", "b2", "c1", "c2"}
	sizes := []float64{0.19, 0.8, 0.4, 0.25, 0.6, 0.78, 0}
	for i := range daemons {
		id := almondstep.DaemonID(fmt.Sprintf("d%04d", i))
		changes.Daemons = append(changes.Daemons, almondstep.DaemonChange{
			Daemon: id, Alive: true, Zone: zones[i%len(zones)], Addr: almondstep.Address(id), Cores: sizes[(5*i+i/len(zones))%len(sizes)],
		})
	}
	for _, zone := range []almondstep.ZoneName{"a1", "b1", "c1"} {
		changes.Upstreams = append(changes.Upstreams, almondstep.UpstreamChange{
			Key: "up/" + string(zone), Upstream: &almondstep.Upstream{ID: almondstep.UpstreamID(zone), Service: "s1", Zone: zone, Region: fleetRegions[zone]},
		})
	}
	return changes
}

// directoryOf returns the directory of one daemon of a fleet.
func directoryOf(t *testing.T, changes *almondstep.RegistryChanges, self almondstep.DaemonChange) *almondstep.Directory {
	t.Helper()
	// The cores that a daemon knows of itself may be rounded in its entry.
	w := watcher.New(watcher.Config{Self: self.Daemon, Zone: self.Zone, Regions: fleetRegions, Cores: self.Cores + 0.003})
	var d *almondstep.Directory
	for _, f := range w.Reduce(almondstep.Instant(time.Second), &almondstep.RegistryRead{Full: true, Changes: changes}, nil) {
		if p, ok := f.(*almondstep.PublishView); ok {
			d = p.View.Directory()
		}
	}
	return d
}

// Daemons that derived different gatherers from the same registry would together exceed the
// limits that they divide among themselves. Every daemon must get the same number of
// gatherers, which is that of the daemons without delegates, and the shares must not exceed 1.
func TestSharesOfAllDaemons(t *testing.T) {
	for _, fleet := range []struct{ daemons, connections int }{{6, 56}, {6, 8}, {7, 8}, {11, 56}, {34, 64}, {68, 56}, {295, 64}, {1000, 64}} {
		changes := fleetOf(t, fleet.daemons, fleet.connections)
		counts, roles, shares := map[int]int{}, 0, 0.0
		for _, self := range changes.Daemons {
			d := directoryOf(t, changes, self)
			counts[d.Gatherers()]++
			if len(d.Delegates()) == 0 {
				roles++
			}
			shares += 1 / float64(forwarder.BudgetDivisor(d, "s1"))
		}
		t.Logf("%d daemons, %d connections: %d gatherers, shares %.3f", fleet.daemons, fleet.connections, roles, shares)
		if len(counts) != 1 || fleet.daemons > 9 && counts[roles] == 0 {
			t.Errorf("%d daemons: got %v as the numbers of gatherers, want %d in all views", fleet.daemons, counts, roles)
		}
		if shares > 1+1e-9 || shares < 0.7 {
			t.Errorf("%d daemons: got shares of %.3f together, want 0.7 to 1", fleet.daemons, shares)
		}
		if most := fleet.connections / 2; fleet.daemons > 9 && roles > most {
			t.Errorf("%d daemons: got %d gatherers, want at most %d by the connections", fleet.daemons, roles, most)
		}
	}
}

// The shares of the others leave nothing to a daemon that isn't listed yet, so it may take little;
// the first one of its region took that of a gatherer.
func TestShareOfUnlistedDaemonIsSmall(t *testing.T) {
	for _, daemons := range []int{6, 34} {
		changes := fleetOf(t, daemons, 64)
		for _, zone := range []almondstep.ZoneName{"a1", "new"} {
			d := directoryOf(t, changes, almondstep.DaemonChange{Daemon: "new", Zone: zone, Cores: 0.8})
			if got, least := forwarder.BudgetDivisor(d, "s1"), 5*(daemons+1); got < least {
				t.Errorf("zone %s: got a share of 1/%d beside %d daemons, want at most 1/%d", zone, got, daemons, least)
			}
		}
	}
}

// A zone without a gatherer would send all its requests over shards to another zone, and one whose
// only gatherer is lost needs those of the region's other zones.
func TestDelegatesAreOfRegion(t *testing.T) {
	changes := fleetOf(t, 68, 56)
	for _, self := range changes.Daemons {
		zones := map[almondstep.ZoneName]int{}
		for _, g := range directoryOf(t, changes, self).Delegates() {
			zones[g.Zone]++
			if fleetRegions[g.Zone] != fleetRegions[self.Zone] || g.Cores < 0.78 {
				t.Errorf("%s in %s: got delegate %+v, want one of the largest of its region", self.Daemon, self.Zone, g)
			}
		}
		if len(zones) != 0 && len(zones) != 2 {
			t.Errorf("%s: got delegates by zone %v, want some of both zones of its region", self.Daemon, zones)
		}
		if got, want := len(directoryOf(t, changes, self).RegionalDelegatesByRegion()), 2; got != want {
			t.Errorf("%s: got delegates in %d other regions, want %d", self.Daemon, got, want)
		}
	}
	changes.DrainedZones = []almondstep.ZoneChange{{Zone: "a1", Drained: true}}
	for _, g := range directoryOf(t, changes, changes.Daemons[0]).Delegates() {
		if g.Zone == "a1" {
			t.Errorf("got delegate %+v in the drained zone", g)
		}
	}
}
