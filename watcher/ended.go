package watcher

import (
	"maps"
	"time"

	"almondstep"
)

// endedRetention is how long it is published that a run of an upstream has ended: longer
// than a request under which it ended is still open.
const endedRetention = 30 * time.Second

// endedRuns holds the runs of upstreams that have ended recently without announcing it, as
// far as the registry shows: the entry was removed, or that of another run replaced it.
type endedRuns struct {
	runs map[almondstep.UpstreamRun]almondstep.RunEnd
	// published is shared with directories, so it is replaced and never modified. It is
	// rebuilt if changed is set.
	published map[almondstep.UpstreamRun]almondstep.RunEnd
	changed   bool
}

func newEndedRuns() endedRuns {
	return endedRuns{runs: make(map[almondstep.UpstreamRun]almondstep.RunEnd)}
}

// add records that a run has ended.
func (r *endedRuns) add(run almondstep.UpstreamRun, end almondstep.RunEnd) {
	r.runs[run] = end
	r.changed = true
}

// remove forgets that a run has ended, and reports whether that was recorded.
func (r *endedRuns) remove(run almondstep.UpstreamRun) bool {
	_, known := r.runs[run]
	delete(r.runs, run)
	r.changed = r.changed || known
	return known
}

// expire forgets the runs that ended longer than endedRetention ago.
func (r *endedRuns) expire(now almondstep.Instant) {
	for run, end := range r.runs {
		if now.Sub(end.At) > endedRetention {
			r.remove(run)
		}
	}
}

// publish returns the ended runs. The caller must not change them.
func (r *endedRuns) publish() map[almondstep.UpstreamRun]almondstep.RunEnd {
	if !r.changed {
		return r.published
	}
	r.changed = false
	r.published = maps.Clone(r.runs)
	return r.published
}

// dropEntry drops an upstream's entry. If the upstream hadn't announced that it leaves, its
// run has ended.
func (w *Watcher) dropEntry(now almondstep.Instant, key string) {
	if held := w.listing.entries[key]; held != nil && !held.upstream.Leaving {
		w.ended.add(held.run, almondstep.RunEnd{At: now, Service: held.upstream.Service})
	}
	w.listing.drop(key)
}

// putEntry adds or replaces an upstream's entry. The run of an entry that another run
// replaces has ended, and one that is back hasn't.
func (w *Watcher) putEntry(now almondstep.Instant, c almondstep.UpstreamChange, out []almondstep.Effect) []almondstep.Effect {
	run := c.Upstream.Run()
	held := w.listing.entries[c.Key]
	u := *c.Upstream
	u.ListedAt = now
	if held != nil && held.revision == c.Revision {
		// A full read repeats the entry, whose times count from when it was first read.
		u.ListedAt = held.upstream.ListedAt
	}
	if held != nil && !held.upstream.Leaving && held.run != run {
		w.ended.add(held.run, almondstep.RunEnd{At: now, Service: held.upstream.Service, Replaced: true})
	}
	w.listing.put(w.listedSince(now), c.Key, &u, c.Revision)
	// Without a stated start, a run that is back can't be told from a new one.
	if w.ended.remove(run) && !c.Upstream.Started.IsZero() {
		return w.runIsBack(now, run, out)
	}
	return out
}

// runIsBack takes back the crashes of a run that was taken for ended: it may have been cut
// off from the registry, or frozen. Each daemon removes the records that it has written; the
// daemons that read the registry itself remove all of them.
func (w *Watcher) runIsBack(now almondstep.Instant, run almondstep.UpstreamRun, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	records := l.under(run)
	if len(records) == 0 {
		return out
	}
	for _, r := range records {
		l.quarantine.Remove(now, r.Fingerprint, r.Upstream)
		if w.readsRegistry() || l.isOwn(r) {
			l.remove(r)
		}
		out = append(out, w.report("crash taken back", r.Fingerprint.String(), "upstream "+string(run)+" is back", w.revision))
	}
	return w.recordCrashes(now, out)
}

// readsRegistry reports whether this daemon reads the registry itself, and not through
// another daemon.
func (w *Watcher) readsRegistry() bool {
	return w.reads.isFollowing && w.reads.followed == registry()
}
