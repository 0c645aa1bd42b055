package watcher

import "almondstep"

const (
	// connectionsEach is the number of connections to each upstream that a daemon
	// needs that asks shards: one call may be under way beside another.
	connectionsEach = 2
	// leastGatherers is the number of daemons in a zone that ask shards at least,
	// so that the loss of one is borne.
	leastGatherers = 3
	// smallest is how many times as large as a daemon that asks shards the largest
	// one may be: the work for many calls would hold a smaller one up.
	smallest = 2
)

// gatherers says how many daemons may call the upstreams of shards: as many as
// find connectionsEach of the connections there; all, where no bound is stated.
func (w *Watcher) gatherers() int {
	all := w.sharing()
	if w.routes == nil {
		return all
	}
	accepted := w.routes.MinShardConnections()
	if accepted == 0 {
		return all
	}
	return min(all, max(1, accepted/connectionsEach))
}

// delegates are the daemons of the own zone that ask shards for all: the largest,
// as many as are the zone's part of the gatherers, without those that are less than
// half as large as the largest. None if this daemon is one of them, or if all are.
//
// Example: 13 of 78 daemons are in the zone, and 30 may ask shards: the 5 with the
// most cores do, if the fifth has at least half as many as the first.
func (w *Watcher) delegates(gatherers int) []almondstep.Delegate {
	zone := w.zoneBySize(w.cfg.Zone)
	n := w.askersOf(zone, gatherers)
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

// askersOf is the number of a zone's daemons that ask shards for all of it.
func (w *Watcher) askersOf(zone []almondstep.Delegate, gatherers int) int {
	n := max(leastGatherers, gatherers*len(zone)/w.sharing())
	for n > leastGatherers && n <= len(zone) && zone[n-1].Cores*smallest < zone[0].Cores {
		n--
	}
	return min(n, len(zone))
}

// helpers are the daemons of each other region that ask the shards there.
func (w *Watcher) helpers(gatherers int) map[almondstep.RegionName][]almondstep.Delegate {
	own := w.cfg.Regions[w.cfg.Zone]
	helpers := make(map[almondstep.RegionName][]almondstep.Delegate)
	for _, name := range w.zones() {
		region := w.cfg.Regions[name]
		if region == own || region == "" {
			continue
		}
		zone := w.zoneBySize(name)
		helpers[region] = append(helpers[region], zone[:w.askersOf(zone, gatherers)]...)
	}
	return helpers
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
