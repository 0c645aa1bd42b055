package controller

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

// minExtension is the minimum extension of the grants that causes a new view, unless
// the published ones end sooner than that.
const minExtension = time.Second

// ownership holds the upstreams of the own zone for which this daemon is the first
// live one in rendezvous order, and their grants.
type ownership struct {
	// upstreams are in the order of the list of VMs.
	upstreams []*ownedUpstream
	byAddr    map[almondstep.Address]*ownedUpstream
	// until is when the grants in force end, 0 if there are none.
	until almondstep.Instant
	// publishedUntil is the value of until in the last view.
	publishedUntil almondstep.Instant
	// epoch is the epoch of this daemon at the last updateGrants.
	epoch uint64
}

// ownedUpstream is an upstream that this daemon owns, as the first in its order
// or as a deputy.
type ownedUpstream struct {
	vm *almondstep.UpstreamVM
	// order is the rendezvous order of the zone's daemons for it.
	order []almondstep.DaemonID
	grant almondstep.Grant
	// first is set if no daemon ranked higher is live.
	first bool
}

func (o *ownership) init() { o.byAddr = make(map[almondstep.Address]*ownedUpstream) }

// expired reports whether the grants in the last view have ended.
func (o *ownership) expired(now almondstep.Instant) bool {
	return o.until != 0 && now >= o.until
}

// rankOwned recomputes the upstreams for which this daemon is the first live one.
// Their previous grants stay until updateGrants runs.
func (c *Control) rankOwned() {
	c.grantRanker = c.prober.GrantRanker()
	kept := make(map[almondstep.Address]*ownedUpstream)
	c.ownership.upstreams = c.ownership.upstreams[:0]
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if vm.Zone != c.cfg.Zone || !c.owns(vm.Addr) {
			continue
		}
		o := &ownedUpstream{vm: vm, first: true, order: c.grantRanker.Order(string(vm.Addr))}
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
// longer owns. The next owner may have just started and have none, and until its
// grant is full it may use only upstreams known to be warm.
func (c *Control) spreadReleased(kept map[almondstep.Address]*ownedUpstream) {
	for _, addr := range slices.Sorted(maps.Keys(c.ownership.byAddr)) {
		if kept[addr] != nil {
			continue
		}
		if rumor, ok := c.states.release(addr); ok {
			c.prober.Spread(rumor, true)
		}
	}
}

func (c *Control) owns(addr almondstep.Address) bool {
	if c.prober.Left() {
		return false
	}
	return c.grantRanker.First(string(addr), c.prober.Routable) == c.cfg.Self
}

// updateGrants recomputes the grant of each owned upstream and reports whether any
// has changed.
func (c *Control) updateGrants(now almondstep.Instant) bool {
	until, confirmed := c.prober.LeaseValidUntil(now)
	newEpoch := c.ownership.epoch != c.prober.Epoch()
	c.ownership.epoch = c.prober.Epoch()
	changed := false
	anyFull := false
	var blockers []almondstep.DaemonID
	for _, o := range c.ownership.upstreams {
		held := o.grant == almondstep.GrantFull && !newEpoch
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

// evaluateGrant returns the grant of one upstream while a quorum confirms this
// daemon's lease, and appends to blockers the daemons that prevent a full grant. It is
// full if each daemon ranked higher can't hold a grant any more, and each ranked lower
// can't either or has acknowledged this daemon's epoch. An owner that has held the
// grant without interruption keeps it without acknowledgements.
func (c *Control) evaluateGrant(now almondstep.Instant, o *ownedUpstream, held bool, blockers []almondstep.DaemonID) (almondstep.Grant, []almondstep.DaemonID) {
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
		t, boot := c.states.ownerTemperature(vm.Addr)
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
