package exchanger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	// maxSilenceUnrepeatable is the maximum time since bytes were last received on a
	// connection that is reused for a call with FreshConnection, which can't be repeated.
	maxSilenceUnrepeatable = 700 * time.Millisecond
	// halfOpenAfter is the time without received bytes after which a reused connection is
	// assumed to be half-open when its call is canceled or times out.
	halfOpenAfter = 230 * time.Millisecond
	// pauseNotice is how long after an upstream has asked for a pause its calls are refused here, at
	// most: those that were sent before the decisions on calls took notice of it.
	pauseNotice = 250 * time.Millisecond
)

// errPaused means that the upstream wants no calls, so that nothing was sent.
var errPaused = errors.New("the upstream has asked for a pause")

// pool holds the connections to one upstream.
type pool struct {
	client *Client
	key    poolKey
	// usedAt is guarded by the client's mutex.
	usedAt time.Time

	mu sync.Mutex
	// idle has the idle connections, the most recently used last.
	idle []*conn
	// open counts the connections, including those in use and those being opened.
	open int
	// refusedUntil is until when calls are refused that would wait for a connection, or open one.
	refusedUntil time.Time
	// waiters has a channel for each call that waits for a connection, the first one first.
	waiters []chan struct{}
}

// get returns the most recently used idle connection that is usable for the call, or
// opens one. If call.Connections are open, it waits until one is returned or closed.
func (p *pool) get(ctx context.Context, call *almondstep.SendCall) (*conn, error) {
	for {
		cn, wait, err := p.take(call, time.Now())
		switch {
		case err != nil:
			return nil, err
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

// take returns an idle connection that is usable for the call, and closes those that
// aren't. If it returns none, the caller may open a connection if wait is nil; otherwise
// it must try again once wait is closed. It returns errPaused for a call that must not be sent.
func (p *pool) take(call *almondstep.SendCall, now time.Time) (cn *conn, wait chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.refusedUntil) {
		return nil, nil, errPaused
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if cn.usable(now) && (!call.FreshConnection || now.Sub(cn.lastRead()) < maxSilenceUnrepeatable) {
			return cn, nil, nil
		}
		cn.close()
		p.open--
	}
	if p.open < call.Connections {
		p.open++
		return nil, nil, nil
	}
	wait = make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

// pause refuses the calls that wait for a connection, and those that follow until an instant.
func (p *pool) pause(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedUntil = until
	for len(p.waiters) > 0 {
		p.wake()
	}
}

// dial opens a connection that take has counted as open.
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

// put returns a connection that can be reused to the pool.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cn)
	p.wake()
}

// drop closes a connection, so that another one may be opened.
func (p *pool) drop(cn *conn) {
	cn.close()
	p.release()
}

// release records that a connection is no longer open.
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

// abandon closes a connection whose call was canceled or timed out at an instant. If the
// connection was reused and nothing was received on it for at least halfOpenAfter since the call began,
// the idle connections on which nothing was received since then are closed too: whatever
// dropped the state of one connection has likely dropped that of the others.
func (p *pool) abandon(cn *conn, at time.Time) {
	began, lastRead := cn.began, cn.lastRead()
	p.drop(cn)
	if !cn.reused || lastRead.After(began) || at.Sub(began) < halfOpenAfter {
		return
	}
	if n := p.closeIdle(began); n > 0 {
		p.client.Logger.Info("closed unresponsive connections", "upstream", p.key.id, "addr", p.key.addr, "closed", n+1)
	}
}

// closeIdle closes the idle connections on which nothing was received since before, and
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
