// Package controller is the control partition: it turns documents, probes and
// what traffic reports into one immutable View at a time.
//
// There is one place where "who may send what to whom" is decided, so that a
// traffic thread never sees half a change: a zone taken out, an upstream that
// leaves and a lost owner all arrive there as the next View.
//
// For example, the operators take a zone out:
//
//	DocumentRead config revision 8  -> PublishView without that zone's replicas,
//	                                   SendProbe to 4 daemons with the news
//	ControlTick                     -> nothing: the view hasn't changed
package controller

import (
	"time"

	"almondstep"
	"almondstep/distributor"
	"almondstep/prober"
	"almondstep/ranker"
)

// Config says who this daemon is and how far the other zones are.
type Config struct {
	Self almondstep.DaemonID
	Addr almondstep.Address
	Zone almondstep.ZoneName
	// Distances has the expected one-way delay to each zone.
	Distances map[almondstep.ZoneName]time.Duration
	// Epoch is above that of any earlier start under the same id, such as the
	// Unix time in seconds at the start; 0 means 1.
	Epoch uint32
	// Seed drives all random choices.
	Seed uint64
}

// Control is the control partition's state.
type Control struct {
	cfg    Config
	prober *prober.Prober
	docs   *distributor.Documents

	catalog  *almondstep.Catalog
	revision almondstep.Revision
	fleet    *almondstep.Fleet
	zones    []almondstep.ZoneName
	zoneOf   map[almondstep.DaemonID]almondstep.ZoneName
	rankers  map[almondstep.ZoneName]*ranker.Ranker
	rank     *ranker.Ranker

	marks      marks
	quarantine quarantine
	freshness  freshness
	ownership  ownership
	view       viewCache
	stopping   bool
	settled    bool
}

// New gives a control partition that has no document yet.
func New(cfg Config) *Control {
	c := &Control{cfg: cfg}
	c.marks.init(cfg.Epoch)
	c.quarantine.init()
	c.freshness.init()
	c.ownership.init()
	c.rank = ranker.New(nil)
	c.view.open = make(map[almondstep.ZoneName]bool)
	c.docs = distributor.New(distributor.Config{Self: cfg.Self, Seed: cfg.Seed, Checks: checks()})
	c.prober = prober.New(prober.Config{
		Self:      cfg.Self,
		Addr:      cfg.Addr,
		Zone:      cfg.Zone,
		Epoch:     cfg.Epoch,
		Seed:      cfg.Seed,
		Documents: c.docs.States,
		Zones:     c.describeZones,
	})
	return c
}

// Reduce takes one event and appends what is to be done to out. A grant that has
// lapsed since the last event is dropped before anything else is looked at.
func (c *Control) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if c.ownership.lapsed(now) {
		out = c.publish(now, out)
	}
	switch e := e.(type) {
	case *almondstep.ControlTick:
		out = c.tick(now, out)
	case *almondstep.ProbeArrived:
		out = c.hear(now, distributor.NotAsked, &e.Digest, out)
		c.prober.Arrived(now, e)
		out = c.publish(now, out)
		out = c.prober.Answer(now, e, out)
	case *almondstep.ProbeEnded:
		if e.Digest != nil {
			out = c.hear(now, c.prober.AskedAt(e), e.Digest, out)
		}
		out = c.prober.Ended(now, e, out)
	case *almondstep.PeerObserved:
		out = c.prober.Heard(now, e, out)
	case *almondstep.DocumentRead, *almondstep.PullArrived, *almondstep.PullEnded:
		out = c.docs.Reduce(now, e, out)
		out = c.takeDocuments(now, out)
	case *almondstep.ZoneLeaseRead:
		c.prober.LeaseRead(now, e)
	case *almondstep.MarkUpstream:
		c.markUpstream(e)
	case *almondstep.ReportCrash:
		c.reportCrash(now, e)
	case *almondstep.StopRequested:
		c.stop()
	}
	return c.publish(now, out)
}

// tick moves the clock of all parts.
func (c *Control) tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	out = c.docs.Tick(now, c.isRelay(), out)
	out = c.prober.Tick(now, out)
	out = c.askMate(now, out)
	out = c.askZones(now, out)
	c.settle(now)
	if c.quarantine.expire(now) {
		c.view.dirty = true
	}
	if c.prober.TakeChanged() {
		c.view.membersChanged = true
	}
	return out
}

// hear takes what a peer's digest says of documents, zones, upstreams and
// requests. The prober takes the rest.
func (c *Control) hear(now, sent almondstep.Instant, d *almondstep.Digest, out []almondstep.Effect) []almondstep.Effect {
	out = c.docs.Heard(now, sent, d.From, d.Addr, d.Documents, out)
	if sent != distributor.NotAsked {
		c.freshness.hear(sent, d, c.revision)
	}
	for i := range d.Rumors {
		c.hearRumor(now, &d.Rumors[i])
	}
	return out
}

func (c *Control) hearRumor(now almondstep.Instant, r *almondstep.Rumor) {
	switch r.Kind {
	case almondstep.RumorUpstream:
		if word, news := c.marks.hear(r); news {
			c.temperatureChanged(word.Upstream, word.Temperature)
			c.prober.Spread(word, word.Temperature == almondstep.Leaving)
		}
	case almondstep.RumorQuarantine:
		if c.quarantine.hear(now, r) {
			c.view.dirty = true
			c.prober.Spread(*r, true)
		}
	case almondstep.RumorMember:
	}
}

func (c *Control) markUpstream(e *almondstep.MarkUpstream) {
	r, changed := c.marks.mark(e, c.ownership.byAddr[e.Addr] != nil)
	if !changed {
		return
	}
	c.temperatureChanged(e.Addr, e.Temperature)
	c.prober.Spread(r, e.Temperature == almondstep.Leaving)
}

// temperatureChanged shows a leaving or an own upstream at once, others soon.
func (c *Control) temperatureChanged(addr almondstep.Address, t almondstep.Temperature) {
	c.view.placementsOld = true
	if t == almondstep.Leaving {
		c.view.placementsDirty = true
	}
	if c.ownership.byAddr[addr] != nil {
		c.view.dirty = true
	}
}

func (c *Control) reportCrash(now almondstep.Instant, e *almondstep.ReportCrash) {
	for _, r := range c.quarantine.report(now, e) {
		c.prober.Spread(r, true)
		c.view.dirty = true
	}
}

// stop gives up what this daemon owns. What is under way is finished by the
// traffic threads.
func (c *Control) stop() {
	c.stopping = true
	c.view.dirty = true
	c.view.membersChanged = true
	c.prober.Leave()
}
