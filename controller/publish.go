package controller

import (
	"time"

	"almondstep"
)

// rebuildEvery bounds how often all placements are worked out anew for changes
// that may wait a moment, such as an upstream that has turned warm.
const rebuildEvery = 500 * time.Millisecond

// viewCache has the parts of the last view, so that a change of one part doesn't
// cost the others.
type viewCache struct {
	// dirty says that a small part has changed.
	dirty bool
	// placementsDirty says that who serves what may have changed.
	placementsDirty bool
	// membersChanged says that other daemons may be routable. It is looked at
	// once a tick, since many change at once when a zone is cut off.
	membersChanged bool
	// placementsOld says the same of a change that may wait for rebuildEvery.
	placementsOld bool
	rebuiltAt     almondstep.Instant
	placements    map[almondstep.ServiceName][]almondstep.Placement
	peers         map[almondstep.DaemonID]almondstep.Address
	peersOf       almondstep.Revision
	// relays watch the platform for the zone.
	relays    []almondstep.DaemonID
	open      map[almondstep.ZoneName]bool
	published bool
}

// publish makes a view if one of its parts has changed.
func (c *Control) publish(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if c.fleet == nil {
		return c.publishIfDirty(out)
	}
	if c.prober.TakeUrgent() || c.view.membersChanged {
		c.view.membersChanged = false
		c.rankOwned()
		c.view.relays = c.firstLive("relay/"+string(c.cfg.Zone), relaysPerZone)
		c.view.placementsDirty = true
	}
	if c.weighGrants(now) || c.extended(now) {
		c.view.dirty = true
	}
	if c.catalog == nil {
		return c.publishIfDirty(out)
	}
	c.checkZones(now)
	old := c.view.placementsOld && now.Sub(c.view.rebuiltAt) >= rebuildEvery
	if c.view.placementsDirty || old {
		c.rebuild(now)
	}
	return c.publishIfDirty(out)
}

// extended says whether the grants now end so much later that the traffic
// threads must be told.
func (c *Control) extended(now almondstep.Instant) bool {
	until, shown := c.ownership.until, c.ownership.shown
	if until <= shown {
		return false
	}
	return until.Sub(shown) >= extendBy || shown.Sub(now) < extendBy
}

// checkZones looks for zones that have become fresh or stale.
func (c *Control) checkZones(now almondstep.Instant) {
	for _, z := range c.zones {
		if open := c.open(now, z); open != c.view.open[z] {
			c.view.open[z] = open
			c.view.placementsDirty = true
		}
	}
}

// firstLive gives the first n live daemons of the own zone for a key.
func (c *Control) firstLive(key string, n int) []almondstep.DaemonID {
	var live []almondstep.DaemonID
	for _, id := range c.rank.Order(key) {
		if len(live) < n && c.prober.Routable(id) {
			live = append(live, id)
		}
	}
	return live
}

// open says whether new work may be sent to a zone.
func (c *Control) open(now almondstep.Instant, z almondstep.ZoneName) bool {
	return !c.catalog.ZoneDrained(z) && c.fresh(now, z)
}

func (c *Control) rebuild(now almondstep.Instant) {
	c.view.placementsDirty = false
	c.view.placementsOld = false
	c.view.rebuiltAt = now
	c.view.placements = c.place()
	c.view.dirty = true
}

func (c *Control) publishIfDirty(out []almondstep.Effect) []almondstep.Effect {
	if !c.view.dirty && c.view.published {
		return out
	}
	c.view.dirty = false
	c.view.published = true
	return append(out, &almondstep.PublishView{View: c.makeView()})
}

func (c *Control) makeView() *almondstep.View {
	c.ownership.shown = c.ownership.until
	return almondstep.NewView(almondstep.ViewSpec{
		Self:        c.cfg.Self,
		Zone:        c.cfg.Zone,
		Revision:    c.revision,
		Catalog:     c.catalog,
		Unready:     c.unready(),
		Placements:  c.view.placements,
		Owned:       c.ownedUpstreams(),
		Quarantined: c.quarantine.prints,
		Peers:       c.peers(),
		Stopping:    c.stopping,
	})
}

// peers gives the addresses of all daemons of the list; it is made anew only
// with a new list.
func (c *Control) peers() map[almondstep.DaemonID]almondstep.Address {
	if c.fleet != nil && c.view.peersOf != c.fleet.Revision {
		c.view.peers = c.prober.Peers()
		c.view.peersOf = c.fleet.Revision
	}
	return c.view.peers
}

// unready says why callers should not be sent here.
func (c *Control) unready() string {
	switch {
	case c.stopping:
		return "stopping"
	case c.catalog == nil:
		return "no configuration"
	case c.fleet == nil:
		return "no list of VMs"
	case c.catalog.ZoneDrained(c.cfg.Zone):
		return "zone " + string(c.cfg.Zone) + " is out of service"
	case c.prober.Left():
		return "leaving"
	case !c.settled:
		return "waiting for the first grant"
	}
	return ""
}
