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

// pool holds the connections to one upstream. They are never more than the
// upstream accepts: each has a permit from its dial to its close.
type pool struct {
	client      *Client
	addr        almondstep.Address
	connections int
	permits     chan struct{}
	dials       *dialLimit
	// shared keeps connections open between requests.
	shared *http.Transport
	// fresh opens a connection for each request, for work that isn't idempotent.
	fresh *http.Transport

	mu       sync.Mutex
	lastUsed time.Time
	inFlight int
	open     map[*conn]struct{}
	spare    *conn
	suspects []*attempt
	provedAt time.Time
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
		dials:       &dialLimit{every: c.DialEvery, burst: dialBurst},
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

// close closes what is idle, for good.
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

// dialShared gives the warm spare, if there is one, else a new connection.
func (p *pool) dialShared(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := p.takeSpare(); c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// dialFresh gives a new connection, if need be in place of an idle one.
func (p *pool) dialFresh(ctx context.Context, _, _ string) (net.Conn, error) {
	if len(p.permits) == cap(p.permits) {
		p.dropIdle()
	}
	return p.dial(ctx)
}

// dial opens a connection when there is a permit and the dial limit allows it.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "no connection to spare")
	}
	raw, err := p.connect(ctx)
	if err != nil {
		<-p.permits
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, opened: time.Now()}
	c.heard.Store(c.opened.UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return c, nil
}

func (p *pool) connect(ctx context.Context) (net.Conn, error) {
	if err := p.dials.wait(ctx); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: p.client.DialTimeout}
	return d.DialContext(ctx, "tcp", string(p.addr))
}

// oneWay is a body that can be read once, so that net/http can't send it again
// on another connection.
type oneWay struct{ io.Reader }

// Close does nothing; the body is in memory.
func (oneWay) Close() error { return nil }
