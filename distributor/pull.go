package distributor

import (
	"fmt"
	"slices"
	"time"

	"almondstep"
	"almondstep/patcher"
)

const (
	// pullTimeout is the maximum time for a peer to answer a pull.
	pullTimeout = time.Second
	// pullBackoff and maxPullBackoff bound the delay after a failed pull.
	pullBackoff    = 100 * time.Millisecond
	maxPullBackoff = 2 * time.Second
	// maxSources bounds the recorded peers that have a newer revision.
	maxSources = 8
)

// source is a peer with the document state in its digest.
type source struct {
	id    almondstep.DaemonID
	addr  almondstep.Address
	state almondstep.DocumentState
	// lastConfirmed is when the platform confirmed that revision; isConfirmed reports
	// whether that time is known.
	lastConfirmed almondstep.Instant
	isConfirmed   bool
}

// puller is the state of pulls from peers.
type puller struct {
	random jitter
	// sources are sorted by descending revision.
	sources []source
	// open is set while the pull sent to from at requestedAt is in flight.
	open        bool
	from        source
	requestedAt almondstep.Instant
	next        almondstep.Instant
	fails       int
	// needFull is set if the next pull requests the full text, since a patch failed.
	needFull bool
}

// observe handles the document state of a peer: it pulls a higher revision, and takes
// over the confirmation of the same revision.
func (d *document) observe(now almondstep.Instant, src source, out []almondstep.Effect) []almondstep.Effect {
	s := src.state
	switch {
	case s.Revision < d.revision() || s.Revision == 0:
		return out
	case s.Revision == d.invalid.revision && s.Hash == d.invalid.hash:
		return out
	case s.Revision > d.revision():
		d.puller.add(src)
		return d.tickPull(now, out)
	case s.Hash != d.hash():
		next := &almondstep.Document{Revision: s.Revision, Hash: s.Hash}
		return d.reject(next, string(src.id), "its content differs from that of the same revision held here", out)
	}
	if src.isConfirmed {
		d.confirm(src.lastConfirmed)
	}
	return out
}

// confirmationInstant converts an age in a digest to an instant of this daemon's
// clock; false if the digest has no usable age.
func confirmationInstant(sent almondstep.Instant, age time.Duration) (almondstep.Instant, bool) {
	if sent == Unrequested || age == almondstep.AgeUnknown || age < 0 {
		return 0, false
	}
	return sent.Add(-age), true
}

// add records a source with its latest state.
func (p *puller) add(src source) {
	p.sources = slices.DeleteFunc(p.sources, func(o source) bool { return o.id == src.id })
	at, _ := slices.BinarySearchFunc(p.sources, src, func(a, b source) int {
		if a.state.Revision >= b.state.Revision {
			return -1
		}
		return 1
	})
	p.sources = slices.Insert(p.sources, at, src)
	if len(p.sources) > maxSources {
		p.sources = p.sources[:maxSources]
	}
}

// dropUpTo removes the sources that have nothing above revision, and resets the
// backoff.
func (p *puller) dropUpTo(revision almondstep.Revision) {
	p.sources = slices.DeleteFunc(p.sources, func(t source) bool { return t.state.Revision <= revision })
	p.fails = 0
}

// tickPull starts a pull from the source with the highest revision, if one is due.
func (d *document) tickPull(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	p := &d.puller
	if p.open && now.Sub(p.requestedAt) > pullTimeout {
		d.pullFailed(now)
	}
	if p.open || now < p.next || len(p.sources) == 0 {
		return out
	}
	p.from = p.sources[0]
	p.sources = slices.Delete(p.sources, 0, 1)
	p.open = true
	p.requestedAt = now
	have := d.state(now)
	if p.needFull {
		have.Hash = ""
	}
	return append(out, &almondstep.SendPull{To: p.from.id, Addr: p.from.addr, Have: have})
}

// pullFailed schedules a pull from the next source: at once after the first
// failure, with exponential backoff after later ones.
func (d *document) pullFailed(now almondstep.Instant) {
	p := &d.puller
	p.open = false
	if p.fails > 0 {
		delay := backoff(pullBackoff, maxPullBackoff, p.fails)
		p.next = now.Add(delay/2 + p.random.below(delay/2))
	}
	p.fails++
}

// pullEnded handles the outcome of a pull. A patch is accepted even if it is late; only
// the outcome of the open pull changes the state of pulls.
func (d *document) pullEnded(now almondstep.Instant, e *almondstep.PullEnded, out []almondstep.Effect) []almondstep.Effect {
	p := &d.puller
	expected := p.open && p.from.id == e.From
	wasFull := p.needFull
	accepted := false
	if e.Patch != nil {
		out, accepted = d.acceptPatch(e.From, e.Patch, out)
	}
	if !expected {
		return out
	}
	if !accepted {
		d.pullFailed(now)
		if p.needFull && !wasFull {
			p.add(p.from)
		}
		return d.tickPull(now, out)
	}
	p.open = false
	p.needFull = false
	if p.from.isConfirmed && p.from.state.Revision == d.revision() && p.from.state.Hash == d.hash() {
		d.confirm(p.from.lastConfirmed)
	}
	return d.tickPull(now, out)
}

// acceptPatch applies a patch and accepts the result. After a patch that doesn't
// apply, the next pull requests the full text.
func (d *document) acceptPatch(from almondstep.DaemonID, p *almondstep.Patch, out []almondstep.Effect) ([]almondstep.Effect, bool) {
	if p.Revision <= d.revision() {
		return out, false
	}
	next := &almondstep.Document{Name: d.name, Revision: p.Revision, Hash: p.Hash, Body: p.Body}
	if p.FromHash != "" {
		body, err := d.applyPatch(p)
		if err != nil {
			d.puller.needFull = true
			return d.reject(next, string(from), err.Error(), out), false
		}
		next.Body = body
	}
	out, accepted := d.accept(next, string(from), out)
	if !accepted && p.FromHash != "" {
		d.puller.needFull = true
	}
	return out, accepted
}

func (d *document) applyPatch(p *almondstep.Patch) ([]byte, error) {
	if p.FromHash != d.hash() {
		return nil, fmt.Errorf("the patch is for a revision with hash %s: %w", p.FromHash, almondstep.ErrStale)
	}
	return patcher.Apply(d.current.Body, p.Body)
}
