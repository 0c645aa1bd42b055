// Package exchanger sends routed requests to upstreams over HTTP/1.1 and says
// truthfully how each call ended.
//
// It keeps a pool of connections for each upstream, one call at a time on a
// connection. It never sends a call twice: whether to try again is the reducer's
// decision. A connection is closed after anything odd: bytes that nobody asked
// for, an answer to another request, an answer that breaks off.
//
//	c := &exchanger.Client{Dialect: d}
//	ended := c.Exchange(ctx, call)
//	if ended.Result.NotRun() {
//		// It may be sent elsewhere, whatever it does.
//	}
//
// net/http's transport isn't used: it repeats a request by itself when a kept
// connection breaks, and doesn't tell how much of a request was sent.
package exchanger

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/merger"
)

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept unused where the
	// upstream states no time of its own.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxAnswerBytes bounds an answer.
	DefaultMaxAnswerBytes = 8 << 20
	// DefaultMaxPartBytes bounds one of which only the greatest records are wanted.
	DefaultMaxPartBytes = 1 << 20
	// DefaultMaxHeldBytes bounds all answers that are being read.
	DefaultMaxHeldBytes = 32 << 20
	// evictAfter is how long an unused upstream's pool is kept.
	evictAfter = time.Minute
)

// Client is an almondstep.Exchanger. Its fields are set before its first call.
type Client struct {
	// Dialect writes and reads the upstreams' own header fields.
	Dialect almondstep.HeaderCodec
	// DialTimeout, IdleTimeout and the bounds in bytes are defaults where 0.
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxAnswerBytes int64
	MaxPartBytes   int64
	MaxHeldBytes   int64
	// Logger gets the connections found silent and the answers that were none; nil
	// logs nothing.
	Logger hclog.Logger

	once  sync.Once
	mu    sync.Mutex
	pools map[poolKey]*pool
	swept time.Time
	held  memory
}

var _ almondstep.Exchanger = (*Client)(nil)

// poolKey names an upstream at its address, which another may get later.
type poolKey struct {
	id   almondstep.UpstreamID
	addr almondstep.Address
}

func (c *Client) init() {
	c.once.Do(func() {
		c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
		c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
		c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
		c.MaxPartBytes = cmp.Or(c.MaxPartBytes, DefaultMaxPartBytes)
		c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, DefaultMaxHeldBytes)
		if c.Logger == nil {
			c.Logger = hclog.NewNullLogger()
		}
		c.held.left = c.MaxHeldBytes
		if c.Logger == nil {
			c.Logger = hclog.NewNullLogger()
		}
		c.pools = make(map[poolKey]*pool)
		c.swept = time.Now()
	})
}

// Exchange sends one call and waits until it has ended, been canceled through
// ctx, or timed out.
func (c *Client) Exchange(ctx context.Context, call *almondstep.SendCall) *almondstep.CallEnded {
	c.init()
	began := time.Now()
	ended := &almondstep.CallEnded{ID: call.ID, Call: call.Call}
	c.exchange(ctx, call, ended)
	ended.Took = time.Since(began)
	return ended
}

func (c *Client) exchange(ctx context.Context, call *almondstep.SendCall, ended *almondstep.CallEnded) {
	p := c.pool(call, time.Now())
	cn, err := p.get(ctx, call)
	if err != nil {
		// Nothing was sent.
		ended.Result = almondstep.CallRefused
		return
	}
	waiting := cn.begin(call.Request.Method, c.limit(call))
	if n, err := cn.send(ctx, encode(call, c.Dialect.RequestHeader(call, stillWanted(ctx, call)))); err != nil {
		p.drop(cn)
		ended.Result = failure(ctx, n > 0)
		return
	}
	select {
	case got := <-waiting:
		c.took(p, cn, call, got, ended)
	case <-ctx.Done():
		ended.Result = failure(ctx, true)
		p.abandon(cn)
	}
}

// limit bounds the body of a call's answer, in bytes.
func (c *Client) limit(call *almondstep.SendCall) int64 {
	if call.Records > 0 {
		return c.MaxPartBytes
	}
	return c.MaxAnswerBytes
}

// stillWanted is how long the answer is still wanted now that a connection is
// there: what the call has waited for one is over. An answer that comes too late
// for its first purpose is wanted until the call is given up.
func stillWanted(ctx context.Context, call *almondstep.SendCall) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return call.Wanted
	}
	left := time.Until(deadline)
	if wanted := call.Wanted - (call.Timeout - left); wanted > 0 {
		return min(wanted, left)
	}
	return left
}

// took judges an answer, or the lack of one.
func (c *Client) took(p *pool, cn *conn, call *almondstep.SendCall, got received, ended *almondstep.CallEnded) {
	if got.err != nil {
		p.drop(cn)
		ended.Result = almondstep.CallBroken
		if errors.Is(got.err, errMalformed) {
			ended.Result = almondstep.CallInvalidResponse
			c.Logger.Info("bytes that are no answer", "upstream", call.Upstream.ID, "addr", call.Upstream.Addr,
				"request", call.Request.Key, "err", got.err)
		}
		return
	}
	ended.Response = got.response
	c.Dialect.ParseResponse(call, got.response, ended)
	switch {
	case ended.Result == almondstep.CallInvalidResponse:
		ended.Response = nil
	case ended.Result == almondstep.CallDone && call.Records > 0:
		trim(got.response, call.Records)
	}
	if !got.reusable || ended.Result == almondstep.CallInvalidResponse || ended.Result == almondstep.CallMisdirected {
		p.drop(cn)
		return
	}
	p.put(cn)
}

// trim keeps only the records of a part that can be in an answer. A part not much
// longer than that is left to the merger.
func trim(part *almondstep.ResponseMessage, records int) {
	const muchLonger = 4
	if len(part.Body) > muchLonger*records*merger.RecordBytes {
		part.Body = merger.Greatest(records, part.Body)
	}
}

// failure says how a call without an answer ended, when some of it was sent.
func failure(ctx context.Context, sent bool) almondstep.CallResult {
	switch {
	case !sent:
		return almondstep.CallRefused
	case errors.Is(ctx.Err(), context.Canceled):
		return almondstep.CallCanceled
	case ctx.Err() != nil:
		return almondstep.CallTimeout
	default:
		return almondstep.CallBroken
	}
}

// pool finds or makes the upstream's pool.
func (c *Client) pool(call *almondstep.SendCall, now time.Time) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	k := poolKey{id: call.Upstream.ID, addr: call.Upstream.Addr}
	p, ok := c.pools[k]
	if !ok {
		p = &pool{client: c, key: k}
		c.pools[k] = p
	}
	p.usedAt = now
	return p
}

// sweep evicts the pools that were not used for a while. The caller holds mu.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < evictAfter/2 {
		return
	}
	c.swept = now
	for k, p := range c.pools {
		if now.Sub(p.usedAt) > evictAfter {
			p.closeIdle(now)
			delete(c.pools, k)
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle(time.Now())
	}
}
