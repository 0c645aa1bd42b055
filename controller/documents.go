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

// relaysPerZone is how many daemons of a zone watch the platform.
const relaysPerZone = 2

// checks tell which editions can be put in force; others are reported and never
// taken.
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

// isRelay says whether this daemon watches the platform for its zone.
func (c *Control) isRelay() bool {
	return slices.Contains(c.view.relays, c.cfg.Self)
}

// takeDocuments puts newer editions in force. Each is news for the peers.
func (c *Control) takeDocuments(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if d := c.docs.Document(almondstep.DocumentFleet); d != nil && (c.fleet == nil || d.Revision > c.fleet.Revision) {
		out = c.takeFleet(now, d, out)
	}
	if d := c.docs.Document(almondstep.DocumentConfig); d != nil && d.Revision > c.revision {
		out = c.takeConfig(d, out)
	}
	return out
}

func (c *Control) takeConfig(d *almondstep.Document, out []almondstep.Effect) []almondstep.Effect {
	c.revision = d.Revision
	c.prober.Push()
	catalog, err := parser.Parse(d.Body)
	if err != nil {
		return append(out, &almondstep.Report{
			Level:   almondstep.ReportWarn,
			Message: "configuration refused: " + err.Error(),
			Subject: fmt.Sprintf("revision %d", d.Revision),
		})
	}
	if c.catalog != nil {
		c.warmAnew(c.catalog, catalog)
	}
	c.catalog = catalog
	c.view.placementsDirty = true
	return out
}

// warmAnew treats the upstreams of a zone that is brought back as cold.
func (c *Control) warmAnew(was, is *almondstep.Catalog) {
	if c.fleet == nil {
		return
	}
	for i := range c.fleet.Upstreams {
		vm := &c.fleet.Upstreams[i]
		if was.ZoneDrained(vm.Zone) && !is.ZoneDrained(vm.Zone) {
			c.marks.cool(vm.Addr)
		}
	}
}

func (c *Control) takeFleet(now almondstep.Instant, d *almondstep.Document, out []almondstep.Effect) []almondstep.Effect {
	var f almondstep.Fleet
	if err := json.Unmarshal(d.Body, &f); err != nil {
		return append(out, &almondstep.Report{
			Level:   almondstep.ReportWarn,
			Message: "list of VMs refused: " + err.Error(),
			Subject: fmt.Sprintf("revision %d", d.Revision),
		})
	}
	f.Revision = d.Revision
	c.fleet = &f
	c.prober.SetFleet(now, &f)
	c.marks.setFleet(&f)
	c.indexZones()
	c.followList()
	c.prober.Push()
	c.view.placementsDirty = true
	return out
}

// indexZones ranks each zone's daemons.
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

// followList gives up what this daemon owns while the list says that its VM is
// about to go.
func (c *Control) followList() {
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
