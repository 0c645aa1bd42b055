package limiter

// slabSize is how many values are allocated at once.
const slabSize = 128

// slab hands out values of one type, so that an effect costs a part of an
// allocation. What was handed out is never handed out again.
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

// newEntry gives an entry that is not in use.
func (u *Upstreams) newEntry() *entry {
	last := len(u.unused) - 1
	if last < 0 {
		return u.entries.next()
	}
	en := u.unused[last]
	u.unused = u.unused[:last]
	return en
}

// unusedLimit bounds the entries kept for use again.
const unusedLimit = 4096

// freeEntry takes an entry back.
func (u *Upstreams) freeEntry(en *entry) {
	if len(u.unused) >= unusedLimit {
		return
	}
	*en = entry{}
	u.unused = append(u.unused, en)
}
