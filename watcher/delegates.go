package watcher

import "almondstep"

const (
	// connectionsPerGatherer is the number of connections to each upstream of a shard
	// that a daemon needs to query the shards: one call may be in flight beside another.
	connectionsPerGatherer = 2
	// minGatherers is the minimum number of daemons in a zone that query shards, so that
	// the zone can lose one of them.
	minGatherers = 3
	// maxCoreRatio is how many times as large the largest daemon of a zone may be as one
	// that queries shards: the work for many calls would overload a smaller one.
	maxCoreRatio = 2
)

// gatherers is the number of daemons that may call the upstreams of shards: as many as
// get connectionsPerGatherer of the connections there; all, where no limit is stated.
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

// delegates lists the daemons of the own zone that query the shards for all: the
// largest ones, as many as are the zone's share of the gatherers, without those that
// have less than half the cores of the largest. It is nil if this daemon is one of them,
// or if all are.
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

// gatherersOf is the number of a zone's daemons that query shards for all of it.
func (w *Watcher) gatherersOf(zone []almondstep.Delegate, gatherers int) int {
	n := max(minGatherers, gatherers*len(zone)/w.daemonCount())
	for n > minGatherers && n <= len(zone) && zone[n-1].Cores*maxCoreRatio < zone[0].Cores {
		n--
	}
	return min(n, len(zone))
}

// regionalDelegates lists the daemons of each other region that query the shards there.
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

// zoneBySize lists the daemons of a zone that can be asked, and this one in its own,
// the largest first.
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
