// Package scheduler keeps the order of what happens in virtual time, for simulations in tests.
//
//	var q scheduler.Queue[time.Duration]
//	q.Add(2*time.Second, second)
//	q.Add(time.Second, first)
//	for at, run, ok := q.Next(until); ok; at, run, ok = q.Next(until) {
//		now = at
//		run()
//	}
package scheduler

import (
	"cmp"
	"container/heap"
)

// Queue holds functions and the times at which they are to be run. The zero value is empty.
type Queue[T cmp.Ordered] struct {
	events events[T]
	added  int
}

// Add adds a function that is to be run at a time.
func (q *Queue[T]) Add(at T, run func()) {
	q.added++
	heap.Push(&q.events, event[T]{at: at, serial: q.added, run: run})
}

// Next removes and returns the function with the earliest time, up to a last one, and that time. Of
// several with the same time, it returns the one that was added first.
func (q *Queue[T]) Next(last T) (at T, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > last {
		return at, nil, false
	}
	e := heap.Pop(&q.events).(event[T])
	return e.at, e.run, true
}

type event[T cmp.Ordered] struct {
	at     T
	serial int
	run    func()
}

// events is a heap with the earliest event first.
type events[T cmp.Ordered] []event[T]

func (h events[T]) Len() int { return len(h) }

func (h events[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}

func (h events[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events[T]) Push(x any) { *h = append(*h, x.(event[T])) }

// Pop implements heap.Interface.
func (h *events[T]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
