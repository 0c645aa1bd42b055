package watcher

import (
	"time"

	"almondstep"
)

const (
	// listInterval is the time between two reads of the list of daemons at the start.
	// The rank of this daemon is determined when a list has its own entry, because the
	// daemons that started with it are then listed too, or else after listTimeout.
	listInterval = 300 * time.Millisecond
	listTimeout  = 1500 * time.Millisecond
	// initialReaders is the number of daemons of a zone that do a full read of the
	// registry at their start. The others get the entries from them. One that gets none
	// may read the registry itself after fullReadDelay and fullReadDelayPerRank times
	// its rank.
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
	// listed is whether the first read of the list has ended. listedAtStart is the number of
	// daemons in it if it has this daemon, whose own announcement takes longer than that read:
	// the entry is that of its earlier process.
	listed        bool
	listedAtStart int
	// rankDeadline is when the rank is determined even if no list has this daemon.
	rankDeadline almondstep.Instant
	// rankKnown is whether the rank is determined; rankKnownAt is since when.
	rankKnown   bool
	rankKnownAt almondstep.Instant
}

// start reads the list of daemons until this daemon's rank is determined, and then the
// registry or a daemon that has read it.
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

// daemonsListed handles the result of reading the list of daemons. If that failed, it
// asks the seeds.
func (w *Watcher) daemonsListed(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	w.boot.listPending = false
	w.boot.nextListAt = now.Add(listInterval)
	first := !w.boot.listed
	w.boot.listed = true
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
	if _, listed := w.daemons[w.cfg.Self]; listed && first {
		w.boot.listedAtStart = len(w.daemons)
	}
	return w.start(now, out)
}

// askSeeds sends requests to the available seeds while the registry cache is empty.
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

// readFirst does a full read of the registry if this daemon is one of the zone's
// initialReaders, and otherwise reads from the best available source.
func (w *Watcher) readFirst(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if w.rank() >= initialReaders {
		return w.keepReading(now, out)
	}
	if r.awaitingReply || !r.available(now, registry()) {
		return out
	}
	r.followed, r.isFollowing, r.awaitingReply = registry(), true, true
	return w.sendRequest(registry(), 0, out)
}

// rejectsStale reports whether an update is rejected because it is stale. With a stale
// update, this daemon would use upstreams that have since left or routes that were
// withdrawn. Stale updates are accepted from maxDelay after the start on: that should
// suffice to find a fresh one, and in an outage of the registry there is none.
func (b *boot) rejectsStale(now almondstep.Instant, stale bool, maxDelay time.Duration) bool {
	return stale && now.Sub(b.startedAt) < maxDelay
}

// mayReadAll reports whether a daemon with an empty registry cache may do a full read
// of the registry although it isn't one of the initialReaders.
func (b *boot) mayReadAll(now almondstep.Instant, rank int) bool {
	return now.Sub(b.rankKnownAt) > fullReadDelay+time.Duration(rank)*fullReadDelayPerRank
}
