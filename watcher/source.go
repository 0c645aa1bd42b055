package watcher

import (
	"cmp"
	"slices"

	"almondstep"
	"almondstep/ranker"
)

const (
	// fanOut is the number of daemons that read from one parent in normal operation: a
	// daemon can send the content of a large registry to that many at once.
	fanOut = 8
	// registryReaders is the number of zones whose first daemon reads the registry.
	registryReaders = 2
)

// source is what this daemon reads from: the registry itself, which has neither id nor
// address, or another daemon.
type source struct {
	id   almondstep.DaemonID
	addr almondstep.Address
}

// registry returns the source that stands for the registry itself.
func registry() source { return source{} }

// sources lists the sources that this daemon may read from, best first.
//
// The daemons of a zone form a tree, with the largest at its root: each reads from its
// parent. The root of a zone's tree reads from those of the first registryReaders zones,
// which read the registry. All daemons derive the trees from the daemons' registry
// entries. A daemon whose source doesn't answer or is stale tries the further sources of
// its list, which has the registry and daemons of all zones. So the registry cache stays
// fresh during a network partition or an outage as long as any path to the registry is
// open.
func (w *Watcher) sources() []source {
	l := sourceList{w: w}
	zones := w.zones()
	own := w.order(w.cfg.Zone)
	rank := w.rank()
	zoneFirsts := w.daemonsAtRank(zones, 0)
	if rank > 0 {
		parent := (rank - 1) / fanOut
		l.addAll(own[parent : parent+1])
		if parent+1 < rank {
			l.addAll(own[parent+1 : parent+2])
		}
		l.addAll(own[:1])
	}
	readerZones := min(registryReaders, len(zones))
	if rank == 0 && slices.Contains(zones[:readerZones], w.cfg.Zone) {
		l.add(registry())
	}
	l.addAll(zoneFirsts[:readerZones])
	l.add(registry())
	l.addAll(own[:min(fanOut, len(own))])
	l.addAll(zoneFirsts)
	l.addAll(w.daemonsAtRank(zones, 1))
	l.addAll(own)
	if w.revision == 0 {
		for _, addr := range w.cfg.Seeds {
			l.add(seedSource(addr))
		}
	}
	return l.list
}

// seedSource returns the source for a daemon of which only the address is known; the
// address serves as its id.
func seedSource(addr almondstep.Address) source {
	return source{id: almondstep.DaemonID(addr), addr: addr}
}

// sourceOf returns the source with an id: the registry, which has none, a known
// daemon, or a seed.
func (w *Watcher) sourceOf(id almondstep.DaemonID) source {
	if id == "" {
		return registry()
	}
	if d, known := w.daemons[id]; known {
		return source{id: id, addr: d.addr}
	}
	return seedSource(almondstep.Address(id))
}

// sourceList collects sources without duplicates.
type sourceList struct {
	w    *Watcher
	list []source
}

func (l *sourceList) add(s source) {
	if !slices.Contains(l.list, s) {
		l.list = append(l.list, s)
	}
}

// addAll adds daemons except this one.
func (l *sourceList) addAll(ids []almondstep.DaemonID) {
	for _, id := range ids {
		if id != l.w.cfg.Self {
			l.add(l.w.sourceOf(id))
		}
	}
}

// zones lists the zones of all daemons, in the same order on every daemon.
func (w *Watcher) zones() []almondstep.ZoneName {
	w.order(w.cfg.Zone) // Rebuilds w.orders if necessary.
	names := make([]almondstep.DaemonID, 0, len(w.orders))
	for zone := range w.orders {
		names = append(names, almondstep.DaemonID(zone))
	}
	zones := make([]almondstep.ZoneName, 0, len(names))
	for _, name := range ranker.New(names).Order("news") {
		zones = append(zones, almondstep.ZoneName(name))
	}
	return zones
}

// daemonsAtRank lists the daemon at a rank from each zone that has one.
func (w *Watcher) daemonsAtRank(zones []almondstep.ZoneName, rank int) []almondstep.DaemonID {
	var ids []almondstep.DaemonID
	for _, zone := range zones {
		if order := w.order(zone); rank < len(order) {
			ids = append(ids, order[rank])
		}
	}
	return ids
}

// order lists the daemons of a zone that have an address, the largest first, and this
// daemon in its own zone. A daemon whose lease has expired keeps its place for
// expiredDaemonRetention: only a request to it shows whether it still runs.
func (w *Watcher) order(zone almondstep.ZoneName) []almondstep.DaemonID {
	if w.orders == nil {
		w.orders = w.makeOrders()
	}
	return w.orders[zone]
}

func (w *Watcher) makeOrders() map[almondstep.ZoneName][]almondstep.DaemonID {
	byZone := map[almondstep.ZoneName][]almondstep.DaemonID{w.cfg.Zone: {w.cfg.Self}}
	for id, d := range w.daemons {
		if d.addr != "" && id != w.cfg.Self {
			byZone[d.zone] = append(byZone[d.zone], id)
		}
	}
	for zone, ids := range byZone {
		ids = ranker.New(ids).Order("news/" + string(zone))
		slices.SortStableFunc(ids, func(a, b almondstep.DaemonID) int { return cmp.Compare(w.cores(b), w.cores(a)) })
		byZone[zone] = ids
	}
	return byZone
}

// cores is the processor time available to a daemon's VM, in cores.
func (w *Watcher) cores(id almondstep.DaemonID) float64 {
	if id == w.cfg.Self {
		return w.cfg.Cores
	}
	return w.daemons[id].cores
}

// rank is this daemon's position in the order of its zone, from 0.
func (w *Watcher) rank() int { return slices.Index(w.order(w.cfg.Zone), w.cfg.Self) }
