package limiter

import (
	"container/heap"
	"slices"

	"almondstep"
)

// The queue of one upstream serves classes by priority, tenants of one class by
// their shares (stride scheduling), and items of one tenant by deadline. A
// tenant that floods delays only its own items.

// entry is one item, queued or in flight.
type entry struct {
	key      itemKey
	item     almondstep.Item
	work     *almondstep.Work
	deadline almondstep.Instant

	tenantQueue *tenantQueue
	index       int

	// call is 0 while the item is queued.
	call      almondstep.CallID
	startedAt almondstep.Instant
	endsBy    almondstep.Instant
	canceled  bool
	// capacity is how many requests were allowed when the call was sent.
	capacity int
	// full is set if the whole allowance was in use while the call ran.
	full  bool
	probe bool
}

// itemKey identifies an item at its upstream, which belongs to one service.
type itemKey struct {
	query   almondstep.QueryID
	attempt almondstep.AttemptID
	index   uint32
	of      uint32
}

func keyOf(q almondstep.QueryID, a almondstep.AttemptID, i almondstep.Item) itemKey {
	return itemKey{query: q, attempt: a, index: i.Shard.Index(), of: i.Shard.ShardCount()}
}

// queue has the waiting items of one upstream.
type queue struct {
	count  int
	levels []*level
}

// level has the items of one priority.
type level struct {
	priority int
	count    int
	// pass is the virtual time of the level: the pass of the tenant served
	// last.
	pass    float64
	tenants []*tenantQueue
}

// tenantQueue has one tenant's items of one level, ordered by deadline.
type tenantQueue struct {
	level  *level
	tenant almondstep.TenantName
	share  float64
	// pass rises by 1/share with each item served; the lowest is next.
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
		tq.pass = max(tq.pass, tq.level.pass)
	}
	en.tenantQueue = tq
	heap.Push(&tq.items, en)
	tq.level.count++
	q.count++
}

func (q *queue) tenantQueueFor(priority int, tenant almondstep.TenantName) *tenantQueue {
	lv := q.levelFor(priority)
	for _, tq := range lv.tenants {
		if tq.tenant == tenant {
			return tq
		}
	}
	tq := &tenantQueue{level: lv, tenant: tenant, pass: lv.pass}
	lv.tenants = append(lv.tenants, tq)
	return tq
}

func (q *queue) levelFor(priority int) *level {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(lv *level, p int) int {
		return lv.priority - p
	})
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// next returns the item to be served next; nil if none waits.
func (q *queue) next() *entry {
	for _, lv := range q.levels {
		if lv.count > 0 {
			return lv.next()
		}
	}
	return nil
}

func (lv *level) next() *entry {
	var best *tenantQueue
	for _, tq := range lv.tenants {
		if len(tq.items) > 0 && (best == nil || tq.pass < best.pass) {
			best = tq
		}
	}
	return best.items[0]
}

// dequeue removes an item that is to be served and charges its tenant for it.
func (q *queue) dequeue(en *entry) {
	tq := en.tenantQueue
	tq.level.pass = max(tq.level.pass, tq.pass)
	tq.pass += 1 / tq.share
	q.remove(en)
}

// remove removes an item without charging its tenant.
func (q *queue) remove(en *entry) {
	tq := en.tenantQueue
	heap.Remove(&tq.items, en.index)
	tq.level.count--
	q.count--
	en.tenantQueue = nil
	if len(tq.items) == 0 {
		tq.level.prune()
	}
}

// maxIdleTenants is how many tenant queues a level may keep without items, to
// save allocating them again.
const maxIdleTenants = 8

// prune drops empty tenant queues whose pass is at most 1 ahead of the level's,
// if the level has more than maxIdleTenants.
func (lv *level) prune() {
	if len(lv.tenants) <= maxIdleTenants {
		return
	}
	lv.tenants = slices.DeleteFunc(lv.tenants, func(tq *tenantQueue) bool {
		return len(tq.items) == 0 && tq.pass <= lv.pass+1
	})
}

// ahead counts the items served before a new one of this priority.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, lv := range q.levels {
		if lv.priority > priority {
			break
		}
		n += lv.count
	}
	return n
}

// expired returns a queued item whose deadline has passed; nil if there is
// none.
func (q *queue) expired(now almondstep.Instant) *entry {
	for _, lv := range q.levels {
		for _, tq := range lv.tenants {
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
	for _, lv := range q.levels {
		for _, tq := range lv.tenants {
			if len(tq.items) > 0 && (first == 0 || tq.items[0].deadline < first) {
				first = tq.items[0].deadline
			}
		}
	}
	return first
}

// shedCandidate returns the item to shed for a new one of this priority and
// tenant: one of the lowest class, of the tenant with the longest queue for its
// share. It returns nil if the new item ranks lowest itself.
func (q *queue) shedCandidate(priority int, tenant almondstep.TenantName) *entry {
	lv := q.lastLevel()
	if lv == nil || lv.priority < priority {
		return nil
	}
	var longest *tenantQueue
	for _, tq := range lv.tenants {
		if len(tq.items) > 0 && (longest == nil || tq.length() > longest.length()) {
			longest = tq
		}
	}
	if lv.priority == priority && longest.tenant == tenant {
		return nil
	}
	return longest.items[len(longest.items)-1]
}

func (q *queue) lastLevel() *level {
	for _, lv := range slices.Backward(q.levels) {
		if lv.count > 0 {
			return lv
		}
	}
	return nil
}

// length returns the number of items per unit of share.
func (tq *tenantQueue) length() float64 {
	return float64(len(tq.items)) / tq.share
}

// shareOf returns a tenant's weight, at least 1.
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
