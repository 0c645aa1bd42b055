package controller

import (
	"time"

	"almondstep"
)

const (
	watchWait  = 500 * time.Millisecond
	retryAfter = time.Second
	pullRetry  = time.Second
)

// holder keeps whole documents: it takes only a higher revision whose hash is right.
type holder struct {
	seed uint64
	docs [2]held
}

type held struct {
	name      almondstep.DocumentName
	doc       *almondstep.Document
	confirmed almondstep.Instant
	everSeen  bool
	reading   bool
	nextRead  almondstep.Instant
	nextPull  almondstep.Instant
}

func newHolder(seed uint64) *holder {
	return &holder{seed: seed, docs: [2]held{{name: almondstep.DocumentConfig}, {name: almondstep.DocumentFleet}}}
}

func (h *holder) find(name almondstep.DocumentName) *held {
	for i := range h.docs {
		if h.docs[i].name == name {
			return &h.docs[i]
		}
	}
	return nil
}

// Document gives the newest edition, nil if there is none.
func (h *holder) Document(name almondstep.DocumentName) *almondstep.Document {
	return h.find(name).doc
}

// States says what is held.
func (h *holder) States(now almondstep.Instant) []almondstep.DocumentState {
	states := make([]almondstep.DocumentState, 0, len(h.docs))
	for i := range h.docs {
		states = append(states, h.docs[i].state(now))
	}
	return states
}

func (d *held) state(now almondstep.Instant) almondstep.DocumentState {
	s := almondstep.DocumentState{Name: d.name, Age: almondstep.AgeUnknown}
	if d.doc == nil {
		return s
	}
	s.Revision = d.doc.Revision
	s.Hash = d.doc.Hash
	if d.everSeen {
		s.Age = now.Sub(d.confirmed)
	}
	return s
}

// Tick asks the platform for what is missing, and for more if a relay.
func (h *holder) Tick(now almondstep.Instant, relay bool, out []almondstep.Effect) []almondstep.Effect {
	for i := range h.docs {
		d := &h.docs[i]
		if d.reading || now < d.nextRead || (!relay && d.doc != nil) {
			continue
		}
		d.reading = true
		r := &almondstep.ReadDocument{Name: d.name}
		if d.doc != nil {
			r.After, r.Wait = d.doc.Revision, watchWait
		}
		out = append(out, r)
	}
	return out
}

// Heard pulls what a peer has newer.
func (h *holder) Heard(now, sent almondstep.Instant, from almondstep.DaemonID, addr almondstep.Address, states []almondstep.DocumentState, out []almondstep.Effect) []almondstep.Effect {
	for _, s := range states {
		d := h.find(s.Name)
		if d == nil {
			continue
		}
		mine := d.state(now)
		if s.Revision == mine.Revision && s.Hash == mine.Hash && s.Age != almondstep.AgeUnknown && sent != notAsked {
			d.confirm(sent.Add(-s.Age))
		}
		if s.Revision > mine.Revision && now >= d.nextPull {
			d.nextPull = now.Add(pullRetry)
			out = append(out, &almondstep.SendPull{To: from, Addr: addr, Have: mine})
		}
	}
	return out
}

func (d *held) confirm(at almondstep.Instant) {
	if !d.everSeen || at > d.confirmed {
		d.everSeen = true
		d.confirmed = at
	}
}

// Reduce takes a DocumentRead, a PullArrived or a PullEnded.
func (h *holder) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.DocumentRead:
		h.read(now, e)
	case *almondstep.PullArrived:
		return append(out, &almondstep.ReplyPull{Call: e.Call, Patch: h.patch(&e.Have)})
	case *almondstep.PullEnded:
		if p := e.Patch; p != nil && p.FromHash == "" {
			h.take(&almondstep.Document{Name: p.Name, Revision: p.Revision, Hash: p.Hash, Body: p.Body})
		}
	}
	return out
}

func (h *holder) read(now almondstep.Instant, e *almondstep.DocumentRead) {
	d := h.find(e.Name)
	d.reading = false
	if e.Err != "" {
		d.nextRead = now.Add(retryAfter)
		return
	}
	if e.Document != nil {
		h.take(e.Document)
	}
	if d.doc == nil {
		d.nextRead = now.Add(retryAfter)
		return
	}
	if e.Document == nil || e.Document.Revision == d.doc.Revision {
		d.confirm(now)
	}
}

func (h *holder) take(doc *almondstep.Document) {
	d := h.find(doc.Name)
	if d == nil || almondstep.HashOf(doc.Body) != doc.Hash {
		return
	}
	if d.doc != nil && doc.Revision <= d.doc.Revision {
		return
	}
	d.doc = doc
	d.everSeen = false
}

func (h *holder) patch(have *almondstep.DocumentState) *almondstep.Patch {
	d := h.find(have.Name)
	if d == nil || d.doc == nil || d.doc.Revision <= have.Revision {
		return nil
	}
	return &almondstep.Patch{Name: d.name, Revision: d.doc.Revision, Hash: d.doc.Hash, Body: d.doc.Body}
}
