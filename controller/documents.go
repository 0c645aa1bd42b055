package controller

import (
	"encoding/json"
	"fmt"
	"slices"

	"almondstep"
	"almondstep/parser"
	"almondstep/ranker"
)

// documents holds this daemon's copy of the operators' text and of the list of
// VMs, and keeps it up to date.
type documents interface {
	// Reduce takes a DocumentRead, a PullArrived or a PullEnded.
	Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect
	// Tick asks the platform; a relay watches it all the time.
	Tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect
	// Heard pulls what a peer has newer. The ages in states count from sent, when
	// this daemon asked; notAsked if it didn't.
	Heard(now, sent almondstep.Instant, from almondstep.DaemonID, addr almondstep.Address, states []almondstep.DocumentState, out []almondstep.Effect) []almondstep.Effect
	// States says what is held.
	States(now almondstep.Instant) []almondstep.DocumentState
	// Document gives the newest edition, nil if there is none.
	Document(name almondstep.DocumentName) *almondstep.Document
}

// notAsked is when a digest that came unasked was asked for. It may have lain in
// a paused process's socket, so that its ages mean nothing.
const notAsked = almondstep.Instant(-1)

// relaysPerZone is how many daemons of a zone watch the platform.
const relaysPerZone = 2

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
		if was.ZoneOut(vm.Zone) && !is.ZoneOut(vm.Zone) {
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
