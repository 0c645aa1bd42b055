package gatherer

import (
	"container/heap"

	"almondstep"
)

// endedWorks contains the Works that are answered completely, until their deadlines.
// One that must not run twice is always kept until then. If there are too many
// searches, the oldest are removed; one that is sent again then runs again.
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

// expired removes and returns a Work that needn't be kept any more; nil if there is
// none.
func (e *endedWorks) expired(now almondstep.Instant, limit int) *gather {
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
