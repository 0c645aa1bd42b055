package runner

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// callWaiters matches the control thread's replies to the calls waiting for them.
type callWaiters struct {
	mu      sync.Mutex
	next    almondstep.CallID
	waiting map[almondstep.CallID]chan almondstep.Effect
}

func (c *callWaiters) init() {
	c.waiting = make(map[almondstep.CallID]chan almondstep.Effect)
}

func (c *callWaiters) add() (almondstep.CallID, chan almondstep.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	ch := make(chan almondstep.Effect, 1)
	c.waiting[c.next] = ch
	return c.next, ch
}

func (c *callWaiters) remove(call almondstep.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, call)
}

func (c *callWaiters) reply(call almondstep.CallID, f almondstep.Effect) {
	c.mu.Lock()
	ch, ok := c.waiting[call]
	delete(c.waiting, call)
	c.mu.Unlock()
	if ok {
		ch <- f
	}
}

func (c *callWaiters) wait(ctx, lifetime context.Context, ch chan almondstep.Effect) (almondstep.Effect, error) {
	select {
	case f := <-ch:
		return f, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), almondstep.ErrUnavailable)
	case <-lifetime.Done():
		return nil, almondstep.ErrClosed
	}
}
