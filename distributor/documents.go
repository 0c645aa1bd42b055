package distributor

import (
	"almondstep"
)

// Check says why a body can't be taken into force; nil if it can.
type Check func(body []byte) error

// Config is what Documents needs to know.
type Config struct {
	// Self is this daemon's id.
	Self almondstep.DaemonID
	// Seed starts the jitter.
	Seed uint64
	// Checks are asked before an edition is taken; a document without one is
	// taken as it is.
	Checks map[almondstep.DocumentName]Check
}

// Documents holds this daemon's edition of each document and brings newer ones.
// It is used by one thread.
type Documents struct {
	config *document
	fleet  *document
}

// New gives documents of which no edition is held yet.
func New(cfg Config) *Documents {
	const golden = 0x9e3779b97f4a7c15
	return &Documents{
		config: newDocument(almondstep.DocumentConfig, cfg, cfg.Seed),
		fleet:  newDocument(almondstep.DocumentFleet, cfg, cfg.Seed^golden),
	}
}

// Config is the edition of the operators' text held here; nil if there is none.
// A new edition is a new pointer.
func (d *Documents) Config() *almondstep.Document { return d.config.current }

// Fleet is the edition of the list of VMs held here; nil if there is none. A
// new edition is a new pointer.
func (d *Documents) Fleet() *almondstep.Document { return d.fleet.current }

// State says which editions are held and how long ago the platform confirmed
// them, for a digest.
func (d *Documents) State(now almondstep.Instant) []almondstep.DocumentState {
	return []almondstep.DocumentState{d.config.state(now), d.fleet.state(now)}
}

// SetRelay says whether this daemon is one of its zone's relays.
func (d *Documents) SetRelay(relay bool) {
	d.config.setRelay(relay)
	d.fleet.setRelay(relay)
}

// Tick starts reads and pulls that are due and gives up those that are overdue.
func (d *Documents) Tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	out = d.config.tick(now, out)
	return d.fleet.tick(now, out)
}

// NotAsked is the sent instant of a digest that came unasked.
const NotAsked = almondstep.Instant(-1)

// Hear takes the document states of a peer's digest. Sent is when this daemon
// asked for the digest: the ages in it count from there, so that a digest that
// lay in a paused process's socket isn't taken for fresh. Those of a digest that
// came unasked are not used.
func (d *Documents) Hear(now, sent almondstep.Instant, g *almondstep.Digest, out []almondstep.Effect) []almondstep.Effect {
	for _, s := range g.Documents {
		if doc := d.find(s.Name); doc != nil {
			out = doc.hear(now, sent, g, s, out)
		}
	}
	return out
}

// Read takes a document from the platform.
func (d *Documents) Read(now almondstep.Instant, e *almondstep.DocumentRead, out []almondstep.Effect) []almondstep.Effect {
	if doc := d.find(e.Name); doc != nil {
		out = doc.read(now, e, out)
	}
	return out
}

// PullArrived answers a peer's pull with a patch from the edition it holds, or
// the full text if that edition is too old to be known here.
func (d *Documents) PullArrived(e *almondstep.PullArrived, out []almondstep.Effect) []almondstep.Effect {
	reply := &almondstep.ReplyPull{Call: e.Call}
	if doc := d.find(e.Have.Name); doc != nil {
		reply.Patch = doc.patchFor(e.Have)
	}
	return append(out, reply)
}

// PullEnded takes a peer's answer to a pull.
func (d *Documents) PullEnded(now almondstep.Instant, e *almondstep.PullEnded, out []almondstep.Effect) []almondstep.Effect {
	if doc := d.find(e.Name); doc != nil {
		out = doc.pullEnded(now, e, out)
	}
	return out
}

func (d *Documents) find(name almondstep.DocumentName) *document {
	switch name {
	case almondstep.DocumentConfig:
		return d.config
	case almondstep.DocumentFleet:
		return d.fleet
	default:
		return nil
	}
}
