package limiter

import (
	"container/heap"
	"slices"

	"almondstep"
)

// The queue of one upstream serves classes by priority, tenants of one class by
// their shares (stride scheduling), and items of one tenant by deadline. However
// many items a tenant queues, the others keep their shares.

// entry is one item, queued or in flight.
type entry struct {
	key      itemKey
	item     almondstep.Item
	work     *almondstep.Work
	deadline almondstep.Instant

	tenantQueue *tenantQueue
	// index is the item's position in the heap of its tenant queue.
	index int

	// call is 0 while the item is queued.
	call      almondstep.CallID
	startedAt almondstep.Instant
	endsBy    almondstep.Instant
	canceled  bool
	// capacity is how many requests were allowed when the call was sent.
	capacity int
	// full is set if the whole capacity was in use while the call ran.
	full bool
	// probe is set for a liveness probe, which has no item.
	probe bool
}

// itemKey identifies an item at its upstream, which belongs to one service.
type itemKey struct {
	query      almondstep.QueryID
	attempt    almondstep.AttemptID
	index      uint32
	shardCount uint32
}

func keyOf(q almondstep.QueryID, a almondstep.AttemptID, i almondstep.Item) itemKey {
	return itemKey{query: q, attempt: a, index: i.Shard.Index(), shardCount: i.Shard.ShardCount()}
}

// queue has the queued items of one upstream.
type queue struct {
	count   int
	classes []*classQueue
}

// classQueue has the queued items of one class.
type classQueue struct {
	priority int
	count    int
	// pass is the virtual time of the class: the highest pass at which a tenant
	// was served.
	pass    float64
	tenants []*tenantQueue
}

// tenantQueue has one tenant's items of one class, ordered by deadline.
type tenantQueue struct {
	class  *classQueue
	tenant almondstep.TenantName
	share  float64
	// pass rises by 1/share with each item served; the tenant with the lowest is
	// served next.
	pass  float64
	items byDeadline
}

type byDeadline []*entry

func (b byDeadline) Len() int           { return len(b) }
func (b byDeadline) Less(i, j int) bool { return b[i].deadline < b[j].deadline }

func (b byDeadline) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index = i
	b[j].index = j
}

// Push implements heap.Interface.
func (b *byDeadline) Push(x any) {
	en := x.(*entry)
	en.index = len(*b)
	*b = append(*b, en)
}

// Pop implements heap.Interface.
func (b *byDeadline) Pop() any {
	last := len(*b) - 1
	en := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	return en
}

func (q *queue) push(en *entry, share int) {
	tq := q.tenantQueueFor(en.work.Priority, en.work.Tenant)
	tq.share = float64(share)
	if len(tq.items) == 0 {
		tq.pass = max(tq.pass, tq.class.pass)
	}
	en.tenantQueue = tq
	heap.Push(&tq.items, en)
	tq.class.count++
	q.count++
}

func (q *queue) tenantQueueFor(priority int, tenant almondstep.TenantName) *tenantQueue {
	cq := q.classFor(priority)
	for _, tq := range cq.tenants {
		if tq.tenant == tenant {
			return tq
		}
	}
	tq := &tenantQueue{class: cq, tenant: tenant, pass: cq.pass}
	cq.tenants = append(cq.tenants, tq)
	return tq
}

func (q *queue) classFor(priority int) *classQueue {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(cq *classQueue, p int) int {
		return cq.priority - p
	})
	if !found {
		q.classes = slices.Insert(q.classes, i, &classQueue{priority: priority})
	}
	return q.classes[i]
}

// next returns the item to be served next; nil if the queue is empty.
func (q *queue) next() *entry {
	for _, cq := range q.classes {
		if cq.count > 0 {
			return cq.next()
		}
	}
	return nil
}

func (cq *classQueue) next() *entry {
	var best *tenantQueue
	for _, tq := range cq.tenants {
		if len(tq.items) > 0 && (best == nil || tq.pass < best.pass) {
			best = tq
		}
	}
	return best.items[0]
}

// dequeue removes an item that is to be served and charges its tenant for it.
func (q *queue) dequeue(en *entry) {
	tq := en.tenantQueue
	tq.class.pass = max(tq.class.pass, tq.pass)
	tq.pass += 1 / tq.share
	q.remove(en)
}

// remove removes an item without charging its tenant.
func (q *queue) remove(en *entry) {
	tq := en.tenantQueue
	heap.Remove(&tq.items, en.index)
	tq.class.count--
	q.count--
	en.tenantQueue = nil
	if len(tq.items) == 0 {
		tq.class.prune()
	}
}

// maxIdleTenants is the number of tenant queues up to which a class keeps those
// without items, to avoid allocating them again.
const maxIdleTenants = 8

// prune drops empty tenant queues whose pass is at most 1 ahead of the class's,
// if the class has more than maxIdleTenants queues. A tenant further ahead keeps
// its queue, and so can't avoid its charge.
func (cq *classQueue) prune() {
	if len(cq.tenants) <= maxIdleTenants {
		return
	}
	cq.tenants = slices.DeleteFunc(cq.tenants, func(tq *tenantQueue) bool {
		return len(tq.items) == 0 && tq.pass <= cq.pass+1
	})
}

// ahead returns the number of queued items of this or a more urgent priority.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, cq := range q.classes {
		if cq.priority > priority {
			break
		}
		n += cq.count
	}
	return n
}

// expired returns a queued item whose deadline has passed; nil if there is
// none.
func (q *queue) expired(now almondstep.Instant) *entry {
	for _, cq := range q.classes {
		for _, tq := range cq.tenants {
			if len(tq.items) > 0 && tq.items[0].deadline <= now {
				return tq.items[0]
			}
		}
	}
	return nil
}

// earliest returns the first deadline of all queued items; 0 if the queue is
// empty.
func (q *queue) earliest() almondstep.Instant {
	first := almondstep.Instant(0)
	for _, cq := range q.classes {
		for _, tq := range cq.tenants {
			if len(tq.items) > 0 && (first == 0 || tq.items[0].deadline < first) {
				first = tq.items[0].deadline
			}
		}
	}
	return first
}

// shedCandidate returns the item to shed for a new one of this priority and
// tenant: one of the lowest class, of the tenant with the most items per unit of
// share. It returns nil if the new item itself should be shed.
func (q *queue) shedCandidate(priority int, tenant almondstep.TenantName) *entry {
	cq := q.lowestClass()
	if cq == nil || cq.priority < priority {
		return nil
	}
	var longest *tenantQueue
	for _, tq := range cq.tenants {
		if len(tq.items) > 0 && (longest == nil || tq.length() > longest.length()) {
			longest = tq
		}
	}
	if cq.priority == priority && longest.tenant == tenant {
		return nil
	}
	return longest.items[len(longest.items)-1]
}

func (q *queue) lowestClass() *classQueue {
	for _, cq := range slices.Backward(q.classes) {
		if cq.count > 0 {
			return cq
		}
	}
	return nil
}

// length returns the number of items per unit of share.
func (tq *tenantQueue) length() float64 {
	return float64(len(tq.items)) / tq.share
}

// shareOf returns a tenant's share, at least 1.
func shareOf(v *almondstep.View, tenant almondstep.TenantName) int {
	c := v.Catalog()
	if c == nil {
		return 1
	}
	cfg, ok := c.Tenant(tenant)
	if !ok {
		return 1
	}
	return max(1, cfg.Share)
}
