package distributor

import (
	"fmt"
	"slices"
	"time"

	"almondstep"
	"almondstep/patcher"
)

const (
	// pullTimeout is how long a peer may take to answer a pull.
	pullTimeout = time.Second
	// pullBackoff and maxPullBackoff bound the pause after a failed pull.
	pullBackoff    = 100 * time.Millisecond
	maxPullBackoff = 2 * time.Second
	// maxTellers bounds the peers remembered as having a newer edition.
	maxTellers = 8
)

// teller is a peer that said it has a newer edition.
type teller struct {
	id    almondstep.DaemonID
	addr  almondstep.Address
	state almondstep.DocumentState
	// confirmed is when the platform confirmed that edition, as far as known.
	confirmed almondstep.Instant
	known     bool
}

// puller is what is under way at peers.
type puller struct {
	random jitter
	// tellers stand with the highest revision first.
	tellers []teller
	open    bool
	from    teller
	asked   almondstep.Instant
	next    almondstep.Instant
	fails   int
	// full says that the next pull asks for the full text, since a patch failed.
	full bool
}

// hear takes what a peer says of its edition.
func (d *document) hear(now almondstep.Instant, t teller, out []almondstep.Effect) []almondstep.Effect {
	s := t.state
	switch {
	case s.Revision < d.revision() || s.Revision == 0:
		return out
	case s.Revision == d.unsound.revision && s.Hash == d.unsound.hash:
		return out
	case s.Revision > d.revision():
		d.puller.add(t)
		return d.tickPull(now, out)
	case s.Hash != d.hash():
		next := &almondstep.Document{Revision: s.Revision, Hash: s.Hash}
		return d.refuse(next, string(t.id), "another text than the one held under this revision", out)
	}
	if t.known {
		d.confirm(t.confirmed)
	}
	return out
}

// agedAt turns the age in a digest into an instant of this daemon's clock.
func agedAt(sent almondstep.Instant, age time.Duration) (almondstep.Instant, bool) {
	if sent == NotAsked || age == almondstep.AgeUnknown || age < 0 {
		return 0, false
	}
	return sent.Add(-age), true
}

// add remembers a teller, with its newest word.
func (p *puller) add(t teller) {
	p.tellers = slices.DeleteFunc(p.tellers, func(o teller) bool { return o.id == t.id })
	at, _ := slices.BinarySearchFunc(p.tellers, t, func(a, b teller) int {
		if a.state.Revision >= b.state.Revision {
			return -1
		}
		return 1
	})
	p.tellers = slices.Insert(p.tellers, at, t)
	if len(p.tellers) > maxTellers {
		p.tellers = p.tellers[:maxTellers]
	}
}

// forgetBelow drops the tellers that have nothing above revision.
func (p *puller) forgetBelow(revision almondstep.Revision) {
	p.tellers = slices.DeleteFunc(p.tellers, func(t teller) bool { return t.state.Revision <= revision })
	p.fails = 0
}

func (d *document) tickPull(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	p := &d.puller
	if p.open && now.Sub(p.asked) > pullTimeout {
		d.pullFailed(now)
	}
	if p.open || now < p.next || len(p.tellers) == 0 {
		return out
	}
	p.from = p.tellers[0]
	p.tellers = slices.Delete(p.tellers, 0, 1)
	p.open = true
	p.asked = now
	have := d.state(now)
	if p.full {
		have.Hash = ""
	}
	return append(out, &almondstep.SendPull{To: p.from.id, Addr: p.from.addr, Have: have})
}

// pullFailed lets the next teller be asked: the first at once, later ones with
// a growing pause.
func (d *document) pullFailed(now almondstep.Instant) {
	p := &d.puller
	p.open = false
	if p.fails > 0 {
		pause := backoff(pullBackoff, maxPullBackoff, p.fails)
		p.next = now.Add(pause/2 + p.random.below(pause/2))
	}
	p.fails++
}

func (d *document) pullEnded(now almondstep.Instant, e *almondstep.PullEnded, out []almondstep.Effect) []almondstep.Effect {
	p := &d.puller
	expected := p.open && p.from.id == e.From
	wasFull := p.full
	taken := false
	if e.Patch != nil {
		out, taken = d.takePatch(e.From, e.Patch, out)
	}
	if !expected {
		return out
	}
	if !taken {
		d.pullFailed(now)
		if p.full && !wasFull {
			p.add(p.from)
		}
		return d.tickPull(now, out)
	}
	p.open = false
	p.full = false
	if p.from.known && p.from.state.Revision == d.revision() && p.from.state.Hash == d.hash() {
		d.confirm(p.from.confirmed)
	}
	return d.tickPull(now, out)
}

// takePatch makes the next edition and takes it. A patch that doesn't fit
// makes the next pull ask for the full text.
func (d *document) takePatch(from almondstep.DaemonID, p *almondstep.Patch, out []almondstep.Effect) ([]almondstep.Effect, bool) {
	if p.Revision <= d.revision() {
		return out, false
	}
	next := &almondstep.Document{Name: d.name, Revision: p.Revision, Hash: p.Hash, Body: p.Body}
	if p.FromHash != "" {
		body, err := d.applyPatch(p)
		if err != nil {
			d.puller.full = true
			return d.refuse(next, string(from), err.Error(), out), false
		}
		next.Body = body
	}
	out, taken := d.take(next, string(from), out)
	if !taken && p.FromHash != "" {
		d.puller.full = true
	}
	return out, taken
}

func (d *document) applyPatch(p *almondstep.Patch) ([]byte, error) {
	if p.FromHash != d.hash() {
		return nil, fmt.Errorf("the patch is for an edition with hash %s: %w", p.FromHash, almondstep.ErrStale)
	}
	return patcher.Apply(d.current.Body, p.Body)
}
