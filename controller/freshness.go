package controller

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// freshFor is how long a confirmation of the configuration allows work for
	// another zone, which operators may have taken out meanwhile.
	freshFor = 2500 * time.Millisecond
	// zoneProbeEvery is the time between a link's probes of its other zone.
	zoneProbeEvery = time.Second
)

// freshness has when a daemon of each other zone last showed that it holds no
// newer configuration than this daemon.
type freshness struct {
	zones     []almondstep.ZoneName
	confirmed map[almondstep.ZoneName]almondstep.Instant
}

func (f *freshness) init() { f.confirmed = make(map[almondstep.ZoneName]almondstep.Instant) }

// hear takes a digest's word for its own zone and what it passes on of others.
// Its ages count from sent, when it was asked for. A sender with a newer
// configuration confirms nothing.
func (f *freshness) hear(sent almondstep.Instant, d *almondstep.Digest, revision almondstep.Revision) {
	theirs := configRevision(d)
	if theirs > revision || theirs == 0 {
		return
	}
	f.confirm(d.Zone, sent)
	for _, z := range d.Zones {
		f.confirm(z.Zone, sent.Add(-z.Age))
	}
}

func (f *freshness) confirm(zone almondstep.ZoneName, at almondstep.Instant) {
	was, known := f.confirmed[zone]
	if !known {
		f.zones = append(f.zones, zone)
	}
	if !known || at > was {
		f.confirmed[zone] = at
	}
}

// describe gives the ages still worth passing on.
func (f *freshness) describe(now almondstep.Instant) []almondstep.ZoneConfirmation {
	var ages []almondstep.ZoneConfirmation
	for _, z := range f.zones {
		if age := now.Sub(f.confirmed[z]); age <= freshFor {
			ages = append(ages, almondstep.ZoneConfirmation{Zone: z, Age: age})
		}
	}
	return ages
}

func (f *freshness) fresh(now almondstep.Instant, zone almondstep.ZoneName) bool {
	at, known := f.confirmed[zone]
	return known && now.Sub(at) <= freshFor
}

func configRevision(d *almondstep.Digest) almondstep.Revision {
	for _, s := range d.Documents {
		if s.Name == almondstep.DocumentConfig {
			return s.Revision
		}
	}
	return 0
}

// fresh says whether work may be sent to a zone: its own always, another one
// only if it can't have been taken out more than a moment ago.
func (c *Control) fresh(now almondstep.Instant, zone almondstep.ZoneName) bool {
	return zone == c.cfg.Zone || c.platformFresh(now) || c.freshness.fresh(now, zone)
}

func (c *Control) platformFresh(now almondstep.Instant) bool {
	for _, s := range c.docs.States(now) {
		if s.Name == almondstep.DocumentConfig {
			return s.Age <= freshFor
		}
	}
	return false
}

// linksPerZone is how many daemons of a zone probe each other zone.
const linksPerZone = 2

// electLinks finds the zones this daemon probes for its own. Each other zone has
// its own two daemons here, so that the cost is shared.
func (c *Control) electLinks() {
	c.view.links = c.view.links[:0]
	for _, z := range c.zones {
		if z != c.cfg.Zone && slices.Contains(c.firstLive("link/"+string(z), linksPerZone), c.cfg.Self) {
			c.view.links = append(c.view.links, z)
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

// probeZones probes a daemon of each zone this one is the link to.
func (c *Control) probeZones(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if now.Sub(c.lastProbe) < zoneProbeEvery {
		return out
	}
	c.lastProbe = now
	for _, z := range c.view.links {
		out = c.prober.ProbeZone(now, z, out)
	}
	return out
}
