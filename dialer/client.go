// Package dialer sends requests to upstreams, over the HTTP protocol described
// in docs/PROTOCOLS.md, and reports accurately how each ended.
//
// It has a pool of connections for each upstream, within the number that the
// upstream accepts. It never sends a request twice: retries are the reducer's
// decision. An open connection can become silent, that is stop delivering data
// without being closed, while new ones work. So a request that is overdue on a used
// connection starts a liveness probe on a fresh one. If the probe is answered, the
// silent connection is closed, and so are the idle ones that have received nothing
// since the request began. A request that isn't idempotent always gets a fresh
// connection.
//
//	c := &dialer.Client{}
//	ended := c.Do(ctx, &almondstep.StartAttempt{
//		Addr: "127.0.0.1:7101", Shard: shard, Version: 7, Text: "walnut",
//		Limit: 10, Idempotent: true, Timeout: 40 * time.Millisecond, Connections: 12,
//	})
//	if ended.Result == almondstep.CallShed {
//		// It has not run.
//	}
//
// The calls don't go through httpc: it writes a log line for each failed call,
// and its circuit breaker would hide a cold upstream's recovery.
package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondstep"
)

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultOverdueAfter is the minimum time after which a request counts as overdue.
	DefaultOverdueAfter = 100 * time.Millisecond
	// DefaultEvictAfter is how long the pool of an unused upstream is kept.
	DefaultEvictAfter = 5 * time.Minute
	// DefaultDialInterval is the interval between dials to one upstream once the
	// burst is used up.
	DefaultDialInterval = 10 * time.Millisecond
	// DefaultMaxAnswerBytes bounds the body of an answer.
	DefaultMaxAnswerBytes = 8 << 20
)

// Client is an almondstep.UpstreamClient. Its fields must be set before the
// first call; the zero value uses the defaults.
type Client struct {
	DialTimeout    time.Duration
	OverdueAfter   time.Duration
	EvictAfter     time.Duration
	DialInterval   time.Duration
	MaxAnswerBytes int64
	// Logger logs connections found to be silent; nil logs nothing.
	Logger hclog.Logger

	once      sync.Once
	mu        sync.Mutex
	pools     map[almondstep.Address]*pool
	lastSweep time.Time
	stopped   bool
}

var _ almondstep.UpstreamClient = (*Client)(nil)

func (c *Client) init() {
	c.once.Do(func() {
		c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
		c.OverdueAfter = orDefault(c.OverdueAfter, DefaultOverdueAfter)
		c.EvictAfter = orDefault(c.EvictAfter, DefaultEvictAfter)
		c.DialInterval = orDefault(c.DialInterval, DefaultDialInterval)
		if c.MaxAnswerBytes == 0 {
			c.MaxAnswerBytes = DefaultMaxAnswerBytes
		}
		if c.Logger == nil {
			c.Logger = hclog.NewNullLogger()
		}
		c.pools = map[almondstep.Address]*pool{}
		c.lastSweep = time.Now()
	})
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Do sends one request and waits until it is answered, fails, times out or is
// canceled through ctx.
func (c *Client) Do(ctx context.Context, a *almondstep.StartAttempt) *almondstep.AttemptEnded {
	c.init()
	began := time.Now()
	ended := &almondstep.AttemptEnded{Addr: a.Addr, Call: a.Call, Result: almondstep.CallRefused}
	if p := c.pool(a, began); p != nil {
		p.do(ctx, a, ended)
	}
	ended.Took = time.Since(began)
	return ended
}

// Pools returns the number of upstreams that have a pool.
func (c *Client) Pools() int {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pools)
}

// Close closes the idle connections; later requests are refused.
func (c *Client) Close() {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, p := range c.pools {
		p.close()
	}
	clear(c.pools)
}

// pool finds or creates the upstream's pool; it returns nil after Close.
func (c *Client) pool(a *almondstep.StartAttempt, now time.Time) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	c.sweep(now)
	p, ok := c.pools[a.Addr]
	if !ok || p.connections != a.Connections && p.idle() {
		if ok {
			p.close()
		}
		p = newPool(c, a.Addr, a.Connections)
		c.pools[a.Addr] = p
	}
	p.use(now)
	return p
}

// sweep evicts the pools unused for longer than EvictAfter. The caller holds mu.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < c.EvictAfter/2 {
		return
	}
	c.lastSweep = now
	for addr, p := range c.pools {
		if p.unusedSince(now.Add(-c.EvictAfter)) {
			p.close()
			delete(c.pools, addr)
		}
	}
}
