// Package ranker orders daemons by rendezvous hashing.
//
// Every daemon must determine the same owner for an upstream without communication,
// and a daemon that joins or leaves must move only its own share. Rendezvous
// hashing gives both: each (key, daemon) pair has a score, and the daemon with
// the highest score comes first. When it leaves, the second takes over, and no
// other key moves.
//
// For example, three daemons ranked for one upstream:
//
//	r := ranker.New([]almondstep.DaemonID{"a", "b", "c"})
//	r.Order("10.0.0.9:80")      // [b a c]: b owns it; if b leaves, a takes over
package ranker

import (
	"cmp"
	"iter"
	"slices"

	"almondstep"
)

// Ranker ranks a fixed set of daemons. It is immutable.
type Ranker struct {
	ids    []almondstep.DaemonID
	hashes []uint64
}

// New returns a ranker of the daemons, given in any order.
func New(ids []almondstep.DaemonID) *Ranker {
	r := &Ranker{ids: slices.Clone(ids)}
	slices.Sort(r.ids)
	r.ids = slices.Compact(r.ids)
	r.hashes = make([]uint64, len(r.ids))
	for i, id := range r.ids {
		r.hashes[i] = Hash(string(id))
	}
	return r
}

// Len is the number of daemons.
func (r *Ranker) Len() int { return len(r.ids) }

// IDs lists the daemons sorted by ID. The caller must not change the slice.
func (r *Ranker) IDs() []almondstep.DaemonID { return r.ids }

// Order lists all daemons for a key, best first.
func (r *Ranker) Order(key string) []almondstep.DaemonID {
	h := Hash(key)
	order := make([]int, len(r.ids))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return r.compare(h, a, b) })
	ids := make([]almondstep.DaemonID, len(order))
	for i, j := range order {
		ids[i] = r.ids[j]
	}
	return ids
}

// First returns the first daemon in the order for a key for which accept returns true;
// empty if there is none. It doesn't sort, so it is cheaper than Order.
func (r *Ranker) First(key string, accept func(almondstep.DaemonID) bool) almondstep.DaemonID {
	h := Hash(key)
	best := -1
	for i, id := range r.ids {
		if best >= 0 && r.compare(h, best, i) < 0 {
			continue
		}
		if accept(id) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return r.ids[best]
}

// Place returns how many of the daemons among, given in any order, come before id in the order for a
// key, which is that of Order.
func Place(key string, id almondstep.DaemonID, among iter.Seq[almondstep.DaemonID]) int {
	h := Hash(key)
	own := score(h, Hash(string(id)))
	place := 0
	for other := range among {
		if c := cmp.Compare(score(h, Hash(string(other))), own); c > 0 || c == 0 && other < id {
			place++
		}
	}
	return place
}

// compare is negative if daemon a comes before daemon b for the key's hash.
func (r *Ranker) compare(key uint64, a, b int) int {
	if c := cmp.Compare(score(key, r.hashes[b]), score(key, r.hashes[a])); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// BucketWriter is the daemon that writes the claims of a bucket, such as "claims/7".
func (r *Ranker) BucketWriter(bucket string, accept func(almondstep.DaemonID) bool) almondstep.DaemonID {
	return r.First("home/"+bucket, accept)
}

// Hash is the 64-bit FNV-1a hash of s, mixed by the finalizer of splitmix64 because
// FNV-1a alone gives similar names similar values.
func Hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= prime
	}
	return almondstep.FinalizeSplitmix64(h)
}

func score(key, daemon uint64) uint64 { return almondstep.FinalizeSplitmix64(key ^ daemon) }
