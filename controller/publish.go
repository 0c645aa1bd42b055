package controller

import (
	"time"

	"almondstep"
)

// rebuildInterval is the minimum time between rebuilds of all placements for
// changes that can be delayed, such as an upstream that has become warm.
const rebuildInterval = 500 * time.Millisecond

// viewCache holds the parts of the last view, so that a change of one part
// doesn't rebuild the others.
type viewCache struct {
	// dirty is set if a part other than the placements has changed.
	dirty bool
	// placementsDirty is set if the placements may have changed.
	placementsDirty bool
	// membersChanged is set if the set of routable daemons may have changed. It is
	// checked once a tick, since many change at once when a zone is cut off.
	membersChanged bool
	// placementsStale is set if the placements may have changed in a way that can
	// be delayed by rebuildInterval.
	placementsStale bool
	rebuiltAt       almondstep.Instant
	placements      map[almondstep.ServiceName][]almondstep.Placement
	peers           map[almondstep.DaemonID]almondstep.Address
	peersRevision   almondstep.Revision
	// relays are the daemons that watch the platform for the zone.
	relays []almondstep.DaemonID
	// openZones has the zones that may get new work.
	openZones map[almondstep.ZoneName]bool
	// published is set once a view has been published.
	published bool
}

// publish publishes a new view if one of its parts has changed.
func (c *Control) publish(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if c.fleet == nil {
		return c.publishIfDirty(out)
	}
	if c.prober.TakeGrantHoldersChanged() || c.view.membersChanged {
		c.view.membersChanged = false
		c.rankOwned()
		c.view.relays = c.firstLive("relay/"+string(c.cfg.Zone), relaysPerZone)
		c.view.placementsDirty = true
	}
	if c.updateGrants(now) || c.extensionDue(now) {
		c.view.dirty = true
	}
	if c.catalog == nil {
		return c.publishIfDirty(out)
	}
	c.updateOpenZones(now)
	stale := c.view.placementsStale && now.Sub(c.view.rebuiltAt) >= rebuildInterval
	if c.view.placementsDirty || stale {
		c.rebuild(now)
	}
	return c.publishIfDirty(out)
}

// extensionDue reports whether the traffic threads need a new view with the later
// end of the grants: it has moved by minExtension, or the published end is near.
func (c *Control) extensionDue(now almondstep.Instant) bool {
	until, published := c.ownership.until, c.ownership.publishedUntil
	if until <= published {
		return false
	}
	return until.Sub(published) >= minExtension || published.Sub(now) < minExtension
}

// updateOpenZones updates which zones may get new work.
func (c *Control) updateOpenZones(now almondstep.Instant) {
	for _, z := range c.zones {
		if open := c.zoneOpen(now, z); open != c.view.openZones[z] {
			c.view.openZones[z] = open
			c.view.placementsDirty = true
		}
	}
}

// firstLive returns the first n live daemons of the own zone in the rendezvous order
// of a key.
func (c *Control) firstLive(key string, n int) []almondstep.DaemonID {
	var live []almondstep.DaemonID
	for _, id := range c.grantRanker.Order(key) {
		if len(live) < n && c.prober.Routable(id) {
			live = append(live, id)
		}
	}
	return live
}

// zoneOpen reports whether new work may be sent to a zone.
func (c *Control) zoneOpen(now almondstep.Instant, z almondstep.ZoneName) bool {
	return !c.catalog.ZoneDrained(z) && c.zoneFresh(now, z)
}

func (c *Control) rebuild(now almondstep.Instant) {
	c.view.placementsDirty = false
	c.view.placementsStale = false
	c.view.rebuiltAt = now
	c.view.placements = c.buildPlacements()
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
	c.ownership.publishedUntil = c.ownership.until
	return almondstep.NewView(almondstep.ViewSpec{
		Self:        c.cfg.Self,
		Zone:        c.cfg.Zone,
		Revision:    c.revision,
		Catalog:     c.catalog,
		Unready:     c.unready(),
		Placements:  c.view.placements,
		Owned:       c.ownedUpstreams(),
		Quarantined: c.quarantine.Requests(),
		Peers:       c.peers(),
		Stopping:    c.stopping,
	})
}

// peers returns the addresses of the other listed daemons. The map is rebuilt only
// for a new list.
func (c *Control) peers() map[almondstep.DaemonID]almondstep.Address {
	if c.fleet != nil && c.view.peersRevision != c.fleet.Revision {
		c.view.peers = c.prober.Peers()
		c.view.peersRevision = c.fleet.Revision
	}
	return c.view.peers
}

// unready returns the reason why this daemon isn't ready for callers; empty if it
// is.
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
	case !c.ready:
		return "waiting for the first grant"
	}
	return ""
}
