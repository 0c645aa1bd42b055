package querier

import "almondstep"

// canceledItem is an item of an attempt whose result is no longer needed.
type canceledItem struct {
	attempt almondstep.AttemptID
	item    almondstep.Item
}

// closeOtherTries closes the remaining open tries of a merged shard; sendCancels
// notifies their owners.
func (q *Queries) closeOtherTries(qu *query, target int) {
	sh := &qu.shards[target]
	for i := range sh.tryCount {
		t := &sh.tries[i]
		if !t.open {
			continue
		}
		qu.closeTry(t)
		at := &qu.attempts[t.attempt-1]
		q.digestOf(qu.request.service.Name()).Observe(q.now.Sub(at.sent))
		q.scratch.cancels = append(q.scratch.cancels, canceledItem{attempt: t.attempt, item: at.items[t.item]})
	}
}

// sendCancels sends one message for each attempt with canceled items.
func (q *Queries) sendCancels(qu *query) {
	s := &q.scratch
	for len(s.cancels) > 0 {
		id := s.cancels[0].attempt
		items := make([]almondstep.Item, 0, len(s.cancels))
		rest := s.cancels[:0]
		for _, c := range s.cancels {
			if c.attempt == id {
				items = append(items, c.item)
			} else {
				rest = append(rest, c)
			}
		}
		s.cancels = rest
		q.emit(&almondstep.SendCancel{Owner: qu.attempts[id-1].owner, Query: qu.id, Attempt: id, Items: items})
	}
}

// cancelAll cancels every attempt that is still open, and closes its tries.
func (q *Queries) cancelAll(qu *query) {
	for i := range qu.attempts {
		at := &qu.attempts[i]
		if at.open == 0 {
			continue
		}
		qu.inFlight -= at.open
		at.open = 0
		q.emit(&almondstep.SendCancel{Owner: at.owner, Query: qu.id, Attempt: almondstep.AttemptID(i + 1)})
	}
}

// callerGone ends a query without an answer.
func (q *Queries) callerGone(qu *query) {
	q.cancelAll(qu)
	q.remove(qu)
}
