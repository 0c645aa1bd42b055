package distributor

import (
	"fmt"
	"slices"
	"time"

	"almondstep"
	"almondstep/patcher"
)

// maxFormer is the number of former editions patches can be made from. At 450
// changes of configuration a day that is half a day.
const maxFormer = 256

// maxRefused is the number of refused editions that are remembered, so that each
// is reported once.
const maxRefused = 16

// document is one document: the edition held, the former ones' fingerprints,
// and what is under way to get a newer one.
type document struct {
	name  almondstep.DocumentName
	self  almondstep.DaemonID
	check Check
	relay bool

	current *almondstep.Document
	index   patcher.Index
	former  []edition
	// patches holds the patches made to the current edition.
	patches map[almondstep.Hash]*almondstep.Patch
	// confirmed is when the platform last confirmed the current edition;
	// known says whether it ever has.
	confirmed almondstep.Instant
	known     bool

	reader reader
	puller puller
	// refused holds the last few editions that were reported and not taken.
	refused []refusal
	// unsound is the last edition that didn't pass the check. It isn't asked
	// for again.
	unsound refusal
}

// edition is what is kept of a former edition.
type edition struct {
	hash  almondstep.Hash
	index patcher.Index
}

// refusal names an edition that was not taken.
type refusal struct {
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
	if d.known {
		age = max(0, now.Sub(d.confirmed))
	}
	return almondstep.DocumentState{Name: d.name, Revision: d.revision(), Hash: d.hash(), Age: age}
}

// confirm notes that the platform had the current edition as its newest at an
// instant.
func (d *document) confirm(at almondstep.Instant) {
	if !d.known || at > d.confirmed {
		d.confirmed = at
	}
	d.known = true
}

// take puts a higher edition in the place of the current one, or reports why
// it can't be. From says who gave it.
func (d *document) take(next *almondstep.Document, from string, out []almondstep.Effect) ([]almondstep.Effect, bool) {
	if got := almondstep.HashOf(next.Body); got != next.Hash {
		return d.refuse(next, from, "damaged: its hash is "+string(got), out), false
	}
	if next.Revision < d.revision() {
		return d.refuse(next, from, fmt.Sprintf("older than revision %d, which is held", d.revision()), out), false
	}
	if next.Revision == d.revision() {
		if next.Hash != d.hash() {
			return d.refuse(next, from, "another text than the one held under this revision", out), false
		}
		return out, false
	}
	if d.check != nil {
		if err := d.check(next.Body); err != nil {
			d.unsound = refusal{revision: next.Revision, hash: next.Hash}
			return d.refuse(next, from, "not sound: "+err.Error(), out), false
		}
	}
	d.replace(next)
	return out, true
}

func (d *document) replace(next *almondstep.Document) {
	if d.current != nil {
		d.former = append(d.former, edition{hash: d.current.Hash, index: d.index})
	}
	if len(d.former) > maxFormer {
		d.former = append([]edition(nil), d.former[len(d.former)-maxFormer:]...)
	}
	d.current = next
	d.index = patcher.NewIndex(next.Body)
	clear(d.patches)
	d.known = false
	d.puller.forgetBelow(next.Revision)
}

// refuse reports an edition that isn't taken, once.
func (d *document) refuse(next *almondstep.Document, from, reason string, out []almondstep.Effect) []almondstep.Effect {
	r := refusal{revision: next.Revision, hash: next.Hash, reason: reason}
	if slices.Contains(d.refused, r) {
		return out
	}
	if len(d.refused) == maxRefused {
		d.refused = slices.Delete(d.refused, 0, 1)
	}
	d.refused = append(d.refused, r)
	return append(out, &almondstep.Report{
		Level:   almondstep.ReportWarn,
		Subject: string(d.name),
		Message: fmt.Sprintf("revision %d from %s is not taken: %s", next.Revision, from, reason),
	})
}

// patchFor gives what a peer lacks, or nil if it lacks nothing.
func (d *document) patchFor(have almondstep.DocumentState) *almondstep.Patch {
	if d.current == nil || have.Revision >= d.current.Revision {
		return nil
	}
	if p, ok := d.patches[have.Hash]; ok {
		return p
	}
	p := &almondstep.Patch{Name: d.name, Revision: d.current.Revision, Hash: d.current.Hash, Body: d.current.Body}
	for _, e := range d.former {
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

// jitter draws times at random.
type jitter struct {
	random almondstep.Random
}

// below gives a time from 0 to d.
func (j *jitter) below(d time.Duration) time.Duration {
	z := j.random.Next()
	if d <= 0 {
		return 0
	}
	return time.Duration(z % uint64(d))
}
