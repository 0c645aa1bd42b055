// Package exchanger sends routed requests to upstreams over HTTP/1.1 and reports
// exactly how each call ended.
//
// It keeps a pool of connections for each upstream, with one call at a time on a
// connection. It never sends a call twice: the reducer decides on retries. A connection
// is closed after any protocol violation: unsolicited bytes, a response to another
// request, a truncated response.
//
//	c := &exchanger.Client{HeaderCodec: codec}
//	ended := c.Exchange(ctx, call)
//	if ended.Result.NotRun() {
//		// It may be sent elsewhere, even if it isn't idempotent.
//	}
//
// net/http's transport isn't used: it repeats a request on its own when a reused
// connection breaks, and doesn't report how much of a request was sent.
package exchanger

import (
	"cmp"
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep"
	"almondstep/merger"
	"almondstep/rationer"
)

const (
	// DefaultDialTimeout bounds the time to open a connection.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the upstream
	// announces no keep-alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxAnswerBytes bounds the body of a response.
	DefaultMaxAnswerBytes = 8 << 20
	// DefaultMaxRecordsBytes bounds the body of a response of which only the greatest
	// records are needed (SendCall.Records).
	DefaultMaxRecordsBytes = 1 << 20
	// DefaultMaxBufferedBytes bounds the memory of the heads and bodies of all responses that
	// are being read.
	DefaultMaxBufferedBytes = 32 << 20
	// lingerTimeout is how long after a call is broken off its answer is still received.
	lingerTimeout = 100 * time.Millisecond
	// evictAfter is how long a pool is kept after its last call began.
	evictAfter = time.Minute
)

// Client is an almondstep.Exchanger. Its fields are set before its first call.
type Client struct {
	// HeaderCodec encodes and decodes the upstreams' own header fields.
	HeaderCodec almondstep.HeaderCodec
	// In each of the following timeouts and limits, 0 means the default of that name.
	DialTimeout      time.Duration
	IdleTimeout      time.Duration
	MaxAnswerBytes   int64
	MaxRecordsBytes  int64
	MaxBufferedBytes int64
	// Logger is for unresponsive connections and malformed responses; nil disables
	// logging.
	Logger hclog.Logger

	once      sync.Once
	mu        sync.Mutex
	pools     map[poolKey]*pool
	lastSweep time.Time
	memory    rationer.Budget
}

var _ almondstep.Exchanger = (*Client)(nil)

// poolKey identifies an upstream. It includes the ID because another upstream may get
// the same address later.
type poolKey struct {
	id   almondstep.UpstreamID
	addr almondstep.Address
}

func (c *Client) init() {
	c.once.Do(func() {
		c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
		c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
		c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
		c.MaxRecordsBytes = cmp.Or(c.MaxRecordsBytes, DefaultMaxRecordsBytes)
		c.MaxBufferedBytes = cmp.Or(c.MaxBufferedBytes, DefaultMaxBufferedBytes)
		if c.Logger == nil {
			c.Logger = hclog.NewNullLogger()
		}
		c.memory.Limit = c.MaxBufferedBytes
		c.pools = make(map[poolKey]*pool)
		c.lastSweep = time.Now()
	})
}

// Exchange sends one call and waits until it has ended or ctx is canceled or past its
// deadline.
func (c *Client) Exchange(ctx context.Context, call *almondstep.SendCall) *almondstep.CallEnded {
	c.init()
	began := time.Now()
	ended := &almondstep.CallEnded{ID: call.ID, Call: call.Call}
	breakOff := c.exchange(ctx, call, ended)
	ended.Took = time.Since(began)
	if breakOff != nil {
		breakOff()
	}
	return ended
}

// exchange sends a call and waits until it has ended, or is to be broken off by the function that it
// returns.
func (c *Client) exchange(ctx context.Context, call *almondstep.SendCall, ended *almondstep.CallEnded) (breakOff func()) {
	p := c.pool(call, time.Now())
	cn, err := p.get(ctx, call)
	if err != nil {
		// No connection was available in time, so nothing was sent.
		ended.Result = almondstep.CallRefused
		return nil
	}
	done := cn.begin(call.Request.Method, c.maxBodyBytes(call))
	if n, err := cn.send(ctx, encodeRequest(call, c.HeaderCodec.RequestHeader(call, remainingUsefulFor(ctx, call)))); err != nil {
		p.drop(cn)
		ended.Result = failureResult(ctx, n > 0)
		ended.Disconnected = n > 0 && endedByPeer(err)
		return nil
	}
	select {
	case got := <-done:
		c.handleReceived(p, cn, call, got, ended)
		return nil
	case <-ctx.Done():
		ended.Result = failureResult(ctx, true)
		return func() { c.breakOff(p, cn, call, done, ended) }
	}
}

