package promoter

import (
	"maps"
	"slices"
	"time"

	"almondstep"
)

const (
	// evidenceInterval is the interval at which the totals are kept, so that the answers of the
	// last one to two intervals are judged by themselves: earlier good answers must not hide a
	// version that has become bad.
	evidenceInterval = 5 * time.Second
	// tallyMaxAge is how long the last report of a daemon that doesn't report any more says
	// whether the daemon has open calls.
	tallyMaxAge = 5 * time.Second
)

// versionCounts are the answers of the old and of the new version.
type versionCounts struct{ old, fresh counts }

// totals are the answers over all daemons, by route. The route "" stands for all routes.
type totals map[almondstep.RouteName]*versionCounts

// tally is the last report of one daemon.
type tally struct {
	almondstep.RolloutTally
	at almondstep.Instant
}

// evidence is what the leader knows of one rollout.
type evidence struct {
	tallies map[almondstep.DaemonID]tally
	// mark and previous are the totals at markAt and an interval before.
	mark, previous totals
	markAt         almondstep.Instant
}

// put stores a daemon's report.
func (e *evidence) put(now almondstep.Instant, from almondstep.DaemonID, t almondstep.RolloutTally) {
	if e.tallies == nil {
		e.tallies = make(map[almondstep.DaemonID]tally)
	}
	e.tallies[from] = tally{RolloutTally: t, at: now}
}

// sum returns the totals over all daemons.
func (e *evidence) sum() totals {
	all := totals{}
	for _, t := range e.tallies {
		for i := range t.Counts {
			c := &t.Counts[i]
			for _, route := range []almondstep.RouteName{c.Route, ""} {
				v, ok := all[route]
				if !ok {
					v = &versionCounts{}
					all[route] = v
				}
				if c.New {
					v.fresh.add(c)
				} else {
					v.old.add(c)
				}
			}
		}
	}
	return all
}

// restart makes the present totals the start of the recent answers, at the start of a stage.
func (e *evidence) restart(now almondstep.Instant) {
	e.mark = e.sum()
	e.previous, e.markAt = e.mark, now
}

// judge returns why the new version is bad; an empty text if there is no sign of it. It judges
// all answers and the recent ones, in all and by route.
func (e *evidence) judge(now almondstep.Instant) string {
	all := e.sum()
	for _, route := range slices.Sorted(maps.Keys(all)) {
		v := all[route]
		recent := v.fresh
		if before, ok := e.previous[route]; ok {
			recent = v.fresh.since(before.fresh)
		}
		for _, fresh := range []counts{v.fresh, recent} {
			if reason := judge(&fresh, &v.old); reason != "" {
				return routePrefix(route) + reason
			}
		}
	}
	if now.Sub(e.markAt) >= evidenceInterval {
		e.previous, e.mark, e.markAt = e.mark, all, now
	}
	return ""
}

func routePrefix(route almondstep.RouteName) string {
	if route == "" {
		return ""
	}
	return "route " + string(route) + ": "
}

// oldOpen reports whether a daemon has open calls to old upstreams, or has stopped using the new
// version by itself.
func (e *evidence) oldOpen(now almondstep.Instant) bool {
	for _, t := range e.tallies {
		if now.Sub(t.at) <= tallyMaxAge && (t.OldOpen > 0 || t.Paused) {
			return true
		}
	}
	return false
}

// freshAnswered reports whether the new version has answered a call.
func (e *evidence) freshAnswered() bool {
	for _, t := range e.tallies {
		for i := range t.Counts {
			if t.Counts[i].New && t.Counts[i].Answers > 0 {
				return true
			}
		}
	}
	return false
}

// exposure returns the requests of the service and the calls to the new version, over all daemons.
func (e *evidence) exposure() (requests, exposed uint64) {
	for _, t := range e.tallies {
		requests += t.Requests
		exposed += t.Exposed
	}
	return requests, exposed
}
