package watcher

import (
	"maps"
	"slices"

	"almondstep"
)

// listing holds the entries of the upstreams. It rebuilds the list of a service's
// upstreams only if one of its entries has changed: a large registry has thousands.
type listing struct {
	entries map[string]*entry
	// lapsed has the keys of the removed entries that are kept until their dropAt.
	lapsed map[string]struct{}
	// keys has the keys of each service's entries, lists has each service's usable
	// upstreams, and toRebuild has the services whose list must be rebuilt.
	keys map[almondstep.ServiceName]map[string]struct{}
	// runs has the services of the listed runs.
	runs      map[almondstep.UpstreamRun]almondstep.ServiceName
	lists     map[almondstep.ServiceName][]*almondstep.Upstream
	toRebuild map[almondstep.ServiceName]struct{}
}

// entry is an upstream's entry in the registry.
type entry struct {
	upstream *almondstep.Upstream
	run      almondstep.UpstreamRun
	revision uint64
	// runSince is when this daemon first listed the run; 0 if the run is in the first listing.
	runSince almondstep.Instant
	// dropAt is when a lapsed entry is dropped; 0 if it isn't lapsed.
	dropAt almondstep.Instant
	// leavingSince is the era in which the upstream was first listed as leaving, if it is.
	leavingSince uint64
}

func newListing() listing {
	return listing{
		entries:   make(map[string]*entry),
		lapsed:    make(map[string]struct{}),
		keys:      make(map[almondstep.ServiceName]map[string]struct{}),
		runs:      make(map[almondstep.UpstreamRun]almondstep.ServiceName),
		lists:     make(map[almondstep.ServiceName][]*almondstep.Upstream),
		toRebuild: make(map[almondstep.ServiceName]struct{}),
	}
}

// put adds or replaces the entry of an upstream.
func (l *listing) put(now almondstep.Instant, key string, u *almondstep.Upstream, revision uint64) {
	e := &entry{upstream: u, run: u.Run(), revision: revision, runSince: now, leavingSince: almondstep.EraOf(revision)}
	if held := l.entries[key]; held != nil && held.run == e.run {
		e.runSince = held.runSince
		if held.upstream.Leaving {
			e.leavingSince = held.leavingSince
		}
	}
	l.drop(key)
	l.entries[key] = e
	l.runs[e.run] = u.Service
	if l.keys[u.Service] == nil {
		l.keys[u.Service] = make(map[string]struct{})
	}
	l.keys[u.Service][key] = struct{}{}
	l.toRebuild[u.Service] = struct{}{}
}

// drop removes the entry with a key, if there is one.
func (l *listing) drop(key string) {
	held, known := l.entries[key]
	if !known {
		return
	}
	delete(l.entries, key)
	delete(l.lapsed, key)
	delete(l.runs, held.run)
	delete(l.keys[held.upstream.Service], key)
	l.toRebuild[held.upstream.Service] = struct{}{}
}

// lapse schedules an entry to be dropped at until, unless it is put again before.
func (l *listing) lapse(key string, until almondstep.Instant) {
	if held := l.entries[key]; held.dropAt == 0 {
		held.dropAt = until
		l.lapsed[key] = struct{}{}
	}
}

// expired lists the lapsed entries that are due to be dropped.
func (l *listing) expired(now almondstep.Instant) []string {
	var keys []string
	for key := range l.lapsed {
		if now >= l.entries[key].dropAt {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// invalidateAll marks the lists of all services to be rebuilt.
func (l *listing) invalidateAll() {
	for service := range l.keys {
		l.toRebuild[service] = struct{}{}
	}
}

// upstreams lists the usable upstreams of each service, in the order of their keys.
func (l *listing) upstreams(usable func(*almondstep.Upstream) bool) map[almondstep.ServiceName][]*almondstep.Upstream {
	for service := range l.toRebuild {
		var list []*almondstep.Upstream
		for _, key := range slices.Sorted(maps.Keys(l.keys[service])) {
			if u := l.entries[key].upstream; usable(u) {
				list = append(list, u)
			}
		}
		l.lists[service] = list
		if len(list) == 0 {
			delete(l.lists, service)
		}
		if len(l.keys[service]) == 0 {
			delete(l.keys, service)
		}
	}
	clear(l.toRebuild)
	return maps.Clone(l.lists)
}
