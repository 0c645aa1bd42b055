package watcher

import (
	"math"

	"almondstep"
	"almondstep/ranker"
)

// maxSupersededVersions is the number of superseded versions of entries that are
// remembered. A copy is some seconds old, in which a registry has some hundred changes.
const maxSupersededVersions = 2048

// version identifies one version of an entry, whatever the era in which it was read.
type version struct {
	key      string
	revision uint64
	sum      uint64
}

func versionOf(e almondstep.RegistryEntry) version {
	return version{key: e.Key, revision: almondstep.RevisionInEra(e.Revision), sum: ranker.Hash(e.Value)}
}

// versions remembers superseded versions of entries, the latest maxSupersededVersions.
type versions struct {
	known map[version]bool
	// order has them in the order in which they were superseded; next is where the next
	// one is put once order is full.
	order []version
	next  int
}

// add remembers an entry that is replaced, unless it is a removal.
func (v *versions) add(e almondstep.RegistryEntry) {
	x := versionOf(e)
	if e.Removed || v.known[x] {
		return
	}
	if v.known == nil {
		v.known = make(map[version]bool)
	}
	v.known[x] = true
	if len(v.order) < maxSupersededVersions {
		v.order = append(v.order, x)
		return
	}
	delete(v.known, v.order[v.next])
	v.order[v.next] = x
	v.next = (v.next + 1) % maxSupersededVersions
}

// copyRevision returns a lower bound of the revision of the copy from which the registry
// was restored, without an era: the highest revision at which a listed entry equals one
// that this daemon has held. It is 0 if there is none.
//
// An entry may be written again at the same revision by chance. The bound therefore stays
// below each revision of which the copy certainly lacked a change: if the registry lists
// an entry in a state that this daemon never held at that revision, or no longer holds,
// the copy is older than the later one of the two changes.
func (j *journal) copyRevision(era uint64, listed []almondstep.RegistryEntry) uint64 {
	limit := uint64(math.MaxUint64)
	var equal []uint64
	for _, e := range listed {
		if almondstep.EraOf(e.Revision) != era || e.Removed {
			continue // It is another daemon's: the registry doesn't list it.
		}
		held := j.entries[e.Key]
		heldAt, listedAt := almondstep.RevisionInEra(held.Revision), almondstep.RevisionInEra(e.Revision)
		switch {
		case heldAt == listedAt && !held.Removed && held.Value == e.Value:
			equal = append(equal, listedAt)
		case j.superseded.known[versionOf(e)]:
			equal = append(equal, listedAt)
			if heldAt > listedAt {
				limit = min(limit, heldAt)
			}
		default:
			limit = min(limit, max(heldAt, listedAt))
		}
	}
	var bound uint64
	for _, r := range equal {
		if r < limit {
			bound = max(bound, r)
		}
	}
	return bound
}
