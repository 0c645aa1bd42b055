package watcher

import (
	"time"

	"almondstep"
)

const (
	// leastPause and mostPause are how long a daemon that gave no answer isn't asked
	// again; the time doubles each time. One that answered, but knows no more, may
	// know it a moment later: it is asked again after leastPause.
	leastPause = time.Second
	mostPause  = 4 * time.Second
	// registryPause is how long a registry that gave no answer isn't asked again by
	// the first daemon of a zone, and rankPause what each further one waits
	// besides: in an outage few ask, and those tell the others.
	registryPause = 400 * time.Millisecond
	rankPause     = time.Second
	// mostWatchPause bounds the time between two watches of the registry, so that
	// one call brings what changes in a burst.
	mostWatchPause = 500 * time.Millisecond
	// returnEvery is the time after which a better source is tried again.
	returnEvery = 2 * time.Second
)

// readings are the questions that are out, and what earlier ones have shown. One
// source is followed: it is asked again and again, and tells of changes as they come.
// Others are asked once, without waiting, to find a better one or a fresher word.
type readings struct {
	// open has the sources that have not answered yet.
	open map[almondstep.DaemonID]bool
	// following is the source that is followed, if follows; waiting says that a
	// question to it is out.
	following source
	follows   bool
	waiting   bool
	// nextAt is when the next question may go out.
	nextAt almondstep.Instant
	// returnAt is when a better source is tried.
	returnAt almondstep.Instant
	// paused has the sources that aren't asked for now.
	paused map[almondstep.DaemonID]pause
	// wait is how long the next watch of the registry waits; 0 for a whole beat.
	wait time.Duration
	// cause is why the last reading failed.
	cause string
}

// pause is how long a source isn't asked.
type pause struct {
	until almondstep.Instant
	last  time.Duration
}

func newReadings() readings {
	return readings{
		open:   make(map[almondstep.DaemonID]bool),
		paused: make(map[almondstep.DaemonID]pause),
	}
}

// free says that a source can be asked now.
func (r *readings) free(now almondstep.Instant, s source) bool {
	return !r.open[s.id] && now >= r.paused[s.id].until
}

// usable says that a source can be asked now. All of the registry is read only by
// those who must.
func (w *Watcher) usable(now almondstep.Instant, s source) bool {
	if s == registry() && w.revision == 0 && !w.boot.mayReadAll(now, w.rank()) {
		return false
	}
	return w.readings.free(now, s)
}

// keepReading asks the source that is followed, or finds one.
func (w *Watcher) keepReading(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.readings
	if r.waiting || now < r.nextAt {
		return out
	}
	if !r.follows && !w.choose(now) {
		return out
	}
	if r.open[r.following.id] {
		return out
	}
	r.waiting = true
	out = w.ask(r.following, w.waitFor(r.following), out)
	return w.tryBetter(now, out)
}

// choose follows the best source that can be asked; false if there is none.
func (w *Watcher) choose(now almondstep.Instant) bool {
	for _, s := range w.sources() {
		if w.usable(now, s) {
			w.readings.following, w.readings.follows = s, true
			w.readings.returnAt = now.Add(returnEvery)
			return true
		}
	}
	return false
}

// tryBetter asks, now and then, the best of the sources that come before the one
// followed.
func (w *Watcher) tryBetter(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.readings
	if now < r.returnAt {
		return out
	}
	r.returnAt = now.Add(returnEvery)
	for _, s := range w.sources() {
		switch {
		case s == r.following:
			return out
		case w.usable(now, s):
			return w.ask(s, 0, out)
		}
	}
	return out
}

// waitFor is how long a question may wait for changes. Other daemons answer at each
// beat, when their own word is confirmed.
func (w *Watcher) waitFor(s source) time.Duration {
	if s != registry() {
		return w.beat() * 3 / 2
	}
	if w.readings.wait > 0 {
		return w.readings.wait
	}
	return w.beat()
}

// ask sends a question.
func (w *Watcher) ask(s source, wait time.Duration, out []almondstep.Effect) []almondstep.Effect {
	w.readings.open[s.id] = true
	q := almondstep.RegistryUpdateRequest{After: w.revision, Wait: wait}
	if s == registry() && w.reread {
		q.After = 0
	}
	if s != registry() {
		q.PatchBases = w.journal.long()
	}
	return append(out, &almondstep.ReadRegistry{RegistryUpdateRequest: q, From: s.id, Addr: s.addr})
}

