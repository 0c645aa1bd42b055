package controller

import (
	"encoding/json"
	"fmt"
	"slices"

	"almondstep"
	"almondstep/distributor"
	"almondstep/parser"
	"almondstep/ranker"
)

// relaysPerZone is the number of daemons per zone that watch the platform.
const relaysPerZone = 2

// checks returns the validation of each document. A revision that fails it is
// reported and not applied.
func checks() map[almondstep.DocumentName]distributor.Check {
	return map[almondstep.DocumentName]distributor.Check{
		almondstep.DocumentConfig: func(body []byte) error {
			_, err := parser.Parse(body)
			return err
		},
		almondstep.DocumentFleet: func(body []byte) error {
			var f almondstep.Fleet
			return json.Unmarshal(body, &f)
		},
	}
}

// isRelay reports whether this daemon watches the platform for its zone.
func (c *Control) isRelay() bool {
	return slices.Contains(c.view.relays, c.cfg.Self)
}

// applyDocuments applies newer revisions. The next probes announce them to peers.
func (c *Control) applyDocuments(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if d := c.docs.Document(almondstep.DocumentFleet); d != nil && (c.fleet == nil || d.Revision > c.fleet.Revision) {
		out = c.applyFleet(now, d, out)
	}
	if d := c.docs.Document(almondstep.DocumentConfig); d != nil && d.Revision > c.revision {
		out = c.applyConfig(d, out)
	}
	return out
}

func (c *Control) applyConfig(d *almondstep.Document, out []almondstep.Effect) []almondstep.Effect {
	c.revision = d.Revision
	c.prober.Push()
	catalog, err := parser.Parse(d.Body)
	if err != nil {
		return append(out, &almondstep.Report{
			Level:   almondstep.ReportWarn,
			Message: "configuration rejected: " + err.Error(),
			Subject: fmt.Sprintf("revision %d", d.Revision),
		})
	}
	if c.catalog != nil {
		c.resetRestoredZones(c.catalog, catalog)
	}
	c.catalog = catalog
	c.view.placementsDirty = true
	return out
}

// resetRestoredZones marks the upstreams of a zone that is no longer drained as
// cold.
func (c *Control) resetRestoredZones(previous, next *almondstep.Catalog) {
	if c.fleet == nil {
		return
	}
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if previous.ZoneDrained(vm.Zone) && !next.ZoneDrained(vm.Zone) {
			c.states.resetToCold(vm.Addr)
		}
	}
}

func (c *Control) applyFleet(now almondstep.Instant, d *almondstep.Document, out []almondstep.Effect) []almondstep.Effect {
	var f almondstep.Fleet
	if err := json.Unmarshal(d.Body, &f); err != nil {
		return append(out, &almondstep.Report{
			Level:   almondstep.ReportWarn,
			Message: "list of VMs rejected: " + err.Error(),
			Subject: fmt.Sprintf("revision %d", d.Revision),
		})
	}
	f.Revision = d.Revision
	c.fleet = &f
	c.prober.SetFleet(now, &f)
	c.states.setFleet(&f)
	c.indexZones()
	c.applyOwnState()
	c.prober.Push()
	c.view.placementsDirty = true
	return out
}

// indexZones builds a ranker of the daemons of each zone.
func (c *Control) indexZones() {
	ids := make(map[almondstep.ZoneName][]almondstep.DaemonID)
	c.zoneOf = make(map[almondstep.DaemonID]almondstep.ZoneName, len(c.fleet.Daemons))
	c.zones = c.zones[:0]
	for _, vm := range c.fleet.Daemons {
		if ids[vm.Zone] == nil {
			c.zones = append(c.zones, vm.Zone)
		}
		ids[vm.Zone] = append(ids[vm.Zone], vm.ID)
		c.zoneOf[vm.ID] = vm.Zone
	}
	c.rankers = make(map[almondstep.ZoneName]*ranker.Ranker, len(ids))
	for _, z := range c.zones {
		c.rankers[z] = ranker.New(ids[z])
	}
}

// applyOwnState releases the upstreams that this daemon owns while the list of VMs
// has its own VM as leaving.
func (c *Control) applyOwnState() {
	for _, vm := range c.fleet.Daemons {
		switch {
		case vm.ID != c.cfg.Self:
		case vm.State == almondstep.VMLeaving:
			c.prober.Leave()
		case !c.stopping:
			c.prober.Rejoin()
		}
	}
}
