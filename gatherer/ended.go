package gatherer

import (
	"container/heap"

	"almondstep"
)

// endedWorks has the Works that are answered in full, until their deadlines.
// One that must not run twice is kept until then whatever comes; a search that
// comes again may run again if there are too many to remember.
type endedWorks struct {
	once   byDeadline
	search byDeadline
}

func (e *endedWorks) add(g *gather) {
	if g.work.Repeatable() {
		heap.Push(&e.search, g)
		return
	}
	heap.Push(&e.once, g)
}

// expired takes out a Work that needn't be known any more; nil if there is none.
func (e *endedWorks) expired(now almondstep.Instant, limit int) *gather {
	if len(e.search) > 0 && (e.search[0].deadline <= now || len(e.search) > limit) {
		return heap.Pop(&e.search).(*gather)
	}
	if len(e.once) > 0 && e.once[0].deadline <= now {
		return heap.Pop(&e.once).(*gather)
	}
	return nil
}

// byDeadline is a heap of Works, the earliest deadline first.
type byDeadline []*gather

func (b byDeadline) Len() int           { return len(b) }
func (b byDeadline) Less(i, j int) bool { return b[i].deadline < b[j].deadline }
func (b byDeadline) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }

// Push is for container/heap.
func (b *byDeadline) Push(x any) { *b = append(*b, x.(*gather)) }

// Pop is for container/heap.
func (b *byDeadline) Pop() any {
	last := len(*b) - 1
	g := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	return g
}
