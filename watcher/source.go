package watcher

import (
	"cmp"
	"slices"

	"almondstep"
	"almondstep/ranker"
)

const (
	// fanOut is the number of daemons that read from one in calm times: the state of
	// a large registry can be handed on to so many at once.
	fanOut = 8
	// readers is the number of zones whose first daemon reads the registry itself.
	readers = 2
)

// source is where this daemon reads: the registry itself, which has no id, or
// another daemon.
type source struct {
	id   almondstep.DaemonID
	addr almondstep.Address
}

// registry is the source that isn't a daemon.
func registry() source { return source{} }

// sources lists where this daemon may read, best first.
//
// The daemons of a zone form a tree, the largest first: each reads from its parent.
// The first of a zone reads from the first of the two zones that come first, and
// those read the registry. All daemons know this from their entries. Whoever gets
// no answer, or an old word, goes on down its list, which has the registry and
// daemons of all zones, so that a cut or an outage that leaves any way open leaves
// the knowledge fresh.
func (w *Watcher) sources() []source {
	l := sourceList{w: w}
	zones := w.zones()
	own := w.order(w.cfg.Zone)
	rank := w.rank()
	leads := w.ranked(zones, 0)
	if rank > 0 {
		parent := (rank - 1) / fanOut
		l.addAll(own[parent : parent+1])
		if parent+1 < rank {
			l.addAll(own[parent+1 : parent+2])
		}
		l.addAll(own[:1])
	}
	first := min(readers, len(zones))
	if rank == 0 && slices.Contains(zones[:first], w.cfg.Zone) {
		l.add(registry())
	}
	l.addAll(leads[:first])
	l.add(registry())
	l.addAll(own[:min(fanOut, len(own))])
	l.addAll(leads)
	l.addAll(w.ranked(zones, 1))
	l.addAll(own)
	if w.revision == 0 {
		for _, addr := range w.cfg.Seeds {
			l.add(seed(addr))
		}
	}
	return l.list
}

// seed is a daemon of which only the address is known.
func seed(addr almondstep.Address) source {
	return source{id: almondstep.DaemonID(addr), addr: addr}
}

// sourceOf is the source of an id: the registry, which has none, a daemon that is
// known, or a seed.
func (w *Watcher) sourceOf(id almondstep.DaemonID) source {
	if id == "" {
		return registry()
	}
	if d, known := w.daemons[id]; known {
		return source{id: id, addr: d.addr}
	}
	return seed(almondstep.Address(id))
}

// sourceList collects sources, each once and none of this daemon itself.
type sourceList struct {
	w    *Watcher
	list []source
}

func (l *sourceList) add(s source) {
	if !slices.Contains(l.list, s) {
		l.list = append(l.list, s)
	}
}

func (l *sourceList) addAll(ids []almondstep.DaemonID) {
	for _, id := range ids {
		if id != l.w.cfg.Self {
			l.add(l.w.sourceOf(id))
		}
	}
}

// zones lists the zones of all daemons, in an order that all of them know.
func (w *Watcher) zones() []almondstep.ZoneName {
	w.order(w.cfg.Zone)
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

// ranked gives the daemon of a rank of each zone that has one.
func (w *Watcher) ranked(zones []almondstep.ZoneName, rank int) []almondstep.DaemonID {
	var ids []almondstep.DaemonID
	for _, zone := range zones {
		if order := w.order(zone); rank < len(order) {
			ids = append(ids, order[rank])
		}
	}
	return ids
}

// order lists the daemons of a zone that can be asked, the largest first; this
// daemon is among those of its own zone. One whose lease has ended stays in its
// place for a while: whether it lives is found by asking it.
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

// cores is the processor time of a daemon's VM, in cores.
func (w *Watcher) cores(id almondstep.DaemonID) float64 {
	if id == w.cfg.Self {
		return w.cfg.Cores
	}
	return w.daemons[id].cores
}

// rank is this daemon's place in its zone, from 0.
func (w *Watcher) rank() int { return slices.Index(w.order(w.cfg.Zone), w.cfg.Self) }
