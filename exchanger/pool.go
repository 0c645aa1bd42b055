package exchanger

import (
	"context"
	"net"
	"sync"
	"time"

	"almondstep"
)

const (
	// maxSilenceUnrepeatable is the maximum time since the last received bytes on a
	// connection that is reused for a call that can't be repeated.
	maxSilenceUnrepeatable = 700 * time.Millisecond
	// silentAfter is the time without received bytes after which a reused connection
	// is taken to be half-open.
	silentAfter = 230 * time.Millisecond
)

// pool holds the connections to one upstream.
type pool struct {
	client *Client
	key    poolKey
	// usedAt is guarded by the client's mutex.
	usedAt time.Time

	mu      sync.Mutex
	idle    []*conn
	open    int
	waiters []chan struct{}
}

// get returns the most recently used idle connection or opens one. At the limit it
// waits until a connection is returned or closed.
func (p *pool) get(ctx context.Context, call *almondstep.SendCall) (*conn, error) {
	for {
		cn, wait := p.take(call, time.Now())
		switch {
		case cn != nil:
			return cn, nil
		case wait == nil:
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take returns an idle connection. Without one, the caller may open a connection if
// wait is nil, and otherwise has to wait for it and try again.
func (p *pool) take(call *almondstep.SendCall, now time.Time) (cn *conn, wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if cn.usable(now) && (!call.FreshConnection || now.Sub(cn.lastRead()) < maxSilenceUnrepeatable) {
			return cn, nil
		}
		cn.close()
		p.open--
	}
	if p.open < call.Connections {
		p.open++
		return nil, nil
	}
	wait = make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, wait
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	// Half-open connections are detected by the calls on them, so TCP keep-alive
	// probes aren't needed.
	d := net.Dialer{Timeout: p.client.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", string(p.key.addr))
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(raw, p.client), nil
}

// put returns a connection to the pool.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cn)
	p.wake()
}

// drop closes a connection and frees its place in the pool.
func (p *pool) drop(cn *conn) {
	cn.close()
	p.release()
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wake()
}

// wake lets the call that has waited longest try again. The caller holds mu.
func (p *pool) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// abandon closes a connection whose call was canceled or timed out. If nothing was
// received on it for silentAfter since the call was sent, the idle connections with
// no received bytes since then are closed too: what dropped the state of one
// connection has likely dropped that of the others.
func (p *pool) abandon(cn *conn) {
	began, lastRead := cn.began, cn.lastRead()
	p.drop(cn)
	if !cn.used || lastRead.After(began) || time.Since(began) < silentAfter {
		return
	}
	if n := p.closeIdle(began); n > 0 {
		p.client.Logger.Info("closed unresponsive connections", "upstream", p.key.id, "addr", p.key.addr, "closed", n+1)
	}
}

// closeIdle closes the idle connections with no received bytes since before and
// returns their number.
func (p *pool) closeIdle(before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	closed := 0
	for _, cn := range p.idle {
		if cn.lastRead().Before(before) {
			cn.close()
			closed++
			continue
		}
		kept = append(kept, cn)
	}
	p.idle = kept
	p.open -= closed
	for range closed {
		p.wake()
	}
	return closed
}
