package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	idleConnTimeout = 90 * time.Second
	maxHeaderBytes  = 16 << 10
	// dialBurst is the number of dials allowed at once.
	dialBurst = 4
)

// pool holds the connections to one upstream, never more than the upstream
// accepts: each connection holds a permit from its dial to its close.
type pool struct {
	client      *Client
	addr        almondstep.Address
	connections int
	permits     chan struct{}
	dialLimiter *dialLimiter
	// shared reuses connections for idempotent requests.
	shared *http.Transport
	// fresh opens a connection per request, for probes and for requests that
	// aren't idempotent.
	fresh *http.Transport

	mu       sync.Mutex
	lastUsed time.Time
	inFlight int
	open     map[*conn]struct{}
	// spare is the connection of the last liveness probe, until it is used.
	spare *conn
	// suspects are the requests that wait for the result of the current probe.
	suspects []*attempt
	// probedAt is when the last probe ended.
	probedAt time.Time
	closed   bool
	latency  latency
}

func newPool(c *Client, addr almondstep.Address, connections int) *pool {
	connections = max(1, connections)
	p := &pool{
		client:      c,
		addr:        addr,
		connections: connections,
		permits:     make(chan struct{}, connections),
		open:        map[*conn]struct{}{},
		dialLimiter: &dialLimiter{interval: c.DialInterval, burst: dialBurst},
	}
	p.shared = &http.Transport{
		DialContext:         p.dialShared,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	p.fresh = &http.Transport{
		DialContext:        p.dialFresh,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return p
}

func (p *pool) use(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	p.inFlight++
}

func (p *pool) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight == 0
}

func (p *pool) unusedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight == 0 && p.lastUsed.Before(t)
}

// close closes the idle connections; a probe that ends later keeps no spare.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}

func (p *pool) dropIdle() {
	p.shared.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
	if c := p.takeSpare(); c != nil {
		_ = c.Close()
	}
}

func (p *pool) takeSpare() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.spare
	p.spare = nil
	return c
}

// dialShared returns the spare connection left by a probe, if there is one, else
// a new connection.
func (p *pool) dialShared(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := p.takeSpare(); c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// dialFresh returns a new connection. If all permits are taken, it first closes
// the idle connections.
func (p *pool) dialFresh(ctx context.Context, _, _ string) (net.Conn, error) {
	if len(p.permits) == cap(p.permits) {
		p.dropIdle()
	}
	return p.dial(ctx)
}

// dial opens a connection as soon as a permit is free and the dial limiter
// allows it.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "all connections to the upstream are in use")
	}
	raw, err := p.connect(ctx)
	if err != nil {
		<-p.permits
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, opened: time.Now()}
	c.lastRead.Store(c.opened.UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return c, nil
}

func (p *pool) connect(ctx context.Context) (net.Conn, error) {
	if err := p.dialLimiter.wait(ctx); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: p.client.DialTimeout}
	return d.DialContext(ctx, "tcp", string(p.addr))
}

// singleUseBody is a body that can be read only once, so that net/http can't
// send it again on another connection.
type singleUseBody struct{ io.Reader }

// Close does nothing; the body is in memory.
func (singleUseBody) Close() error { return nil }
