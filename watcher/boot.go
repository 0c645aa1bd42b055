package watcher

import (
	"time"

	"almondstep"
)

const (
	// listInterval is the time between two reads of the list of daemons at the start,
	// and listTimeout how long this daemon waits to find itself in it. From then on it
	// knows its rank among those that started with it.
	listInterval = 300 * time.Millisecond
	listTimeout  = 1500 * time.Millisecond
	// initialReaders is the number of daemons of a zone that do a full read of the
	// registry at their start. The others get the entries from them; if they receive
	// none, each reads the registry itself after fullReadDelay and a delay by its rank.
	initialReaders       = 2
	fullReadDelay        = time.Second
	fullReadDelayPerRank = 20 * time.Millisecond
)

// boot is the state of a daemon whose registry cache is still empty.
type boot struct {
	started   bool
	startedAt almondstep.Instant
	// listPending is whether a read of the list of daemons is pending.
	listPending bool
	nextListAt  almondstep.Instant
	// rankDeadline is when the rank is taken from the daemons known so far.
	rankDeadline almondstep.Instant
	// rankKnown is whether the rank is known, since rankKnownAt.
	rankKnown   bool
	rankKnownAt almondstep.Instant
}

// start reads the list of daemons, and then the registry or the daemons that read it.
func (w *Watcher) start(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	b := &w.boot
	if !b.started {
		b.started, b.startedAt = true, now
		b.rankDeadline = now.Add(listTimeout)
	}
	if _, listed := w.daemons[w.cfg.Self]; !b.rankKnown && (listed || now >= b.rankDeadline) {
		b.rankKnown, b.rankKnownAt = true, now
	}
	if b.rankKnown {
		return w.readFirst(now, out)
	}
	if !b.listPending && now >= b.nextListAt {
		b.listPending = true
		out = append(out, &almondstep.ReadRegistry{Daemons: true})
	}
	return out
}

// daemonsListed handles the list of daemons. If it can't be read, the daemon asks the
// seeds.
func (w *Watcher) daemonsListed(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	w.boot.listPending = false
	w.boot.nextListAt = now.Add(listInterval)
	if e.Err != "" {
		w.reads.cause = e.Err
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

// askSeeds sends requests to the daemons named in the settings.
func (w *Watcher) askSeeds(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.revision > 0 {
		return out
	}
	for _, addr := range w.cfg.Seeds {
		if s := seedSource(addr); w.reads.available(now, s) {
			out = w.sendRequest(s, w.confirmInterval(), out)
		}
	}
	return out
}

// readFirst does a full read of the registry, or follows the daemons that do.
func (w *Watcher) readFirst(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if w.rank() >= initialReaders {
		return w.keepReading(now, out)
	}
	if r.awaitingReply || !r.available(now, registry()) {
		return out
	}
	r.following, r.follows, r.awaitingReply = registry(), true, true
	return w.sendRequest(registry(), 0, out)
}

// rejectsStale reports whether a stale update is still rejected, until maxDelay after
// the start, which should suffice to find a fresh one: otherwise servers that have
// since left, or routes that were withdrawn, would be in use again after this daemon's
// start. In an outage nothing better is found, and the stale update is accepted then.
func (b *boot) rejectsStale(now almondstep.Instant, stale bool, maxDelay time.Duration) bool {
	return stale && now.Sub(b.startedAt) < maxDelay
}

// mayReadAll reports whether a daemon that receives no updates may do a full read of
// the registry.
func (b *boot) mayReadAll(now almondstep.Instant, rank int) bool {
	return now.Sub(b.rankKnownAt) > fullReadDelay+time.Duration(rank)*fullReadDelayPerRank
}
