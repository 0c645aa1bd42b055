package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"almondstep"
	"almondstep/claimer"
)

// fakePlatform is an in-memory platform whose calls can fail and whose answers can
// be lost.
type fakePlatform struct {
	mu      sync.Mutex
	entries map[string]almondstep.Entry
	reads   int
	writes  int
	// largestValue is the size of the largest value written.
	largestValue int
	// before is called at the start of each call with its kind, outside the lock;
	// if it returns an error, the call has no effect and returns it.
	before func(kind, key string) error
	// after is called after a write took effect; if it returns an error, the call
	// returns it.
	after func(key string) error
}

func (p *fakePlatform) Get(_ context.Context, key string) (almondstep.Entry, error) {
	if err := p.call("get", key); err != nil {
		return almondstep.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[key], nil
}

func (p *fakePlatform) CompareAndSwap(_ context.Context, key string, base uint64, body []byte) (uint64, error) {
	if err := p.call("swap", key); err != nil {
		return 0, err
	}
	p.mu.Lock()
	e := p.entries[key]
	if e.Revision != base {
		p.mu.Unlock()
		return 0, almondstep.ErrConflict
	}
	if p.entries == nil {
		p.entries = map[string]almondstep.Entry{}
	}
	p.entries[key] = almondstep.Entry{Revision: base + 1, Value: body}
	p.largestValue = max(p.largestValue, len(body))
	p.mu.Unlock()
	if p.after != nil {
		if err := p.after(key); err != nil {
			return 0, err
		}
	}
	return base + 1, nil
}

func (p *fakePlatform) call(kind, key string) error {
	p.mu.Lock()
	if kind == "get" {
		p.reads++
	} else {
		p.writes++
	}
	p.mu.Unlock()
	if p.before == nil {
		return nil
	}
	return p.before(kind, key)
}

func (*fakePlatform) Watch(context.Context, string, uint64, time.Duration) (almondstep.Entry, error) {
	return almondstep.Entry{}, almondstep.ErrUnavailable
}

func (*fakePlatform) Lease(context.Context, string, string, time.Duration) error {
	return almondstep.ErrUnavailable
}

func (*fakePlatform) Fleet(context.Context, almondstep.Revision, time.Duration) (almondstep.Fleet, error) {
	return almondstep.Fleet{}, almondstep.ErrUnavailable
}

// run starts a new claimer that stops when the test ends.
func run(t *testing.T, p almondstep.Platform) *claimer.Claimer {
	t.Helper()
	c := &claimer.Claimer{Platform: p}
	serve(t, c)
	return c
}

// serve runs a claimer until the test ends.
func serve(t *testing.T, c *claimer.Claimer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// key returns a key with the present time.
func key(random string) string {
	return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), random)
}
