package controller

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

// minExtension is the minimum extension of a grant that causes a new view.
const minExtension = time.Second

// ownership holds the upstreams of the own zone for which this daemon is the
// first live one, and their grants.
type ownership struct {
	// upstreams are in the order of the list of VMs.
	upstreams []*owned
	byAddr    map[almondstep.Address]*owned
	// until is when the grants in force end, 0 if there are none.
	until almondstep.Instant
	// publishedUntil is the value of until in the last view.
	publishedUntil almondstep.Instant
	epoch          uint64
}

// owned is one upstream this daemon owns, permanently or as a deputy.
type owned struct {
	vm *almondstep.UpstreamVM
	// order ranks the zone's daemons for it.
	order []almondstep.DaemonID
	grant almondstep.Grant
	// first reports whether no daemon ranked higher is live.
	first bool
}

func (o *ownership) init() { o.byAddr = make(map[almondstep.Address]*owned) }

// expired reports whether the grants in the last view have ended.
func (o *ownership) expired(now almondstep.Instant) bool {
	return o.until != 0 && now >= o.until
}

// rankOwned recomputes the upstreams for which this daemon is the first live one.
// Their previous grants stay until updateGrants runs.
func (c *Control) rankOwned() {
	c.rank = c.prober.GrantRanker()
	kept := make(map[almondstep.Address]*owned)
	c.ownership.upstreams = c.ownership.upstreams[:0]
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if vm.Zone != c.cfg.Zone || !c.owns(vm.Addr) {
			continue
		}
		o := &owned{vm: vm, first: true, order: c.rank.Order(string(vm.Addr))}
		if previous := c.ownership.byAddr[vm.Addr]; previous != nil {
			o.grant = previous.grant
		}
		kept[vm.Addr] = o
		c.ownership.upstreams = append(c.ownership.upstreams, o)
	}
	c.spreadReleased(kept)
	c.ownership.byAddr = kept
}

// spreadReleased spreads the temperatures of the upstreams that this daemon no
// longer owns. The next owner may have just started without any, and until its
// grant is full it may use only upstreams known to be warm.
func (c *Control) spreadReleased(kept map[almondstep.Address]*owned) {
	for _, addr := range slices.Sorted(maps.Keys(c.ownership.byAddr)) {
		if kept[addr] != nil {
			continue
		}
		if rumor, ok := c.marks.release(addr); ok {
			c.prober.Spread(rumor, true)
		}
	}
}

func (c *Control) owns(addr almondstep.Address) bool {
	if c.prober.Left() {
		return false
	}
	return c.rank.First(string(addr), c.prober.Routable) == c.cfg.Self
}

// updateGrants applies the ownership rules to each owned upstream and reports
// whether any grant has changed.
func (c *Control) updateGrants(now almondstep.Instant) bool {
	until, confirmed := c.prober.LeaseValidUntil(now)
	restarted := c.ownership.epoch != c.prober.Epoch()
	c.ownership.epoch = c.prober.Epoch()
	changed := false
	anyFull := false
	var blockers []almondstep.DaemonID
	for _, o := range c.ownership.upstreams {
		held := o.grant == almondstep.GrantFull && !restarted
		grant := almondstep.GrantWarmOnly
		if confirmed {
			grant, blockers = c.evaluateGrant(now, o, held, blockers)
		}
		changed = changed || grant != o.grant
		o.grant = grant
		anyFull = anyFull || grant == almondstep.GrantFull
	}
	c.prober.SetBlockers(blockers)
	c.ownership.until = 0
	if anyFull {
		c.ownership.until = until
	}
	return changed
}

// evaluateGrant applies rules 2 and 3 to one upstream: all daemons ranked higher
// are cleared, and all ranked lower have stopped using it. An owner that has held
// the grant without interruption keeps it without new acknowledgements.
func (c *Control) evaluateGrant(now almondstep.Instant, o *owned, held bool, blockers []almondstep.DaemonID) (almondstep.Grant, []almondstep.DaemonID) {
	self := slices.Index(o.order, c.cfg.Self)
	full := true
	cleared := c.prober.GrantEndedByRecentReports
	if held {
		cleared = c.prober.GrantEnded
	}
	for i, id := range o.order {
		if id == c.cfg.Self || i > self && (held || c.prober.Acknowledged(now, id)) || cleared(now, id) {
			continue
		}
		full = false
		if !slices.Contains(blockers, id) {
			blockers = append(blockers, id)
		}
	}
	if !full {
		return almondstep.GrantWarmOnly, blockers
	}
	return almondstep.GrantFull, blockers
}

// ownedUpstreams returns the owned upstreams for a view.
func (c *Control) ownedUpstreams() map[almondstep.Address]almondstep.OwnedUpstream {
	all := make(map[almondstep.Address]almondstep.OwnedUpstream, len(c.ownership.upstreams))
	if c.catalog == nil {
		return all
	}
	drained := c.catalog.ZoneDrained(c.cfg.Zone)
	for _, o := range c.ownership.upstreams {
		s, ok := c.catalog.Service(o.vm.Service)
		if !ok {
			continue
		}
		vm := *o.vm
		t, boot := c.marks.ownerTemperature(vm.Addr)
		vm.Boot = boot
		grant := o.grant
		if drained {
			// Leaving would be final for the boot, and the zone may be restored.
			grant = almondstep.GrantNone
		}
		u := almondstep.NewOwnedUpstream(vm, s.Slots(), s.Connections(), grant, t)
		all[vm.Addr] = u.WithGrantUntil(c.ownership.until)
	}
	return all
}
