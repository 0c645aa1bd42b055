package watcher

import (
	"time"

	"almondstep"
)

const (
	// listEvery is the time between two readings of the list of daemons at the
	// start, and listPatience how long this daemon waits to find itself in it. From
	// then on it knows its place among those that started with it.
	listEvery    = 300 * time.Millisecond
	listPatience = 1500 * time.Millisecond
	// firstReaders is the number of daemons of a zone that read all of the registry
	// themselves at their start. The others get it from them; if nobody tells them,
	// each reads it itself, one rank after the other.
	firstReaders  = 2
	tellPatience  = time.Second
	tellPerMember = 20 * time.Millisecond
)

// boot is the state of a daemon that knows nothing yet.
type boot struct {
	began   bool
	beganAt almondstep.Instant
	// listing says that the list of daemons is being read.
	listing bool
	listAt  almondstep.Instant
	// until is when the place among the daemons must do as it is known.
	until almondstep.Instant
	// done says that the place is known, since doneAt.
	done   bool
	doneAt almondstep.Instant
}

// start finds out who else is there, and reads the registry or asks those that do.
func (w *Watcher) start(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	b := &w.boot
	if !b.began {
		b.began, b.beganAt = true, now
		b.until = now.Add(listPatience)
	}
	if _, listed := w.daemons[w.cfg.Self]; !b.done && (listed || now >= b.until) {
		b.done, b.doneAt = true, now
	}
	if b.done {
		return w.readFirst(now, out)
	}
	if !b.listing && now >= b.listAt {
		b.listing = true
		out = append(out, &almondstep.ReadRegistry{Daemons: true})
	}
	return out
}

// listed takes the list of daemons in. Where it can't be read, the seeds may know
// more.
func (w *Watcher) listed(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	w.boot.listing = false
	w.boot.listAt = now.Add(listEvery)
	if e.Err != "" {
		w.readings.cause = e.Err
		return w.askSeeds(now, out)
	}
	if w.revision > 0 {
		return out
	}
	for _, d := range e.Changes.Daemons {
		w.applyDaemon(now, d)
	}
	return w.start(now, out)
}

// askSeeds asks the daemons that the settings name.
func (w *Watcher) askSeeds(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.revision > 0 {
		return out
	}
	for _, addr := range w.cfg.Seeds {
		if s := seed(addr); w.readings.free(now, s) {
			out = w.ask(s, w.beat(), out)
		}
	}
	return out
}

// readFirst reads all of the registry, or follows who does.
func (w *Watcher) readFirst(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.readings
	if w.rank() >= firstReaders {
		return w.keepReading(now, out)
	}
	if r.waiting || !r.free(now, registry()) {
		return out
	}
	r.following, r.follows, r.waiting = registry(), true, true
	return w.ask(registry(), 0, out)
}

// refuses says that a word which is old isn't taken yet, for as long as a fresh one
// should take to be found: servers that have left since, or routes that were
// withdrawn, would be in use again after this daemon's start. In an outage there is
// nothing better in the end.
func (b *boot) refuses(now almondstep.Instant, old bool, long time.Duration) bool {
	return old && now.Sub(b.beganAt) < long
}

// mayReadAll says that a daemon which nobody tells may read all of the registry.
func (b *boot) mayReadAll(now almondstep.Instant, rank int) bool {
	return now.Sub(b.doneAt) > tellPatience+time.Duration(rank)*tellPerMember
}
