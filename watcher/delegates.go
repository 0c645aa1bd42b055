package watcher

import "almondstep"

const (
	// connectionsPerGatherer is the number of connections to each upstream of a shard
	// that a daemon needs to query the shards: two calls may be in flight at once.
	connectionsPerGatherer = 2
	// minGatherers is the minimum number of daemons in a zone that query shards, if the
	// zone has as many, so that it can lose one of them.
	minGatherers = 3
	// maxCoreRatio is the maximum ratio of the cores of a zone's largest daemon to those
	// of one that queries shards: the work for many calls would overload a smaller one.
	maxCoreRatio = 2
)

// gatherers is the number of daemons that may call the upstreams of shards: as many as
// can each have connectionsPerGatherer of the connections that every upstream accepts,
// but at least one; all daemons if the routes state no limit.
func (w *Watcher) gatherers() int {
	all := w.daemonCount()
	if w.routes == nil {
		return all
	}
	accepted := w.routes.MinShardConnections()
	if accepted == 0 {
		return all
	}
	return min(all, max(1, accepted/connectionsPerGatherer))
}

// delegates is used in a fleet without regional gatherers (see chooseGatherers), as are the
// functions below. It lists the daemons of this daemon's zone that query the shards on behalf of
// the others: the largest ones, as many as the zone's share of the gatherers, without
// those that have less than half the cores of the largest, but at least minGatherers. It
// is nil if this daemon is one of them, or if all daemons of the zone are.
//
// Example: 13 of 78 daemons are in the zone, and 30 may query shards: the 5 with the
// most cores do, if the fifth has at least half as many as the first.
func (w *Watcher) delegates(gatherers int) []almondstep.Delegate {
	zone := w.zoneBySize(w.cfg.Zone)
	n := w.gatherersOf(zone, gatherers)
	if n >= len(zone) {
		return nil
	}
	zone = zone[:n]
	for _, d := range zone {
		if d.ID == w.cfg.Self {
			return nil
		}
	}
	return zone
}

// gatherersOf is the number of a zone's daemons that query shards; zone lists its
// daemons, the largest first, and gatherers is their number in all zones.
func (w *Watcher) gatherersOf(zone []almondstep.Delegate, gatherers int) int {
	n := max(minGatherers, gatherers*len(zone)/w.daemonCount())
	for n > minGatherers && n <= len(zone) && zone[n-1].Cores*maxCoreRatio < zone[0].Cores {
		n--
	}
	return min(n, len(zone))
}

// regionalDelegates lists, for each other region, the daemons that query the shards
// there.
func (w *Watcher) regionalDelegates(gatherers int) map[almondstep.RegionName][]almondstep.Delegate {
	own := w.cfg.Regions[w.cfg.Zone]
	delegates := make(map[almondstep.RegionName][]almondstep.Delegate)
	for _, name := range w.zones() {
		region := w.cfg.Regions[name]
		if region == own || region == "" {
			continue
		}
		zone := w.zoneBySize(name)
		delegates[region] = append(delegates[region], zone[:w.gatherersOf(zone, gatherers)]...)
	}
	return delegates
}

// zoneBySize lists the daemons of a zone as delegates, the largest first. In its own
// zone it includes this daemon, without an address.
func (w *Watcher) zoneBySize(name almondstep.ZoneName) []almondstep.Delegate {
	var zone []almondstep.Delegate
	for _, id := range w.order(name) {
		d := almondstep.Delegate{ID: id, Cores: w.cores(id)}
		if id != w.cfg.Self {
			d.Addr = w.daemons[id].addr
		}
		zone = append(zone, d)
	}
	return zone
}

// members lists all daemons that have an address, and this one.
func (w *Watcher) members() []almondstep.Member {
	var all []almondstep.Member
	for _, zone := range w.zones() {
		for _, d := range w.zoneBySize(zone) {
			all = append(all, almondstep.Member{ID: d.ID, Zone: zone, Region: w.cfg.Regions[zone], Addr: d.Addr, Cores: d.Cores})
		}
	}
	return all
}
