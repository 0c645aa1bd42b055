package watcher

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"almondstep"
	"almondstep/ranker"
)

const (
	// maxDirectDaemons is the largest fleet in which all daemons query the shards
	// themselves if the upstreams accept enough connections from each.
	maxDirectDaemons = 9
	// minRegionGatherers is the minimum number of gatherers of a region that has as many
	// daemons, so that it can lose one.
	minRegionGatherers = 2
	// gathererTimeDivisor is the ratio of a zone's processor time to that of its gatherers.
	// Fewer gatherers observe each upstream more often and have larger shares of the retry
	// budget.
	gathererTimeDivisor = 5
)

// gathererSet is who queries the shards, as derived from the registry cache.
type gathererSet struct {
	// count is the number of daemons in the fleet that do, by which limits are divided.
	count     int
	delegates []almondstep.Delegate
	regional  map[almondstep.RegionName][]almondstep.Delegate
}

// chooseGatherers derives from the registry who queries the shards. All daemons with the
// same entries get the same count, and each gatherer finds itself among the gatherers. A
// daemon that isn't in the registry itself is none: the others don't count it.
func (w *Watcher) chooseGatherers() gathererSet {
	if !w.usesRegionalGatherers() {
		n := w.gatherers()
		return gathererSet{count: n, delegates: w.delegates(n), regional: w.regionalDelegates(n)}
	}
	own := w.regionOf(w.cfg.Zone)
	set := gathererSet{regional: make(map[almondstep.RegionName][]almondstep.Delegate)}
	regions := w.daemonsByRegion()
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		reachable := w.mayGather(regions[region])
		if len(reachable) == 0 {
			// Without a daemon to delegate to, each queries the shards itself.
			set.count += len(regions[region])
			continue
		}
		chosen := w.gatherersOfRegion(reachable)
		set.count += len(chosen)
		switch {
		case region == own && !slices.ContainsFunc(chosen, w.isSelf):
			set.delegates = chosen
		case region != own:
			set.regional[region] = chosen
		}
	}
	set.count = max(1, set.count)
	return set
}

// usesRegionalGatherers reports whether few daemons of each region query the shards. They
// don't if the routes state no limit on connections, or in a small fleet in which each
// daemon may hold enough connections.
func (w *Watcher) usesRegionalGatherers() bool {
	if w.routes == nil || w.routes.MinShardConnections() == 0 {
		return false
	}
	all := w.daemonCount()
	return all > maxDirectDaemons || w.routes.MinShardConnections()/connectionsPerGatherer < all
}

// daemonsByRegion lists the daemons of each region that the registry holds, in no order.
// Only those with an address can be gatherers for others.
func (w *Watcher) daemonsByRegion() map[almondstep.RegionName][]almondstep.Delegate {
	regions := make(map[almondstep.RegionName][]almondstep.Delegate)
	for id, d := range w.daemons {
		region := w.regionOf(d.zone)
		regions[region] = append(regions[region], almondstep.Delegate{ID: id, Addr: d.addr, Zone: d.zone, Cores: d.cores})
	}
	return regions
}

// mayGather returns those of a region's daemons that may be gatherers: the ones with an
// address, without those in drained zones as long as there are others.
func (w *Watcher) mayGather(all []almondstep.Delegate) []almondstep.Delegate {
	var drained, others []almondstep.Delegate
	for _, d := range all {
		switch {
		case d.Addr == "":
		case w.drainedZones[d.Zone].drained:
			drained = append(drained, d)
		default:
			others = append(others, d)
		}
	}
	if len(others) == 0 {
		return drained
	}
	return others
}

// regionOf returns a zone's region; a zone whose region is unknown is one by itself.
func (w *Watcher) regionOf(zone almondstep.ZoneName) almondstep.RegionName {
	return cmp.Or(w.cfg.Regions[zone], almondstep.RegionName(zone))
}

func (w *Watcher) isSelf(d almondstep.Delegate) bool { return d.ID == w.cfg.Self }

// gatherersOfRegion returns the gatherers among the daemons of a region: those of each of its
// zones. A delegate in the daemon's own zone replies soonest; the others are for when it fails.
func (w *Watcher) gatherersOfRegion(all []almondstep.Delegate) []almondstep.Delegate {
	zones := make(map[almondstep.ZoneName][]almondstep.Delegate)
	for _, d := range all {
		zones[d.Zone] = append(zones[d.Zone], d)
	}
	least := (minRegionGatherers + len(zones) - 1) / len(zones)
	var chosen []almondstep.Delegate
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		limit := max(least, w.gatherers()*len(zones[zone])/w.daemonCount())
		chosen = append(chosen, gatherersOfZone(zones[zone], least, limit)...)
	}
	return chosen
}

// gatherersOfZone returns the gatherers among the daemons of a zone: the largest ones, until they
// hold a fifth of its processor time, at least least and at most limit. A daemon of unknown size
// counts as the smallest of known size.
//
// Example: 13 daemons with 5.2 cores, of which three have 0.8 and four 0.4. Two with 0.8
// hold 1.6 cores, more than 1.04, and are the gatherers.
func gatherersOfZone(all []almondstep.Delegate, least, limit int) []almondstep.Delegate {
	slices.SortFunc(all, func(a, b almondstep.Delegate) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(ranker.Hash(string(a.ID)), ranker.Hash(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
	unknown := smallestCores(all)
	total := 0.0
	for _, d := range all {
		total += cmp.Or(d.Cores, unknown)
	}
	n, held := 0, 0.0
	for n < len(all) && n < limit && (n < least || held*gathererTimeDivisor < total) {
		held += cmp.Or(all[n].Cores, unknown)
		n++
	}
	return all[:n]
}

// smallestCores returns the lowest known number of cores, or 1 if none is known.
func smallestCores(all []almondstep.Delegate) float64 {
	lowest := 0.0
	for _, d := range all {
		if d.Cores > 0 && (lowest == 0 || d.Cores < lowest) {
			lowest = d.Cores
		}
	}
	return cmp.Or(lowest, 1)
}

// reportRole logs that this daemon has become a gatherer, or that it no longer is one.
func (w *Watcher) reportRole(set gathererSet, out []almondstep.Effect) []almondstep.Effect {
	gathers := len(set.delegates) == 0
	if w.routes == nil || w.gathers == gathers && w.loggedRole {
		return out
	}
	w.gathers, w.loggedRole = gathers, true
	message := "this daemon delegates requests over shards"
	if gathers {
		message = "this daemon queries shards"
	}
	cause := strconv.Itoa(set.count) + " of " + strconv.Itoa(w.publishedDaemons) + " daemons query them"
	return append(out, w.report(message, string(w.cfg.Self), cause, w.revision))
}
