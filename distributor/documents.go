package distributor

import (
	"almondstep"
)

// Check validates a body; nil means that it can be applied.
type Check func(body []byte) error

// Config configures Documents.
type Config struct {
	// Self is this daemon's id.
	Self almondstep.DaemonID
	// Seed is the seed of the jitter.
	Seed uint64
	// Checks validate a revision before it is accepted; a document without one is
	// accepted without validation.
	Checks map[almondstep.DocumentName]Check
}

// Documents holds this daemon's revision of each document and retrieves newer
// ones. It is used by one thread.
type Documents struct {
	config *document
	fleet  *document
}

// New returns Documents without any revision.
func New(cfg Config) *Documents {
	// goldenRatio is 2^64 divided by the golden ratio. It gives the two documents
	// different seeds.
	const goldenRatio = 0x9e3779b97f4a7c15
	return &Documents{
		config: newDocument(almondstep.DocumentConfig, cfg, cfg.Seed),
		fleet:  newDocument(almondstep.DocumentFleet, cfg, cfg.Seed^goldenRatio),
	}
}

// Document returns the current revision; nil if there is none. Each new revision
// is a new pointer.
func (d *Documents) Document(name almondstep.DocumentName) *almondstep.Document {
	doc := d.find(name)
	if doc == nil {
		return nil
	}
	return doc.current
}

// States returns the current revisions and the time since the platform confirmed
// them, for a digest.
func (d *Documents) States(now almondstep.Instant) []almondstep.DocumentState {
	return []almondstep.DocumentState{d.config.state(now), d.fleet.state(now)}
}

// Tick starts reads and pulls that are due and abandons those that are overdue.
// relay reports whether this daemon is one of its zone's relays.
func (d *Documents) Tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect {
	out = d.config.tick(now, relay, out)
	return d.fleet.tick(now, relay, out)
}

// Unrequested is the sent instant of a digest that this daemon didn't request.
const Unrequested = almondstep.Instant(-1)

// Observe handles the document states of a peer's digest. sent is when this daemon
// requested the digest, or earlier. The ages in it count from there, so that a digest
// that waited in the socket while this process was paused doesn't count as fresh. The
// ages of an unrequested digest are not used.
func (d *Documents) Observe(
	now, sent almondstep.Instant, from almondstep.DaemonID, addr almondstep.Address,
	states []almondstep.DocumentState, out []almondstep.Effect,
) []almondstep.Effect {
	for _, s := range states {
		if doc := d.find(s.Name); doc != nil {
			at, known := confirmationInstant(sent, s.Age)
			out = doc.observe(now, source{id: from, addr: addr, state: s, lastConfirmed: at, isConfirmed: known}, out)
		}
	}
	return out
}

// Reduce handles a DocumentRead, a PullArrived or a PullEnded.
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

// pullArrived answers a peer's pull with a patch from the revision it holds, or with
// the full text if no patch can be made from that revision.
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
