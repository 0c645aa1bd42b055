package watcher

import (
	"time"

	"almondstep"
)

const (
	// minBackoff and maxBackoff bound the backoff of a daemon that didn't answer; it
	// doubles with each failure in a row. A daemon that answered but has nothing usable
	// may have it soon after, so its backoff is minBackoff.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// registryBackoff is the backoff of a registry that didn't answer, at the first daemon
	// of a zone; rankBackoff is added for each further rank. So in an outage few daemons
	// ask the registry, and the others get its next update from them.
	registryBackoff = 400 * time.Millisecond
	rankBackoff     = time.Second
	// maxWatchDelay bounds the delay of the next watch of the registry after one that
	// returned changes, so that one call returns many changes of a burst.
	maxWatchDelay = 500 * time.Millisecond
	// betterSourceInterval is the time after which a better source is tried again.
	betterSourceInterval = 2 * time.Second
)

// readState holds the pending requests and the results of earlier ones. One source is
// followed: it gets one request after the other, each of which waits for changes. Other
// sources get single requests that don't wait, to find a better source or a fresher
// update.
type readState struct {
	// pending has the sources that haven't answered yet.
	pending map[almondstep.DaemonID]bool
	// followed is the source that is followed if isFollowing is set; awaitingReply is
	// whether a request to it is pending.
	followed      source
	isFollowing   bool
	awaitingReply bool
	// nextAt is when the next request to the followed source may be sent.
	nextAt almondstep.Instant
	// tryBetterAt is when a better source is tried next.
	tryBetterAt almondstep.Instant
	// backoffs has the last backoff of each source that had no usable update.
	backoffs map[almondstep.DaemonID]backoff
	// watchWait is how long the next watch of the registry waits; 0 means confirmInterval.
	watchWait time.Duration
	// cause is why the last read without a usable update failed, for the log.
	cause string
}

// backoff is how long a source isn't asked; delay determines the next backoff.
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

// available reports whether a source has no pending request and no backoff.
func (r *readState) available(now almondstep.Instant, s source) bool {
	return !r.pending[s.id] && now >= r.backoffs[s.id].until
}

// usable reports whether a source is available and, for a full read of the registry by a
// daemon with an empty registry cache, whether boot.mayReadAll allows it.
func (w *Watcher) usable(now almondstep.Instant, s source) bool {
	if s == registry() && w.revision == 0 && !w.boot.mayReadAll(now, w.rank()) {
		return false
	}
	return w.reads.available(now, s)
}

// keepReading sends the next request to the source that is followed, after choosing one
// if there is none.
func (w *Watcher) keepReading(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if r.awaitingReply || now < r.nextAt {
		return out
	}
	if !r.isFollowing && !w.chooseSource(now) {
		return out
	}
	if r.pending[r.followed.id] {
		return out
	}
	r.awaitingReply = true
	out = w.sendRequest(r.followed, w.waitTime(r.followed), out)
	return w.tryBetterSource(now, out)
}

// chooseSource follows the best usable source and reports whether there is one.
func (w *Watcher) chooseSource(now almondstep.Instant) bool {
	for _, s := range w.sources() {
		if w.usable(now, s) {
			w.reads.followed, w.reads.isFollowing = s, true
			w.reads.tryBetterAt = now.Add(betterSourceInterval)
			return true
		}
	}
	return false
}

// tryBetterSource asks, at intervals, the best usable source that comes before the
// followed one in sources.
func (w *Watcher) tryBetterSource(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if now < r.tryBetterAt {
		return out
	}
	r.tryBetterAt = now.Add(betterSourceInterval)
	for _, s := range w.sources() {
		switch {
		case s == r.followed:
			return out
		case w.usable(now, s):
			return w.sendRequest(s, 0, out)
		}
	}
	return out
}

// waitTime is how long a request to the followed source may wait for changes. A request
// to a daemon waits longer than confirmInterval, because the daemon also replies when its
// own registry cache is confirmed.
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
	if s == registry() && w.needsFullRead {
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
	followed := r.isFollowing && e.From == r.followed.id
	if followed {
		r.awaitingReply = false
	}
	switch {
	case e.Compacted && w.skipHistory():
		out = append(out, w.report("registry doesn't have the history since its copy", string(w.cfg.Self), e.Err, w.revision))
	case e.Compacted:
		w.needsFullRead = true
		out = append(out, w.report("registry history was compacted; reading the full registry", string(w.cfg.Self), e.Err, w.revision))
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

// readFailed handles a failed read and backs off from its source.
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
	if r.isFollowing && r.followed.id == id {
		r.isFollowing = false
	}
}

// followIfBetter follows the source of an update if none is followed, if the confirmation
// was overdue before the update, or if the source is preferred. confirmedBefore is
// confirmedAt before the update.
func (w *Watcher) followIfBetter(now almondstep.Instant, e *almondstep.RegistryRead, confirmedBefore almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.reads
	if r.isFollowing && e.From == r.followed.id {
		return out
	}
	overdue := confirmedBefore == 0 || now.Sub(confirmedBefore) > w.overdueAfter()
	if r.isFollowing && !overdue && !w.preferred(e.From) {
		return out
	}
	r.followed = w.sourceOf(e.From)
	r.isFollowing, r.awaitingReply = true, false
	r.tryBetterAt = now.Add(betterSourceInterval)
	return append(out, w.report("registry source changed", string(w.cfg.Self), "from "+sourceName(e.From), w.revision))
}

// preferred reports whether a source comes before the followed one in sources.
func (w *Watcher) preferred(id almondstep.DaemonID) bool {
	for _, s := range w.sources() {
		if s.id == id {
			return true
		}
		if s == w.reads.followed {
			return false
		}
	}
	return false
}

// paceWatches delays the next watch of the registry after one that returned changes, so
// that further changes accumulate, unless more of them are available already.
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

func sourceName(id almondstep.DaemonID) string {
	if id == "" {
		return "the registry itself"
	}
	return string(id)
}
