package limiter

import (
	"container/heap"
	"slices"

	"almondstep"
)

// The queue of one upstream serves classes by priority, tenants of one class by
// their shares, and items of one tenant by deadline. A tenant that floods makes
// its own lane long and no other's.

// entry is one item, queued or in flight.
type entry struct {
	key      itemKey
	item     almondstep.Item
	work     *almondstep.Work
	deadline almondstep.Instant

	lane  *lane
	index int

	// call is 0 while the item is queued.
	call      almondstep.CallID
	startedAt almondstep.Instant
	endsBy    almondstep.Instant
	canceled  bool
	// capacity is how many requests were allowed when the call was sent.
	capacity int
	// full says that the allowance was in use while the call ran.
	full  bool
	proof bool
}

// itemKey identifies an item at its upstream, which is of one service.
type itemKey struct {
	query   almondstep.QueryID
	attempt almondstep.AttemptID
	index   uint32
	of      uint32
}

func keyOf(q almondstep.QueryID, a almondstep.AttemptID, i almondstep.Item) itemKey {
	return itemKey{query: q, attempt: a, index: i.Shard.Index(), of: i.Shard.Of()}
}

// queue is the waiting items of one upstream.
type queue struct {
	count  int
	levels []*level
}

// level has the items of one priority.
type level struct {
	priority int
	count    int
	// pass is the virtual time of the level: the pass of the lane served last.
	pass  float64
	lanes []*lane
}

// lane has one tenant's items of one level, the earliest deadline first.
type lane struct {
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

// Push is for container/heap.
func (b *byDeadline) Push(x any) {
	en := x.(*entry)
	en.index = len(*b)
	*b = append(*b, en)
}

// Pop is for container/heap.
func (b *byDeadline) Pop() any {
	last := len(*b) - 1
	en := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	return en
}

func (q *queue) push(en *entry, share int) {
	l := q.laneFor(en.work.Priority, en.work.Tenant)
	l.share = float64(share)
	if len(l.items) == 0 {
		l.pass = max(l.pass, l.level.pass)
	}
	en.lane = l
	heap.Push(&l.items, en)
	l.level.count++
	q.count++
}

func (q *queue) laneFor(priority int, tenant almondstep.TenantName) *lane {
	lv := q.levelFor(priority)
	for _, l := range lv.lanes {
		if l.tenant == tenant {
			return l
		}
	}
	l := &lane{level: lv, tenant: tenant, pass: lv.pass}
	lv.lanes = append(lv.lanes, l)
	return l
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

// next is the item to be served next; nil if none waits.
func (q *queue) next() *entry {
	for _, lv := range q.levels {
		if lv.count > 0 {
			return lv.next()
		}
	}
	return nil
}

func (lv *level) next() *entry {
	var best *lane
	for _, l := range lv.lanes {
		if len(l.items) > 0 && (best == nil || l.pass < best.pass) {
			best = l
		}
	}
	return best.items[0]
}

// served takes out an item that gets its turn, which its tenant pays for.
func (q *queue) served(en *entry) {
	l := en.lane
	l.level.pass = max(l.level.pass, l.pass)
	l.pass += 1 / l.share
	q.remove(en)
}

// remove takes out an item.
func (q *queue) remove(en *entry) {
	l := en.lane
	heap.Remove(&l.items, en.index)
	l.level.count--
	q.count--
	en.lane = nil
	if len(l.items) == 0 {
		l.level.prune()
	}
}

// idleLanes is how many lanes a level may keep without items, to spare making
// them anew.
const idleLanes = 8

// prune drops empty lanes that have no debt, where there are many.
func (lv *level) prune() {
	if len(lv.lanes) <= idleLanes {
		return
	}
	lv.lanes = slices.DeleteFunc(lv.lanes, func(l *lane) bool {
		return len(l.items) == 0 && l.pass <= lv.pass+1
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

// expired is a queued item whose deadline has passed; nil if there is none.
func (q *queue) expired(now almondstep.Instant) *entry {
	for _, lv := range q.levels {
		for _, l := range lv.lanes {
			if len(l.items) > 0 && l.items[0].deadline <= now {
				return l.items[0]
			}
		}
	}
	return nil
}

// earliest is the first deadline of all that wait; 0 if none waits.
func (q *queue) earliest() almondstep.Instant {
	first := almondstep.Instant(0)
	for _, lv := range q.levels {
		for _, l := range lv.lanes {
			if len(l.items) > 0 && (first == 0 || l.items[0].deadline < first) {
				first = l.items[0].deadline
			}
		}
	}
	return first
}

// leastWanted is an item that should give way to one of this priority and
// tenant: one of the last class, of the tenant with the longest lane for its
// share. It is nil if the new item is the least wanted itself.
func (q *queue) leastWanted(priority int, tenant almondstep.TenantName) *entry {
	lv := q.lastLevel()
	if lv == nil || lv.priority < priority {
		return nil
	}
	var longest *lane
	for _, l := range lv.lanes {
		if len(l.items) > 0 && (longest == nil || l.length() > longest.length()) {
			longest = l
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

// length is the number of items for each unit of share.
func (l *lane) length() float64 {
	return float64(len(l.items)) / l.share
}

// shareOf is a tenant's weight, at least 1.
func shareOf(v *almondstep.View, tenant almondstep.TenantName) int {
	c := v.Catalog()
	if c == nil {
		return 1
	}
	text, ok := c.Tenant(tenant)
	if !ok {
		return 1
	}
	return max(1, text.Share)
}
