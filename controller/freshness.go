package controller

import (
	"time"

	"almondstep"
)

const (
	// freshFor is how long a confirmation of the configuration allows work for
	// another zone, which operators may have taken out meanwhile.
	freshFor = 2500 * time.Millisecond
	// zoneProbeEvery is the time between a relay's probes of each other zone.
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
// A sender with a newer configuration confirms nothing.
func (f *freshness) hear(now almondstep.Instant, d *almondstep.Digest, revision almondstep.Revision) {
	theirs := configRevision(d)
	if theirs > revision || theirs == 0 {
		return
	}
	f.confirm(d.Zone, now)
	for _, z := range d.Zones {
		f.confirm(z.Zone, now.Add(-z.Age))
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

// probeZones lets a relay probe a daemon of each other zone.
func (c *Control) probeZones(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if !c.isRelay() || now.Sub(c.lastProbe) < zoneProbeEvery {
		return out
	}
	c.lastProbe = now
	for _, z := range c.zones {
		if z != c.cfg.Zone {
			out = c.prober.ProbeZone(now, z, out)
		}
	}
	return out
}
