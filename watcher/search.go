package watcher

import (
	"time"

	"almondstep"
)

const (
	// searchRandom is the number of daemons drawn at random in each round of a
	// search, beside the best one that wasn't asked yet. Rounds are searchPause
	// apart, and slowPause after quickRounds without success.
	searchRandom = 2
	searchPause  = 200 * time.Millisecond
	slowPause    = time.Second
	quickRounds  = 8
)

// search is the state of the search for a fresher word.
type search struct {
	rounds int
	nextAt almondstep.Instant
}

// searchOn asks further sources as long as the registry's word is overdue, beside
// the one that is followed: that one may stand still, be cut off, or know no more.
func (w *Watcher) searchOn(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.revision == 0 && !w.boot.done {
		return out
	}
	if !w.late(now) {
		w.search = search{}
		return out
	}
	if now < w.search.nextAt {
		return out
	}
	w.search.rounds++
	w.search.nextAt = now.Add(searchPause)
	if w.search.rounds > quickRounds {
		w.search.nextAt = now.Add(slowPause)
	}
	if s, ok := w.nextBest(now); ok {
		out = w.ask(s, 0, out)
	}
	for range searchRandom {
		if s, ok := w.anyDaemon(now); ok {
			out = w.ask(s, 0, out)
		}
	}
	return out
}

// nextBest is the first of the sources that can be asked beside the one followed.
func (w *Watcher) nextBest(now almondstep.Instant) (source, bool) {
	for _, s := range w.sources() {
		if w.usable(now, s) && !w.follows(s) {
			return s, true
		}
	}
	return source{}, false
}

// anyDaemon draws a daemon of any zone that can be asked. So news spreads also where
// all that stand in an order are cut off: whoever has it hands it on to some.
func (w *Watcher) anyDaemon(now almondstep.Instant) (source, bool) {
	var free []source
	for _, zone := range w.zones() {
		for _, id := range w.order(zone) {
			if id == w.cfg.Self {
				continue
			}
			if s := w.sourceOf(id); w.readings.free(now, s) && !w.follows(s) {
				free = append(free, s)
			}
		}
	}
	if len(free) == 0 {
		return source{}, false
	}
	return free[w.random.Next()%uint64(len(free))], true
}

func (w *Watcher) follows(s source) bool { return w.readings.follows && s == w.readings.following }
