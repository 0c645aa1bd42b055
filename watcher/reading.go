package watcher

import (
	"time"

	"almondstep"
)

const (
	// minBackoff and maxBackoff bound how long a daemon that didn't answer isn't asked
	// again; the backoff doubles each time. One that answered, but has nothing newer, may
	// have it soon after: it is asked again after minBackoff.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// registryBackoff is how long the first daemon of a zone doesn't ask a registry that
	// didn't answer, and rankBackoff is added for each further rank: in an outage few
	// ask the registry, and they inform the others.
	registryBackoff = 400 * time.Millisecond
	rankBackoff     = time.Second
	// maxWatchDelay bounds the time between two watches of the registry, so that one
	// call returns all changes of a burst.
	maxWatchDelay = 500 * time.Millisecond
	// betterSourceInterval is the time after which a better source is tried again.
	betterSourceInterval = 2 * time.Second
)

// readState holds the pending requests and the results of earlier ones. One source is
// followed: it gets one request after the other, and sends changes as they occur.
// Others get single requests that don't wait, to find a better source or a fresher
// update.
type readState struct {
	// pending has the sources that haven't answered yet.
	pending map[almondstep.DaemonID]bool
	// following is the source that is followed, if follows; awaitingReply is whether a
	// request to it is pending.
	following     source
	follows       bool
	awaitingReply bool
	// nextAt is when the next request may be sent.
	nextAt almondstep.Instant
	// tryBetterAt is when a better source is tried.
	tryBetterAt almondstep.Instant
	// backoffs has the sources that aren't asked for now.
	backoffs map[almondstep.DaemonID]backoff
	// watchWait is how long the next watch of the registry waits; 0 means confirmInterval.
	watchWait time.Duration
	// cause is why the last read failed.
	cause string
}

// backoff is how long a source isn't asked.
type backoff struct {
	until almondstep.Instant
	delay time.Duration
}

func newReadState() readState {
	return readState{
		pending:  make(map[almondstep.DaemonID]bool),
		backoffs: make(map[almondstep.DaemonID]backoff),
	}
}

// available reports whether a source can be asked now.
func (r *readState) available(now almondstep.Instant, s source) bool {
	return !r.pending[s.id] && now >= r.backoffs[s.id].until
}

// usable reports whether a source can be asked now. Only a daemon that has no other
// source does a full read of the registry.
func (w *Watcher) usable(now almondstep.Instant, s source) bool {
	if s == registry() && w.revision == 0 && !w.boot.mayReadAll(now, w.rank()) {
		return false
	}
	return w.reads.available(now, s)
}

// keepReading sends the next request to the source that is followed, or chooses one.
func (w *Watcher) keepReading(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if r.awaitingReply || now < r.nextAt {
		return out
	}
	if !r.follows && !w.choose(now) {
		return out
	}
	if r.pending[r.following.id] {
		return out
	}
	r.awaitingReply = true
	out = w.sendRequest(r.following, w.waitTime(r.following), out)
	return w.tryBetter(now, out)
}

// choose follows the best source that can be asked and reports whether there is one.
func (w *Watcher) choose(now almondstep.Instant) bool {
	for _, s := range w.sources() {
		if w.usable(now, s) {
			w.reads.following, w.reads.follows = s, true
			w.reads.tryBetterAt = now.Add(betterSourceInterval)
			return true
		}
	}
	return false
}

// tryBetter asks, at intervals, the best of the sources that come before the one that
// is followed.
func (w *Watcher) tryBetter(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if now < r.tryBetterAt {
		return out
	}
	r.tryBetterAt = now.Add(betterSourceInterval)
	for _, s := range w.sources() {
		switch {
		case s == r.following:
			return out
		case w.usable(now, s):
			return w.sendRequest(s, 0, out)
		}
	}
	return out
}

// waitTime is how long a request may wait for changes. Other daemons answer once per
// confirmInterval, when their own registry cache is confirmed.
func (w *Watcher) waitTime(s source) time.Duration {
	if s != registry() {
		return w.confirmInterval() * 3 / 2
	}
	if w.reads.watchWait > 0 {
		return w.reads.watchWait
	}
	return w.confirmInterval()
}

// sendRequest requests registry updates from a source.
func (w *Watcher) sendRequest(s source, wait time.Duration, out []almondstep.Effect) []almondstep.Effect {
	w.reads.pending[s.id] = true
	q := almondstep.RegistryUpdateRequest{After: w.revision, Wait: wait}
	if s == registry() && w.reread {
		q.After = 0
	}
	if s != registry() {
		q.PatchBases = w.journal.longEntries()
	}
	return append(out, &almondstep.ReadRegistry{RegistryUpdateRequest: q, From: s.id, Addr: s.addr})
}

// registryRead handles the result of a read and continues reading.
func (w *Watcher) registryRead(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if e.Daemons {
		return w.daemonsListed(now, e, out)
	}
	r := &w.reads
	delete(r.pending, e.From)
	followed := r.follows && e.From == r.following.id
	if followed {
		r.awaitingReply = false
	}
	switch {
	case e.Compacted:
		w.reread = true
		out = append(out, w.report("registry history was compacted; reading the full registry", string(w.cfg.Self), "", w.revision))
	case e.Err != "":
		w.readFailed(now, e)
	default:
		out = w.readSucceeded(now, e, out)
	}
	if w.revision == 0 {
		return w.start(now, out)
	}
	return w.keepReading(now, out)
}

