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

// Document gives the edition held here; nil if there is none. A new edition is
// a new pointer.
func (d *Documents) Document(name almondstep.DocumentName) *almondstep.Document {
	doc := d.find(name)
	if doc == nil {
		return nil
	}
	return doc.current
}

// States says which editions are held and how long ago the platform confirmed
// them, for a digest.
func (d *Documents) States(now almondstep.Instant) []almondstep.DocumentState {
	return []almondstep.DocumentState{d.config.state(now), d.fleet.state(now)}
}

// Tick starts reads and pulls that are due and gives up those that are overdue.
// Relay says whether this daemon is one of its zone's relays.
func (d *Documents) Tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect {
	out = d.config.tick(now, relay, out)
	return d.fleet.tick(now, relay, out)
}

// NotAsked is the sent instant of a digest that came unasked.
const NotAsked = almondstep.Instant(-1)

// Heard takes the document states of a peer's digest. Sent is when this daemon
// asked for the digest, or earlier: the ages in it count from there, so that a
// digest that lay in a paused process's socket isn't taken for fresh. Those of
// a digest that came unasked are not used.
func (d *Documents) Heard(
	now, sent almondstep.Instant, from almondstep.DaemonID, addr almondstep.Address,
	states []almondstep.DocumentState, out []almondstep.Effect,
) []almondstep.Effect {
	for _, s := range states {
		if doc := d.find(s.Name); doc != nil {
			at, known := agedAt(sent, s.Age)
			out = doc.hear(now, teller{id: from, addr: addr, state: s, confirmed: at, known: known}, out)
		}
	}
	return out
}

// Reduce takes a DocumentRead, a PullArrived or a PullEnded.
func (d *Documents) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.DocumentRead:
		if doc := d.find(e.Name); doc != nil {
			return doc.read(now, e, out)
		}
	case *almondstep.PullArrived:
		return d.pullArrived(e, out)
	case *almondstep.PullEnded:
		if doc := d.find(e.Name); doc != nil {
			return doc.pullEnded(now, e, out)
		}
	}
	return out
}

// pullArrived answers a peer's pull with a patch from the edition it holds, or
// the full text if that edition is too old to be known here.
func (d *Documents) pullArrived(e *almondstep.PullArrived, out []almondstep.Effect) []almondstep.Effect {
	reply := &almondstep.ReplyPull{Call: e.Call}
	if doc := d.find(e.Have.Name); doc != nil {
		reply.Patch = doc.patchFor(e.Have)
	}
	return append(out, reply)
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
