package runner

import (
	"context"
	"sync"

	"almondstep"
)

// attemptKey identifies one call to one upstream.
type attemptKey struct {
	addr almondstep.Address
	call almondstep.CallID
}

// attemptCancels holds the cancel functions of the calls in flight. It has a lock
// because a call's own goroutine removes its entry when the call ends.
type attemptCancels struct {
	mu    sync.Mutex
	calls map[attemptKey]context.CancelFunc
}

func (c *attemptCancels) init() {
	c.calls = make(map[attemptKey]context.CancelFunc)
}

func (c *attemptCancels) add(a almondstep.Address, call almondstep.CallID, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[attemptKey{addr: a, call: call}] = cancel
}

// cancel cancels a call if it is still in flight and removes it.
func (c *attemptCancels) cancel(a almondstep.Address, call almondstep.CallID) {
	k := attemptKey{addr: a, call: call}
	c.mu.Lock()
	cancel, ok := c.calls[k]
	delete(c.calls, k)
	c.mu.Unlock()
	if ok {
		cancel()
	}
}
