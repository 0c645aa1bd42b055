package watcher

import (
	"time"

	"almondstep"
)

const (
	// randomPerRound is the number of daemons drawn at random in each round of a
	// search, in addition to the best usable source. The time between two rounds is
	// searchInterval, and slowSearchInterval after quickRounds without success.
	randomPerRound     = 2
	searchInterval     = 200 * time.Millisecond
	slowSearchInterval = time.Second
	quickRounds        = 8
)

// search is the state of the search for a fresher registry update; zero if there is none.
type search struct {
	rounds int
	nextAt almondstep.Instant
}

// runSearch asks sources other than the followed one as long as the confirmation is
// overdue: the followed one may have stalled, be cut off, or be stale itself.
func (w *Watcher) runSearch(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.revision == 0 && !w.boot.rankKnown {
		return out
	}
	if !w.overdue(now) {
		w.search = search{}
		return out
	}
	if now < w.search.nextAt {
		return out
	}
	w.search.rounds++
	w.search.nextAt = now.Add(searchInterval)
	if w.search.rounds > quickRounds {
		w.search.nextAt = now.Add(slowSearchInterval)
	}
	if s, ok := w.nextBest(now); ok {
		out = w.sendRequest(s, 0, out)
	}
	for range randomPerRound {
		if s, ok := w.randomDaemon(now); ok {
			out = w.sendRequest(s, 0, out)
		}
	}
	return out
}

// nextBest returns the best usable source other than the one that is followed.
func (w *Watcher) nextBest(now almondstep.Instant) (source, bool) {
	for _, s := range w.sources() {
		if w.usable(now, s) && !w.follows(s) {
			return s, true
		}
	}
	return source{}, false
}

// randomDaemon draws an available daemon of any zone other than the followed one. As
// with gossip, updates spread even if the daemons that come first in the orders of all
// zones are cut off: any daemon with an update may be drawn by others.
func (w *Watcher) randomDaemon(now almondstep.Instant) (source, bool) {
	var free []source
	for _, zone := range w.zones() {
		for _, id := range w.order(zone) {
			if id == w.cfg.Self {
				continue
			}
			if s := w.sourceOf(id); w.reads.available(now, s) && !w.follows(s) {
				free = append(free, s)
			}
		}
	}
	if len(free) == 0 {
		return source{}, false
	}
	return free[w.random.Next()%uint64(len(free))], true
}

func (w *Watcher) follows(s source) bool { return w.reads.isFollowing && s == w.reads.followed }
