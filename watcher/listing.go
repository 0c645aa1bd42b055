package watcher

import (
	"maps"
	"slices"

	"almondstep"
)

// listing holds the upstreams' entries. Of the upstreams of each service it makes a
// new list only if one of them has changed: a large registry has thousands.
type listing struct {
	entries map[string]*entry
	// lapsed has the keys of the entries that are kept for a moment only.
	lapsed map[string]struct{}
	// keys has the entries of each service, made the lists, and stale the services
	// whose list must be made anew.
	keys  map[almondstep.ServiceName]map[string]struct{}
	made  map[almondstep.ServiceName][]*almondstep.Upstream
	stale map[almondstep.ServiceName]struct{}
}

// entry is an upstream's entry in the registry.
type entry struct {
	upstream *almondstep.Upstream
	revision uint64
	// goneAt is when a lapsed entry is dropped; 0 if it isn't lapsed.
	goneAt almondstep.Instant
}

func newListing() listing {
	return listing{
		entries: make(map[string]*entry),
		lapsed:  make(map[string]struct{}),
		keys:    make(map[almondstep.ServiceName]map[string]struct{}),
		made:    make(map[almondstep.ServiceName][]*almondstep.Upstream),
		stale:   make(map[almondstep.ServiceName]struct{}),
	}
}

// put lists an upstream, or what has changed of it.
func (l *listing) put(key string, u *almondstep.Upstream, revision uint64) {
	l.drop(key)
	l.entries[key] = &entry{upstream: u, revision: revision}
	if l.keys[u.Service] == nil {
		l.keys[u.Service] = make(map[string]struct{})
	}
	l.keys[u.Service][key] = struct{}{}
	l.stale[u.Service] = struct{}{}
}

// drop takes an entry out, if there is one.
func (l *listing) drop(key string) {
	held, known := l.entries[key]
	if !known {
		return
	}
	delete(l.entries, key)
	delete(l.lapsed, key)
	delete(l.keys[held.upstream.Service], key)
	l.stale[held.upstream.Service] = struct{}{}
}

// lapse keeps an entry until a time, unless it comes back.
func (l *listing) lapse(key string, until almondstep.Instant) {
	if held := l.entries[key]; held.goneAt == 0 {
		held.goneAt = until
		l.lapsed[key] = struct{}{}
	}
}

// expired lists the lapsed entries whose time is over.
func (l *listing) expired(now almondstep.Instant) []string {
	var keys []string
	for key := range l.lapsed {
		if now >= l.entries[key].goneAt {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// changed makes the lists of all services anew.
func (l *listing) changed() {
	for service := range l.keys {
		l.stale[service] = struct{}{}
	}
}

// upstreams lists those of each service that may get new requests.
func (l *listing) upstreams(usable func(*almondstep.Upstream) bool) map[almondstep.ServiceName][]*almondstep.Upstream {
	for service := range l.stale {
		var list []*almondstep.Upstream
		for _, key := range slices.Sorted(maps.Keys(l.keys[service])) {
			if u := l.entries[key].upstream; usable(u) {
				list = append(list, u)
			}
		}
		l.made[service] = list
		if len(list) == 0 {
			delete(l.made, service)
		}
		if len(l.keys[service]) == 0 {
			delete(l.keys, service)
		}
	}
	clear(l.stale)
	return maps.Clone(l.made)
}