// readFailed backs off from a source that didn't answer.
func (w *Watcher) readFailed(now almondstep.Instant, e *almondstep.RegistryRead) {
	w.reads.cause = e.Err
	if e.From == "" {
		w.outage = true
		w.failedAt = now
	}
	last := w.reads.backoffs[e.From].delay
	w.backOff(now, e.From, min(max(minBackoff, 2*last), maxBackoff))
}

// backOff stops asking a source for a while and no longer follows it.
func (w *Watcher) backOff(now almondstep.Instant, id almondstep.DaemonID, delay time.Duration) {
	r := &w.reads
	if id == "" {
		delay = registryBackoff + time.Duration(w.rank())*rankBackoff
	}
	r.backoffs[id] = backoff{until: now.Add(delay), delay: delay}
	if r.follows && r.following.id == id {
		r.follows = false
	}
}

// readSucceeded handles an answer.
func (w *Watcher) readSucceeded(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if t := e.SourceUpdate; t != nil && (t.Revision < w.revision || t.Revision == 0) {
		// The source is behind. If it isn't overdue, that won't last.
		if t.Revision == 0 || t.Age > w.overdueAfter() {
			w.backOff(now, e.From, minBackoff)
		}
		return out
	}
	if e.SourceUpdate != nil && e.SourceUpdate.Source == w.cfg.Self && e.SourceUpdate.Revision == w.revision {
		// It reads from this daemon and has nothing newer. One with a newer revision is
		// accepted even so: this daemon may have restarted.
		w.backOff(now, e.From, minBackoff)
		return out
	}
	if w.revision == 0 && e.SourceUpdate != nil && w.boot.rejectsStale(now, e.SourceUpdate.Age > w.cfg.MaxAge, w.confirmInterval()) {
		w.reads.cause = "the registry cache of " + sourceName(e.From) + " is stale"
		w.backOff(now, e.From, minBackoff)
		return out
	}
	before := w.confirmedAt
	w.confirm(now, e)
	out = w.merge(now, e, out)
	out = w.replyConfirmed(now, out)
	if w.overdue(now) && !e.Changes.More {
		// This update is overdue too. It is still followed while a fresher one is searched.
		w.reads.cause = "the last confirmation from " + sourceName(e.From) + " is overdue"
		if w.reads.follows && e.From != w.reads.following.id {
			w.backOff(now, e.From, minBackoff)
		}
		return out
	}
	delete(w.reads.backoffs, e.From)
	out = w.follow(now, e, before, out)
	w.paceWatches(now, e)
	return out
}

// follow switches to a source if the update of the one followed so far is overdue, or
// if the new one comes before it.
func (w *Watcher) follow(now almondstep.Instant, e *almondstep.RegistryRead, before almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if r.follows && e.From == r.following.id {
		return out
	}
	overdue := before == 0 || now.Sub(before) > w.overdueAfter()
	if r.follows && !overdue && !w.preferred(e.From) {
		return out
	}
	r.following = w.sourceOf(e.From)
	r.follows, r.awaitingReply = true, false
	r.tryBetterAt = now.Add(betterSourceInterval)
	return append(out, w.report("registry source changed", string(w.cfg.Self), "from "+sourceName(e.From), w.revision))
}

// preferred reports whether a source comes before the one that is followed.
func (w *Watcher) preferred(id almondstep.DaemonID) bool {
	for _, s := range w.sources() {
		if s.id == id {
			return true
		}
		if s == w.reads.following {
			return false
		}
	}
	return false
}

// paceWatches delays the next watch so that changes of the registry accumulate, unless
// more of them are waiting already.
func (w *Watcher) paceWatches(now almondstep.Instant, e *almondstep.RegistryRead) {
	r := &w.reads
	r.watchWait = 0
	if e.From != "" || e.Changes.More || e.Changes.Empty() {
		return
	}
	delay := min(maxWatchDelay, w.confirmInterval()/2)
	r.nextAt = now.Add(delay)
	r.watchWait = w.confirmInterval() - delay
}

// confirm records when the registry itself last answered, and until when it didn't
// answer: what is removed soon after may only be due to leases that couldn't be renewed.
func (w *Watcher) confirm(now almondstep.Instant, e *almondstep.RegistryRead) {
	if e.SourceUpdate == nil {
		if w.outage {
			w.outage = false
			w.failedAt = now
		}
		if !e.Changes.More {
			w.confirmedAt = now
		}
		return
	}
	if age := e.SourceUpdate.Age; age != almondstep.AgeUnknown {
		w.confirmedAt = max(w.confirmedAt, now.Add(-age))
	}
	if ago := e.SourceUpdate.SinceOutage; ago != almondstep.AgeUnknown {
		w.failedAt = max(w.failedAt, now.Add(-ago))
	}
}

// merge applies the changes and publishes the result.
func (w *Watcher) merge(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	changed, out := w.apply(now, e, out)
	w.journal.record(e.Changes.Entries, e.Full, e.Changes.Revision)
	if e.Full && e.From == "" {
		w.reread = false
	}
	w.revision = max(w.revision, e.Changes.Revision)
	if changed {
		return w.publish(out)
	}
	return w.publishAge(out)
}

func sourceName(id almondstep.DaemonID) string {
	if id == "" {
		return "the registry itself"
	}
	return string(id)
}
