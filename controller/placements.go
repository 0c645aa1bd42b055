package controller

import (
	"cmp"
	"slices"

	"almondstep"
	"almondstep/ranker"
)

// partitioning is one way of dividing a service's records into shards, at one
// version.
type partitioning struct {
	service almondstep.ServiceName
	version almondstep.Version
	of      uint32
}

// buildPlacements lists the replicas of each shard of each service and version.
// Upstreams that get no new work are left out: those leaving, in a drained zone,
// without a live owner, or in another zone that has not confirmed the configuration.
func (c *Control) buildPlacements() map[almondstep.ServiceName][]almondstep.Placement {
	tables := make(map[partitioning][][]almondstep.Replica)
	var keys []partitioning
	self := ranker.Hash(string(c.cfg.Self))
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if _, ok := c.catalog.Service(vm.Service); !ok {
			continue
		}
		r, ok := c.replica(vm)
		for _, h := range vm.Holdings {
			key := partitioning{service: vm.Service, version: h.Version, of: h.Of}
			table := tables[key]
			if table == nil {
				table = make([][]almondstep.Replica, h.Of)
				tables[key] = table
				keys = append(keys, key)
			}
			for _, s := range h.Shards {
				if ok && s < h.Of {
					table[s] = append(table[s], r)
				}
			}
		}
	}
	return sortPlacements(keys, tables, self)
}

// replica returns an upstream as a replica; false if it gets no new work.
func (c *Control) replica(vm *almondstep.UpstreamVM) (almondstep.Replica, bool) {
	if !c.view.openZones[vm.Zone] || c.states.leaving(vm.Addr) {
		return almondstep.Replica{}, false
	}
	r := c.rankers[vm.Zone]
	if vm.Zone == c.cfg.Zone {
		r = c.grantRanker
	}
	if r == nil {
		return almondstep.Replica{}, false
	}
	owner := r.First(string(vm.Addr), c.prober.Routable)
	if owner == "" {
		return almondstep.Replica{}, false
	}
	return almondstep.NewReplica(vm.Addr, vm.Zone, owner, c.states.routingTemperature(vm.Addr), c.cfg.Distances[vm.Zone]), true
}

// sortPlacements sorts placements newest first, and replicas nearest first.
// Equally near replicas are ordered differently by each daemon, which spreads the
// load.
func sortPlacements(keys []partitioning, tables map[partitioning][][]almondstep.Replica, self uint64) map[almondstep.ServiceName][]almondstep.Placement {
	slices.SortFunc(keys, func(a, b partitioning) int {
		if d := cmp.Compare(b.version, a.version); d != 0 {
			return d
		}
		return cmp.Compare(b.of, a.of)
	})
	placements := make(map[almondstep.ServiceName][]almondstep.Placement)
	for _, key := range keys {
		table := tables[key]
		for i := range table {
			orderReplicas(table[i], self)
		}
		placements[key.service] = append(placements[key.service], almondstep.NewPlacement(key.version, key.of, table))
	}
	return placements
}

func orderReplicas(replicas []almondstep.Replica, self uint64) {
	slices.SortFunc(replicas, func(a, b almondstep.Replica) int {
		if d := cmp.Compare(a.Distance(), b.Distance()); d != 0 {
			return d
		}
		return cmp.Compare(ranker.Hash(string(a.Upstream()))^self, ranker.Hash(string(b.Upstream()))^self)
	})
}
