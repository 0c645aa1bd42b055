package exchanger

import (
	"context"
	"net"
	"sync"
	"time"

	"almondstep"
)

const (
	// recent is how lately an upstream must have been heard on a connection that
	// carries a call which can't be repeated.
	recent = 700 * time.Millisecond
	// silentAfter is the time without a word after which a used connection is
	// taken to have lost track of its other end.
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

// get gives an idle connection, the one used last, or opens one. At the limit it
// waits for one to come free.
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

// take gives an idle connection; else, if wait is nil, the right to open one,
// else what to wait for.
func (p *pool) take(call *almondstep.SendCall, now time.Time) (cn *conn, wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if cn.usable(now) && (!call.FreshConnection || now.Sub(cn.lastHeard()) < recent) {
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
	// Silent connections are found by the calls on them, so that probes by the
	// system would be waste.
	d := net.Dialer{Timeout: p.client.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", string(p.key.addr))
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(raw, p.client), nil
}

// put keeps a connection for the next call.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cn)
	p.wake()
}

// drop closes a connection.
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

// wake lets the longest waiting call try again. The caller holds mu.
func (p *pool) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// abandon closes a connection whose call was given up. If the upstream had not
// been heard on it for long, the idle ones that were not heard since are closed
// too: whatever has lost track of the one has likely lost track of them.
func (p *pool) abandon(cn *conn) {
	began, heard := cn.began, cn.lastHeard()
	p.drop(cn)
	if !cn.used || heard.After(began) || time.Since(began) < silentAfter {
		return
	}
	if n := p.closeIdle(began); n > 0 {
		p.client.Logger.Info("connections silent", "upstream", p.key.id, "addr", p.key.addr, "closed", n+1)
	}
}

// closeIdle closes the idle connections last heard before a time and says how
// many they were.
func (p *pool) closeIdle(before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	closed := 0
	for _, cn := range p.idle {
		if cn.lastHeard().Before(before) {
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
