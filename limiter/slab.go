package limiter

// slabSize is how many values are allocated at once.
const slabSize = 128

// slab allocates values of one type in blocks, so that one value costs only a
// fraction of an allocation. It never takes a value back.
type slab[T any] struct {
	rest []T
}

func (s *slab[T]) next() *T {
	if len(s.rest) == 0 {
		s.rest = make([]T, slabSize)
	}
	v := &s.rest[0]
	s.rest = s.rest[1:]
	return v
}

// newEntry returns a zero entry, from the free list if possible.
func (u *Upstreams) newEntry() *entry {
	last := len(u.unused) - 1
	if last < 0 {
		return u.entries.next()
	}
	en := u.unused[last]
	u.unused = u.unused[:last]
	return en
}

// unusedLimit bounds the free list.
const unusedLimit = 4096

// freeEntry puts an entry on the free list, unless the list is full.
func (u *Upstreams) freeEntry(en *entry) {
	if len(u.unused) >= unusedLimit {
		return
	}
	*en = entry{}
	u.unused = append(u.unused, en)
}
