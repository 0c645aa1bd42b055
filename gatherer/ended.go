package gatherer

import (
	"container/heap"

	"almondstep"
)

// endedWorks contains the Works that have ended, until their deadlines. One that must
// not run twice is always kept until then. If there are too many repeatable ones,
// those with the earliest deadlines are removed sooner; such a Work runs again if it
// is sent again.
type endedWorks struct {
	nonRepeatable byDeadline
	repeatable    byDeadline
}

func (e *endedWorks) add(g *gather) {
	if g.work.Repeatable() {
		heap.Push(&e.repeatable, g)
		return
	}
	heap.Push(&e.nonRepeatable, g)
}

// popRemovable removes and returns a Work that is past its deadline, or a repeatable
// one if there are more than limit of them; nil if there is neither.
func (e *endedWorks) popRemovable(now almondstep.Instant, limit int) *gather {
	if len(e.repeatable) > 0 && (e.repeatable[0].deadline <= now || len(e.repeatable) > limit) {
		return heap.Pop(&e.repeatable).(*gather)
	}
	if len(e.nonRepeatable) > 0 && e.nonRepeatable[0].deadline <= now {
		return heap.Pop(&e.nonRepeatable).(*gather)
	}
	return nil
}

// byDeadline is a heap of Works, the earliest deadline first.
type byDeadline []*gather

func (b byDeadline) Len() int           { return len(b) }
func (b byDeadline) Less(i, j int) bool { return b[i].deadline < b[j].deadline }
func (b byDeadline) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *byDeadline) Push(x any) { *b = append(*b, x.(*gather)) }

// Pop implements heap.Interface.
func (b *byDeadline) Pop() any {
	last := len(*b) - 1
	g := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	return g
}
