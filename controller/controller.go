// Package controller is the control partition: it turns documents, probes and
// reports from traffic into one immutable View at a time.
//
// Which daemon may send work to which upstream is decided in one place, so that a
// traffic thread never uses a partial change: a drained zone, an upstream that
// leaves and a lost owner each take effect with the next View.
//
// For example, an operator drains a zone:
//
//	DocumentRead config revision 8  -> PublishView without that zone's replicas
//	ControlTick                     -> SendProbe to 4 daemons with the new revision;
//	                                   no PublishView, since no part has changed
package controller

import (
	"time"

	"almondstep"
	"almondstep/distributor"
	"almondstep/prober"
	"almondstep/quarantiner"
	"almondstep/ranker"
)

// Config holds this daemon's identity and the distances to the other zones.
type Config struct {
	Self almondstep.DaemonID
	Addr almondstep.Address
	Zone almondstep.ZoneName
	// Distances is the expected one-way delay to each zone.
	Distances map[almondstep.ZoneName]time.Duration
	// Epoch is greater than at any earlier start under the same id, such as the
	// Unix time in seconds at the start; 0 means 1.
	Epoch uint32
	// Seed is the seed of the random generators.
	Seed uint64
}

// Control is the control partition's state.
type Control struct {
	cfg    Config
	prober *prober.Prober
	docs   *distributor.Documents

	catalog *almondstep.Catalog
	// revision is the newest revision of the configuration, even if it was rejected.
	revision almondstep.Revision
	fleet    *almondstep.Fleet
	zones    []almondstep.ZoneName
	zoneOf   map[almondstep.DaemonID]almondstep.ZoneName
	// rankers rank the listed daemons of each zone.
	rankers map[almondstep.ZoneName]*ranker.Ranker
	// grantRanker ranks the daemons of the own zone that may hold a grant.
	grantRanker *ranker.Ranker

	states     upstreamStates
	quarantine quarantiner.Quarantine
	freshness  freshness
	ownership  ownership
	view       viewCache
	stopping   bool
	ready      bool
}

// New returns a control partition without any document.
func New(cfg Config) *Control {
	c := &Control{cfg: cfg}
	c.states.init(cfg.Epoch)
	c.quarantine = newQuarantine()
	c.freshness.init()
	c.ownership.init()
	c.grantRanker = ranker.New(nil)
	c.view.openZones = make(map[almondstep.ZoneName]bool)
	c.docs = distributor.New(distributor.Config{Self: cfg.Self, Seed: cfg.Seed, Checks: checks()})
	c.prober = prober.New(prober.Config{
		Self:      cfg.Self,
		Addr:      cfg.Addr,
		Zone:      cfg.Zone,
		Epoch:     cfg.Epoch,
		Seed:      cfg.Seed,
		Documents: c.docs.States,
		Zones:     c.zoneConfirmations,
	})
	return c
}

// Reduce handles one event and appends the resulting effects to out. Expired
// grants are dropped before the event is handled.
func (c *Control) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if c.ownership.expired(now) {
		out = c.publish(now, out)
	}
	switch e := e.(type) {
	case *almondstep.ControlTick:
		out = c.tick(now, out)
	case *almondstep.ProbeArrived:
		out = c.receiveDigest(now, distributor.Unrequested, &e.Digest, out)
		c.prober.ProbeArrived(now, e)
		out = c.publish(now, out)
		out = c.prober.AnswerProbe(now, e, out)
	case *almondstep.ProbeEnded:
		if e.Digest != nil {
			out = c.receiveDigest(now, c.prober.ProbeSentAt(e), e.Digest, out)
		}
		out = c.prober.ProbeEnded(now, e, out)
	case *almondstep.PeerObserved:
		out = c.prober.CallObserved(now, e, out)
	case *almondstep.DocumentRead, *almondstep.PullArrived, *almondstep.PullEnded:
		out = c.docs.Reduce(now, e, out)
		out = c.applyDocuments(now, out)
	case *almondstep.ZoneLeaseRead:
		c.prober.ZoneLeaseRead(now, e)
	case *almondstep.MarkUpstream:
		c.markUpstream(e)
	case *almondstep.ReportCrash:
		c.reportCrash(now, e)
	case *almondstep.StopRequested:
		c.stop()
	}
	return c.publish(now, out)
}

// tick does the periodic work of all parts.
func (c *Control) tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	out = c.docs.Tick(now, c.isRelay(), out)
	out = c.prober.Tick(now, out)
	out = c.probeOwnZone(now, out)
	out = c.probeOtherZones(now, out)
	c.updateReady(now)
	if c.quarantine.Expire(now) {
		c.view.dirty = true
	}
	if c.prober.TakeRoutingChanged() {
		c.view.membersChanged = true
	}
	return out
}

// receiveDigest handles the document states, the zone confirmations and the rumors
// about upstreams and requests in a peer's digest. The prober handles the rest.
func (c *Control) receiveDigest(now, sent almondstep.Instant, d *almondstep.Digest, out []almondstep.Effect) []almondstep.Effect {
	out = c.docs.Observe(now, sent, d.From, d.Addr, d.Documents, out)
	if sent != distributor.Unrequested {
		c.freshness.receive(sent, d, c.revision)
	}
	for i := range d.Rumors {
		c.receiveRumor(now, &d.Rumors[i])
	}
	return out
}

func (c *Control) receiveRumor(now almondstep.Instant, r *almondstep.Rumor) {
	switch r.Kind {
	case almondstep.RumorUpstream:
		if update, changed := c.states.receive(r); changed {
			c.temperatureChanged(update.Upstream, update.Temperature)
			c.prober.Spread(update, update.Temperature == almondstep.Leaving)
		}
	case almondstep.RumorQuarantine:
		if receiveQuarantine(now, &c.quarantine, r) {
			c.view.dirty = true
			c.prober.Spread(*r, true)
		}
	case almondstep.RumorMember:
	}
}

func (c *Control) markUpstream(e *almondstep.MarkUpstream) {
	r, changed := c.states.observe(e, c.ownership.byAddr[e.Addr] != nil)
	if !changed {
		return
	}
	c.temperatureChanged(e.Addr, e.Temperature)
	c.prober.Spread(r, e.Temperature == almondstep.Leaving)
}

// temperatureChanged schedules a new view: at once for a leaving or owned
// upstream, within rebuildInterval for others.
func (c *Control) temperatureChanged(addr almondstep.Address, t almondstep.Temperature) {
	c.view.placementsStale = true
	if t == almondstep.Leaving {
		c.view.placementsDirty = true
	}
	if c.ownership.byAddr[addr] != nil {
		c.view.dirty = true
	}
}

func (c *Control) reportCrash(now almondstep.Instant, e *almondstep.ReportCrash) {
	for _, r := range quarantineRumors(now, &c.quarantine, e) {
		c.prober.Spread(r, true)
		c.view.dirty = true
	}
}

// stop releases the upstreams that this daemon owns. The traffic threads still
// finish the requests in flight.
func (c *Control) stop() {
	c.stopping = true
	c.view.dirty = true
	c.view.membersChanged = true
	c.prober.Leave()
}
