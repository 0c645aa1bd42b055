package distributor

import (
	"fmt"
	"slices"
	"time"

	"almondstep"
	"almondstep/patcher"
)

// maxPastRevisions is the number of past revisions that patches can be made from.
// At 450 configuration changes a day it covers half a day.
const maxPastRevisions = 256

// maxRejections is the number of recent rejections kept, so that each is reported
// once.
const maxRejections = 16

// document is one document: the current revision, the indexes of past revisions,
// and the state of reads and pulls.
type document struct {
	name  almondstep.DocumentName
	self  almondstep.DaemonID
	check Check
	relay bool

	current *almondstep.Document
	index   patcher.Index
	past    []pastRevision
	// patches caches the patches to the current revision, by the hash they start
	// from.
	patches map[almondstep.Hash]*almondstep.Patch
	// lastConfirmed is when the platform last confirmed the current revision;
	// isConfirmed reports whether it ever has.
	lastConfirmed almondstep.Instant
	isConfirmed   bool

	reader reader
	puller puller
	// rejections holds the last maxRejections rejections, oldest first.
	rejections []rejection
	// invalid is the last revision that failed the check. It isn't requested again.
	invalid rejection
}

// pastRevision is what is kept of a past revision.
type pastRevision struct {
	hash  almondstep.Hash
	index patcher.Index
}

// rejection identifies a revision that was not accepted.
type rejection struct {
	revision almondstep.Revision
	hash     almondstep.Hash
	reason   string
}

func newDocument(name almondstep.DocumentName, cfg Config, seed uint64) *document {
	return &document{
		name:    name,
		self:    cfg.Self,
		check:   cfg.Checks[name],
		patches: make(map[almondstep.Hash]*almondstep.Patch),
		puller:  puller{random: jitter{random: almondstep.NewRandom(seed)}},
		reader:  reader{random: jitter{random: almondstep.NewRandom(^seed)}},
	}
}

func (d *document) revision() almondstep.Revision {
	if d.current == nil {
		return 0
	}
	return d.current.Revision
}

func (d *document) hash() almondstep.Hash {
	if d.current == nil {
		return ""
	}
	return d.current.Hash
}

func (d *document) state(now almondstep.Instant) almondstep.DocumentState {
	age := almondstep.AgeUnknown
	if d.isConfirmed {
		age = max(0, now.Sub(d.lastConfirmed))
	}
	return almondstep.DocumentState{Name: d.name, Revision: d.revision(), Hash: d.hash(), Age: age}
}

// confirm records that the platform had the current revision as its newest at an
// instant.
func (d *document) confirm(at almondstep.Instant) {
	if !d.isConfirmed || at > d.lastConfirmed {
		d.lastConfirmed = at
	}
	d.isConfirmed = true
}

// accept replaces the current revision by a higher one, and reports one that it
// rejects. from names the source in the report.
func (d *document) accept(next *almondstep.Document, from string, out []almondstep.Effect) ([]almondstep.Effect, bool) {
	if got := almondstep.HashOf(next.Body); got != next.Hash {
		return d.reject(next, from, "corrupt: the hash of its body is "+string(got), out), false
	}
	if next.Revision < d.revision() {
		return d.reject(next, from, fmt.Sprintf("older than revision %d, which is held", d.revision()), out), false
	}
	if next.Revision == d.revision() {
		if next.Hash != d.hash() {
			return d.reject(next, from, "its content differs from that of the same revision held here", out), false
		}
		return out, false
	}
	if d.check != nil {
		if err := d.check(next.Body); err != nil {
			d.invalid = rejection{revision: next.Revision, hash: next.Hash}
			return d.reject(next, from, "invalid: "+err.Error(), out), false
		}
	}
	d.replace(next)
	return out, true
}

func (d *document) replace(next *almondstep.Document) {
	if d.current != nil {
		d.past = append(d.past, pastRevision{hash: d.current.Hash, index: d.index})
	}
	if len(d.past) > maxPastRevisions {
		d.past = append([]pastRevision(nil), d.past[len(d.past)-maxPastRevisions:]...)
	}
	d.current = next
	d.index = patcher.NewIndex(next.Body)
	clear(d.patches)
	d.isConfirmed = false
	d.puller.dropUpTo(next.Revision)
}

// reject reports a revision that isn't accepted, unless it has been reported before
// for the same reason.
func (d *document) reject(next *almondstep.Document, from, reason string, out []almondstep.Effect) []almondstep.Effect {
	r := rejection{revision: next.Revision, hash: next.Hash, reason: reason}
	if slices.Contains(d.rejections, r) {
		return out
	}
	if len(d.rejections) == maxRejections {
		d.rejections = slices.Delete(d.rejections, 0, 1)
	}
	d.rejections = append(d.rejections, r)
	return append(out, &almondstep.Report{
		Level:   almondstep.ReportWarn,
		Subject: string(d.name),
		Message: fmt.Sprintf("revision %d from %s is not taken: %s", next.Revision, from, reason),
	})
}

// patchFor returns a patch from a peer's revision to the current one, the full text if
// no patch can be made from the peer's revision, or nil if this daemon has nothing
// newer.
func (d *document) patchFor(have almondstep.DocumentState) *almondstep.Patch {
	if d.current == nil || have.Revision >= d.current.Revision {
		return nil
	}
	if p, ok := d.patches[have.Hash]; ok {
		return p
	}
	p := &almondstep.Patch{Name: d.name, Revision: d.current.Revision, Hash: d.current.Hash, Body: d.current.Body}
	for _, e := range d.past {
		if e.hash != have.Hash {
			continue
		}
		if body := e.index.Make(d.current.Body); body != nil {
			p.FromHash, p.Body = e.hash, body
		}
		d.patches[have.Hash] = p
	}
	return p
}

// jitter returns random durations.
type jitter struct {
	random almondstep.Random
}

// below returns a duration from 0 up to, but not including, d.
func (j *jitter) below(d time.Duration) time.Duration {
	z := j.random.Next()
	if d <= 0 {
		return 0
	}
	return time.Duration(z % uint64(d))
}