// breakOff ends a call that was canceled or timed out. Only the sending side is closed at first, so
// that an answer which the upstream has sent, or sends now that it sees the end, is still received:
// it may say that the request hasn't run, and what the upstream wants of this daemon.
func (c *Client) breakOff(p *pool, cn *conn, call *almondstep.SendCall, done <-chan received, ended *almondstep.CallEnded) {
	brokenOffAt := time.Now()
	if err := cn.closeWrite(); err != nil {
		p.abandon(cn, brokenOffAt)
		return
	}
	linger := time.NewTimer(lingerTimeout)
	defer linger.Stop()
	select {
	case got := <-done:
		if got.err != nil {
			p.drop(cn)
			return
		}
		got.reusable = false
		c.handleReceived(p, cn, call, got, ended)
	case <-linger.C:
		p.abandon(cn, brokenOffAt)
	}
}

// maxBodyBytes is the maximum length of the body of a call's response.
func (c *Client) maxBodyBytes(call *almondstep.SendCall) int64 {
	if call.Records > 0 {
		return c.MaxRecordsBytes
	}
	return c.MaxAnswerBytes
}

// remainingUsefulFor is how long the response is still useful once the call has a
// connection: call.UsefulFor less the time spent waiting for the connection. If
// nothing of it remains, the response is useful until the call times out.
func remainingUsefulFor(ctx context.Context, call *almondstep.SendCall) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return call.UsefulFor
	}
	left := time.Until(deadline)
	if remaining := call.UsefulFor - (call.Timeout - left); remaining > 0 {
		return min(remaining, left)
	}
	return left
}

// handleReceived sets the result of a call that was answered or whose connection failed,
// and returns the connection to the pool or closes it.
func (c *Client) handleReceived(p *pool, cn *conn, call *almondstep.SendCall, got received, ended *almondstep.CallEnded) {
	if got.err != nil {
		p.drop(cn)
		ended.Result = almondstep.CallBroken
		ended.Disconnected = endedByPeer(got.err)
		if errors.Is(got.err, errMalformed) {
			ended.Result = almondstep.CallInvalidResponse
			c.Logger.Info("malformed response", "upstream", call.Upstream.ID, "addr", call.Upstream.Addr,
				"request", call.Request.Key, "err", got.err)
		}
		return
	}
	ended.Response = got.response
	c.HeaderCodec.ParseResponse(call, got.response, ended)
	if ended.RetryAfter > 0 {
		p.pause(time.Now().Add(min(ended.RetryAfter, pauseNotice)))
	}
	switch {
	case ended.Result == almondstep.CallInvalidResponse:
		ended.Response = nil
	case ended.Result == almondstep.CallDone && call.Records > 0:
		trim(got.response, call.Records)
		got.response.Header = nil
	}
	if !got.reusable || ended.Result == almondstep.CallInvalidResponse || ended.Result == almondstep.CallMisdirected {
		p.drop(cn)
		return
	}
	p.put(cn)
}

// endedByPeer reports whether an error of a connection means that the other side closed
// or reset it, as the operating system of a crashed process does.
func endedByPeer(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// trim keeps only the greatest records of a shard's response. A response that isn't much
// longer than these is left unchanged.
func trim(part *almondstep.ResponseMessage, records int) {
	const muchLonger = 4
	if len(part.Body) > muchLonger*records*merger.RecordBytes {
		part.Body = merger.Greatest(records, part.Body)
	}
}

// failureResult is the result of a call without a response; sent is whether any bytes of
// the call may have been sent.
func failureResult(ctx context.Context, sent bool) almondstep.CallResult {
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

// pool returns the upstream's pool, creating it if necessary.
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

// sweep evicts the pools that weren't used for evictAfter. The caller holds mu.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < evictAfter/2 {
		return
	}
	c.lastSweep = now
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
