package controller

import (
	"time"

	"almondstep"
)

const (
	// maxConfirmationAge is how long after a confirmation of the configuration work
	// may be sent to another zone, which may have been drained since.
	maxConfirmationAge = 2500 * time.Millisecond
	// probeOwnZoneAfter is the age of the platform's confirmation above which a
	// daemon of the own zone is probed for a newer confirmation.
	probeOwnZoneAfter = 1200 * time.Millisecond
	// probeZoneAfter is the age above which a daemon of the other zone itself is
	// probed. One probe may fail before the confirmation is too old.
	probeZoneAfter = 1700 * time.Millisecond
	// probeInterval is the minimum time between two such probes of one zone.
	probeInterval = 400 * time.Millisecond
)

// freshness records when a daemon of each zone last confirmed that it holds no newer
// configuration than this daemon.
type freshness struct {
	zones       []almondstep.ZoneName
	confirmedAt map[almondstep.ZoneName]almondstep.Instant
	// nextProbe is the earliest time at which a zone may be probed again.
	nextProbe map[almondstep.ZoneName]almondstep.Instant
}

func (f *freshness) init() {
	f.confirmedAt = make(map[almondstep.ZoneName]almondstep.Instant)
	f.nextProbe = make(map[almondstep.ZoneName]almondstep.Instant)
}

// receive records the confirmation by a digest's sender for the sender's zone, and
// those that the digest forwards for other zones. Their ages count from sent, when
// the digest was requested. A sender with a newer configuration confirms nothing.
func (f *freshness) receive(sent almondstep.Instant, d *almondstep.Digest, revision almondstep.Revision) {
	peerRevision := configRevision(d)
	if peerRevision > revision || peerRevision == 0 {
		return
	}
	f.confirm(d.Zone, sent)
	for _, z := range d.Zones {
		f.confirm(z.Zone, sent.Add(-z.Age))
	}
}

func (f *freshness) confirm(zone almondstep.ZoneName, at almondstep.Instant) {
	previous, known := f.confirmedAt[zone]
	if !known {
		f.zones = append(f.zones, zone)
	}
	if !known || at > previous {
		f.confirmedAt[zone] = at
	}
}

// confirmations returns the confirmations that haven't expired, with their ages.
func (f *freshness) confirmations(now almondstep.Instant) []almondstep.ZoneConfirmation {
	var ages []almondstep.ZoneConfirmation
	for _, z := range f.zones {
		if age := now.Sub(f.confirmedAt[z]); age <= maxConfirmationAge {
			ages = append(ages, almondstep.ZoneConfirmation{Zone: z, Age: age})
		}
	}
	return ages
}

func configRevision(d *almondstep.Digest) almondstep.Revision {
	for _, s := range d.Documents {
		if s.Name == almondstep.DocumentConfig {
			return s.Revision
		}
	}
	return 0
}

// age returns the age of a zone's last confirmation; AgeUnknown if there is none.
func (f *freshness) age(now almondstep.Instant, zone almondstep.ZoneName) time.Duration {
	at, known := f.confirmedAt[zone]
	if !known {
		return almondstep.AgeUnknown
	}
	return now.Sub(at)
}

// zoneConfirmations returns the zone confirmations to forward in digests; nil while
// the platform's confirmation is recent.
func (c *Control) zoneConfirmations(now almondstep.Instant) []almondstep.ZoneConfirmation {
	if c.platformAge(now) <= probeZoneAfter {
		return nil
	}
	return c.freshness.confirmations(now)
}

// platformAge returns the time since the platform confirmed the configuration.
func (c *Control) platformAge(now almondstep.Instant) time.Duration {
	for _, s := range c.docs.States(now) {
		if s.Name == almondstep.DocumentConfig {
			return s.Age
		}
	}
	return almondstep.AgeUnknown
}

// confirmedAge returns the time since the platform or a daemon of the zone
// confirmed the configuration in force here.
func (c *Control) confirmedAge(now almondstep.Instant, zone almondstep.ZoneName) time.Duration {
	return min(c.platformAge(now), c.freshness.age(now, zone))
}

// zoneFresh reports whether the configuration is recent enough to send work to a
// zone: always for the own zone, for another one only after a recent confirmation.
func (c *Control) zoneFresh(now almondstep.Instant, zone almondstep.ZoneName) bool {
	return zone == c.cfg.Zone || c.confirmedAge(now, zone) <= maxConfirmationAge
}

// probeOwnZone probes a daemon of the own zone if this daemon's confirmation by the
// platform is getting old: the other daemon is likely to have a newer one. Above
// probeZoneAfter probeOtherZones takes over.
func (c *Control) probeOwnZone(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	age := c.platformAge(now)
	if age <= probeOwnZoneAfter || age > probeZoneAfter || now < c.freshness.nextProbe[c.cfg.Zone] {
		return out
	}
	c.freshness.nextProbe[c.cfg.Zone] = now.Add(probeInterval)
	return c.prober.ProbeZone(now, c.cfg.Zone, out)
}

// probeOtherZones probes a daemon of each zone whose confirmation is getting old. While
// the platform answers, its confirmations reach every daemon in time and no zone
// needs to be probed.
func (c *Control) probeOtherZones(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if c.catalog == nil {
		return out
	}
	for _, z := range c.zones {
		if z == c.cfg.Zone || c.catalog.ZoneDrained(z) || now < c.freshness.nextProbe[z] {
			continue
		}
		if c.confirmedAge(now, z) <= probeZoneAfter {
			continue
		}
		c.freshness.nextProbe[z] = now.Add(probeInterval)
		out = c.prober.ProbeZone(now, z, out)
	}
	return out
}
