package controller

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

// extendBy is how much later a grant must end before a new view says so.
const extendBy = time.Second

// ownership has the upstreams of the own zone whose first live daemon is this
// one, and how far each may be used.
type ownership struct {
	// upstreams are in the order of the list of VMs.
	upstreams []*owned
	byAddr    map[almondstep.Address]*owned
	// until is when the grants in force end, 0 if there are none.
	until almondstep.Instant
	// shown is the until that the last view says.
	shown almondstep.Instant
	epoch uint64
}

// owned is one upstream this daemon owns or stands in for.
type owned struct {
	vm *almondstep.UpstreamVM
	// order ranks the zone's daemons for it.
	order []almondstep.DaemonID
	grant almondstep.Grant
	// first says that no daemon above this one is live.
	first bool
}

func (o *ownership) init() { o.byAddr = make(map[almondstep.Address]*owned) }

// lapsed says whether a view allows what this daemon may no longer do.
func (o *ownership) lapsed(now almondstep.Instant) bool {
	return o.until != 0 && now >= o.until
}

// rankOwned finds anew the upstreams this daemon is the first live one for. What
// it was granted before stays until it is weighed again.
func (c *Control) rankOwned() {
	c.rank = c.prober.Rank()
	kept := make(map[almondstep.Address]*owned)
	c.ownership.upstreams = c.ownership.upstreams[:0]
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if vm.Zone != c.cfg.Zone || !c.owns(vm.Addr) {
			continue
		}
		o := &owned{vm: vm, first: true, order: c.rank.Order(string(vm.Addr))}
		if was := c.ownership.byAddr[vm.Addr]; was != nil {
			o.grant = was.grant
		}
		kept[vm.Addr] = o
		c.ownership.upstreams = append(c.ownership.upstreams, o)
	}
	c.handOver(kept)
	c.ownership.byAddr = kept
}

// handOver tells how warm the upstreams are that this daemon no longer owns. The
// next owner may have been started just now and know nothing, and until its
// grant is full it may use only what it knows to be warm.
func (c *Control) handOver(kept map[almondstep.Address]*owned) {
	for _, addr := range slices.Sorted(maps.Keys(c.ownership.byAddr)) {
		if kept[addr] != nil {
			continue
		}
		if word, ok := c.marks.handOver(addr); ok {
			c.prober.Spread(word, true)
		}
	}
}

func (c *Control) owns(addr almondstep.Address) bool {
	if c.prober.Left() {
		return false
	}
	return c.rank.First(string(addr), c.prober.Routable) == c.cfg.Self
}

// weighGrants applies the ownership rules to each owned upstream and says
// whether any grant has changed.
func (c *Control) weighGrants(now almondstep.Instant) bool {
	until, vouched := c.prober.VouchedUntil(now)
	restarted := c.ownership.epoch != c.prober.Epoch()
	c.ownership.epoch = c.prober.Epoch()
	changed := false
	anyFull := false
	var blockers []almondstep.DaemonID
	for _, o := range c.ownership.upstreams {
		held := o.grant == almondstep.GrantFull && !restarted
		grant := almondstep.GrantWarmOnly
		if vouched {
			grant, blockers = c.weigh(now, o, held, blockers)
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

// weigh applies rules 2 and 3 to one upstream: all above are cleared, and all
// below have stopped. An owner that held it on keeps it without asking again.
func (c *Control) weigh(now almondstep.Instant, o *owned, held bool, blockers []almondstep.DaemonID) (almondstep.Grant, []almondstep.DaemonID) {
	self := slices.Index(o.order, c.cfg.Self)
	full := true
	cleared := c.prober.ClearedNow
	if held {
		cleared = c.prober.Cleared
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

// ownedUpstreams describes what is owned, for a view.
func (c *Control) ownedUpstreams() map[almondstep.Address]almondstep.OwnedUpstream {
	all := make(map[almondstep.Address]almondstep.OwnedUpstream, len(c.ownership.upstreams))
	if c.catalog == nil {
		return all
	}
	out := c.catalog.ZoneDrained(c.cfg.Zone)
	for _, o := range c.ownership.upstreams {
		s, ok := c.catalog.Service(o.vm.Service)
		if !ok {
			continue
		}
		vm := *o.vm
		t, boot := c.marks.forOwner(vm.Addr)
		vm.Boot = boot
		grant := o.grant
		if out {
			// Not leaving: that is final for a boot, and the zone may come back.
			grant = almondstep.GrantNone
		}
		u := almondstep.NewOwnedUpstream(vm, s.Slots(), s.Connections(), grant, t)
		all[vm.Addr] = u.WithGrantUntil(c.ownership.until)
	}
	return all
}