// read takes in what was read, or that nothing could be, and asks on.
func (w *Watcher) read(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if e.Daemons {
		return w.listed(now, e, out)
	}
	r := &w.readings
	delete(r.open, e.From)
	followed := r.follows && e.From == r.following.id
	if followed {
		r.waiting = false
	}
	switch {
	case e.Compacted:
		w.reread = true
		out = append(out, w.report("registry history is gone, reading all of it", string(w.cfg.Self), "", w.revision))
	case e.Err != "":
		w.failed(now, e)
	default:
		out = w.succeeded(now, e, out)
	}
	if w.revision == 0 {
		return w.start(now, out)
	}
	return w.keepReading(now, out)
}

// failed leaves a source that gave no answer alone for a while.
func (w *Watcher) failed(now almondstep.Instant, e *almondstep.RegistryRead) {
	w.readings.cause = e.Err
	if e.From == "" {
		w.outage = true
		w.failedAt = now
	}
	last := w.readings.paused[e.From].last
	w.leave(now, e.From, min(max(leastPause, 2*last), mostPause))
}

// leave pauses a source and follows it no longer.
func (w *Watcher) leave(now almondstep.Instant, id almondstep.DaemonID, last time.Duration) {
	r := &w.readings
	if id == "" {
		last = registryPause + time.Duration(w.rank())*rankPause
	}
	r.paused[id] = pause{until: now.Add(last), last: last}
	if r.follows && r.following.id == id {
		r.follows = false
	}
}

// succeeded takes an answer in.
func (w *Watcher) succeeded(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if t := e.SourceUpdate; t != nil && (t.Revision < w.revision || t.Revision == 0) {
		// It is behind. If its word is fresh, that is for a moment.
		if t.Revision == 0 || t.Age > w.lateAfter() {
			w.leave(now, e.From, leastPause)
		}
		return out
	}
	if e.SourceUpdate != nil && e.SourceUpdate.Source == w.cfg.Self && e.SourceUpdate.Revision == w.revision {
		// It reads from here and knows no more. One that knows more is heard even so:
		// this daemon may have started anew.
		w.leave(now, e.From, leastPause)
		return out
	}
	if w.revision == 0 && e.SourceUpdate != nil && w.boot.refuses(now, e.SourceUpdate.Age > w.cfg.Bound, w.beat()) {
		w.readings.cause = "the word of " + nameOf(e.From) + " is old"
		w.leave(now, e.From, leastPause)
		return out
	}
	before := w.confirmedAt
	w.confirm(now, e)
	out = w.takeIn(now, e, out)
	out = w.tellConfirmed(now, out)
	if w.late(now) && !e.Changes.More {
		// Its word is old too. It is heard on, while fresher ones are looked for.
		w.readings.cause = "the word of " + nameOf(e.From) + " is old"
		if w.readings.follows && e.From != w.readings.following.id {
			w.leave(now, e.From, leastPause)
		}
		return out
	}
	delete(w.readings.paused, e.From)
	out = w.follow(now, e, before, out)
	w.paceWatches(now, e)
	return out
}

// follow changes over to a source whose word is fresher than that of the one
// followed so far, or that comes before it.
func (w *Watcher) follow(now almondstep.Instant, e *almondstep.RegistryRead, before almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	r := &w.readings
	if r.follows && e.From == r.following.id {
		return out
	}
	overdue := before == 0 || now.Sub(before) > w.lateAfter()
	if r.follows && !overdue && !w.better(e.From) {
		return out
	}
	r.following = w.sourceOf(e.From)
	r.follows, r.waiting = true, false
	r.returnAt = now.Add(returnEvery)
	return append(out, w.report("registry is read", string(w.cfg.Self), "from "+nameOf(e.From), w.revision))
}

// better says that a source comes before the one that is followed.
func (w *Watcher) better(id almondstep.DaemonID) bool {
	for _, s := range w.sources() {
		if s.id == id {
			return true
		}
		if s == w.readings.following {
			return false
		}
	}
	return false
}

// paceWatches lets changes of the registry gather for a moment, unless more of
// them are waiting already.
func (w *Watcher) paceWatches(now almondstep.Instant, e *almondstep.RegistryRead) {
	r := &w.readings
	r.wait = 0
	if e.From != "" || e.Changes.More || e.Changes.Empty() {
		return
	}
	gather := min(mostWatchPause, w.beat()/2)
	r.nextAt = now.Add(gather)
	r.wait = w.beat() - gather
}

// confirm notes when the registry itself was last heard, and until when it gave no
// answer: what is removed soon after may only have lapsed.
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

// takeIn puts what was read in force.
func (w *Watcher) takeIn(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	changed, out := w.apply(now, e, out)
	w.journal.take(e.Changes.Entries, e.Full, e.Changes.Revision)
	if e.Full && e.From == "" {
		w.reread = false
	}
	w.revision = max(w.revision, e.Changes.Revision)
	if changed {
		return w.publish(out)
	}
	return w.publishAge(out)
}

func nameOf(id almondstep.DaemonID) string {
	if id == "" {
		return "the registry itself"
	}
	return string(id)
}
