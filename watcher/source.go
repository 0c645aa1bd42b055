package watcher

import (
	"slices"
	"time"

	"almondstep"
	"almondstep/ranker"
)

const (
	// peerPause is how long a daemon that gave no answer isn't asked again.
	peerPause = 3 * time.Second
	// peerLostPause is the same for one that answered, but knows nothing new.
	peerLostPause = time.Second
	// registryPause is how long a registry that gave no answer isn't asked again by
	// the first daemon of a zone, and rankPause what each further one waits
	// besides: in an outage few ask, and those tell the others.
	registryPause = 400 * time.Millisecond
	rankPause     = time.Second
	// staleWaits is after how many waits of a watch the registry's word counts as
	// old: one for each of two daemons that pass it on.
	staleWaits = 3
)

// source is where this daemon reads: the registry itself, which has no id, or
// another daemon.
type source struct {
	id   almondstep.DaemonID
	addr almondstep.Address
}

// sources lists where this daemon may read, best first. The daemons of a zone are
// in one order that all know: each asks those before it, so that only the first
// reads the registry and the second takes over at once when it can't. Those after
// it come last, for a daemon that is itself cut off from the registry.
//
// Example, for the second of three: first, registry, third.
func (w *Watcher) sources() []source {
	registry := source{}
	if w.revision == 0 {
		return []source{registry}
	}
	mates := w.mates()
	list := make([]source, 0, len(mates)+1)
	for _, id := range mates {
		if id == w.cfg.Self {
			list = append(list, registry)
			continue
		}
		list = append(list, source{id: id, addr: w.daemons[id].addr})
	}
	return list
}

// mates are the daemons of the own zone that can be asked, and this one, in the
// zone's order.
func (w *Watcher) mates() []almondstep.DaemonID {
	ids := []almondstep.DaemonID{w.cfg.Self}
	for id, d := range w.daemons {
		if d.alive && d.zone == w.cfg.Zone && d.addr != "" {
			ids = append(ids, id)
		}
	}
	return ranker.New(ids).Order("news/" + string(w.cfg.Zone))
}

// nextSource is the best source that hasn't just failed; false if all have.
func (w *Watcher) nextSource(now almondstep.Instant) (source, bool) {
	for _, s := range w.sources() {
		if now >= w.avoid[s.id] {
			return s, true
		}
	}
	return source{}, false
}

// ask reads from a source. One that wasn't read from before only has to show that
// it answers: a wait would hide that it doesn't.
func (w *Watcher) ask(s source, out []almondstep.Effect) []almondstep.Effect {
	w.reading = true
	wait := w.cfg.WatchWait
	if w.failed || s.id != w.following {
		wait = 0
	}
	return append(out, &almondstep.ReadRegistry{After: w.revision, Wait: wait, From: s.id, Addr: s.addr})
}

// refusal says why a reading is no good; empty if it is.
func (w *Watcher) refusal(e *almondstep.RegistryRead) string {
	switch t := e.Teller; {
	case e.Err != "":
		return e.Err
	case t == nil:
		return ""
	case t.Lost:
		return "it can't read the registry either"
	case t.Source == w.cfg.Self:
		return "it reads from this daemon"
	case t.Age > staleWaits*w.cfg.WatchWait:
		return "its word is old"
	case t.Revision < w.revision:
		return "it is behind"
	}
	return ""
}

// avoidSource leaves a source alone for a while.
func (w *Watcher) avoidSource(now almondstep.Instant, e *almondstep.RegistryRead) {
	pause := peerPause
	switch {
	case e.From == "":
		rank := slices.Index(w.mates(), w.cfg.Self)
		pause = registryPause + time.Duration(rank)*rankPause
	case e.Err == "":
		pause = peerLostPause
	}
	w.avoid[e.From] = now.Add(pause)
}

// follow notes which source is read from now.
func (w *Watcher) follow(e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	if e.From == w.following {
		return out
	}
	w.following = e.From
	cause := "from the registry itself"
	if e.From != "" {
		cause = "from " + string(e.From)
	}
	return append(out, w.report("registry is read", string(w.cfg.Self), cause, w.revision))
}
