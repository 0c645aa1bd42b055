package controller

import (
	"time"

	"almondstep"
)

const (
	// freshFor is how long a confirmation of the configuration allows work for
	// another zone, which operators may have taken out meanwhile.
	freshFor = 2500 * time.Millisecond
	// askMateAfter is the age of the platform's word from which a daemon of the
	// own zone is asked for a newer one.
	askMateAfter = 1200 * time.Millisecond
	// askAfter is the age from which a daemon of the other zone itself is asked:
	// one probe may fail before the word is too old.
	askAfter = 1700 * time.Millisecond
	// askEvery is the time between two such probes.
	askEvery = 400 * time.Millisecond
)

// freshness has when a daemon of each other zone last showed that it holds no
// newer configuration than this daemon.
type freshness struct {
	zones     []almondstep.ZoneName
	confirmed map[almondstep.ZoneName]almondstep.Instant
	// next is when a zone may be asked again.
	next map[almondstep.ZoneName]almondstep.Instant
}

func (f *freshness) init() {
	f.confirmed = make(map[almondstep.ZoneName]almondstep.Instant)
	f.next = make(map[almondstep.ZoneName]almondstep.Instant)
}

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

func configRevision(d *almondstep.Digest) almondstep.Revision {
	for _, s := range d.Documents {
		if s.Name == almondstep.DocumentConfig {
			return s.Revision
		}
	}
	return 0
}

// age tells how old the word of a zone is; AgeUnknown if there is none.
func (f *freshness) age(now almondstep.Instant, zone almondstep.ZoneName) time.Duration {
	at, known := f.confirmed[zone]
	if !known {
		return almondstep.AgeUnknown
	}
	return now.Sub(at)
}

// describeZones passes the zones' word on while the platform doesn't answer.
func (c *Control) describeZones(now almondstep.Instant) []almondstep.ZoneConfirmation {
	if c.platformAge(now) <= askAfter {
		return nil
	}
	return c.freshness.describe(now)
}

// platformAge tells how long ago the platform confirmed the configuration.
func (c *Control) platformAge(now almondstep.Instant) time.Duration {
	for _, s := range c.docs.States(now) {
		if s.Name == almondstep.DocumentConfig {
			return s.Age
		}
	}
	return almondstep.AgeUnknown
}

// confirmedAge tells how long ago the platform or a daemon of the zone confirmed
// the configuration in force here.
func (c *Control) confirmedAge(now almondstep.Instant, zone almondstep.ZoneName) time.Duration {
	return min(c.platformAge(now), c.freshness.age(now, zone))
}

// fresh says whether work may be sent to a zone: its own always, another one
// only if it can't have been taken out more than a moment ago.
func (c *Control) fresh(now almondstep.Instant, zone almondstep.ZoneName) bool {
	return zone == c.cfg.Zone || c.confirmedAge(now, zone) <= freshFor
}

// askMate probes a daemon of the own zone if the platform's word gets old here:
// another one is likely to have a newer word.
func (c *Control) askMate(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	age := c.platformAge(now)
	if age <= askMateAfter || age > askAfter || now < c.freshness.next[c.cfg.Zone] {
		return out
	}
	c.freshness.next[c.cfg.Zone] = now.Add(askEvery)
	return c.prober.ProbeZone(now, c.cfg.Zone, out)
}

// askZones probes a daemon of each zone whose word gets old. While the platform
// answers, its word reaches every daemon in time and nobody need be asked.
func (c *Control) askZones(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if c.catalog == nil {
		return out
	}
	for _, z := range c.zones {
		if z == c.cfg.Zone || c.catalog.ZoneDrained(z) || now < c.freshness.next[z] {
			continue
		}
		if c.confirmedAge(now, z) <= askAfter {
			continue
		}
		c.freshness.next[z] = now.Add(askEvery)
		out = c.prober.ProbeZone(now, z, out)
	}
	return out
}
