package dialer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that knows when the upstream was last heard on it and
// how much was written to it.
type conn struct {
	net.Conn
	pool    *pool
	opened  time.Time
	heard   atomic.Int64
	written atomic.Int64
	// request is the request on the connection; nil while it is idle.
	request atomic.Pointer[attempt]
	// dropped says that this side closed the connection as silent.
	dropped atomic.Bool
	reading sync.Mutex
	closed  atomic.Bool
	once    sync.Once
}

// Read notes that the upstream was heard.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write counts the bytes that may have reached the upstream. They count from
// before the write, so that a request given up meanwhile isn't taken for one
// that was never sent.
func (c *conn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// closeWait bounds the wait for the upstream to close its side.
const closeWait = 100 * time.Millisecond

// Close closes the connection and gives its permit back once the upstream has
// closed its side too. Were it given back at once, a new connection could
// reach the upstream before the end of the old one, and be one too many.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.closed.Store(true)
		c.pool.mu.Lock()
		delete(c.pool.open, c)
		c.pool.mu.Unlock()
		if half, ok := c.Conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		// It wakes whoever reads.
		_ = c.SetDeadline(time.Now())
		go c.drain()
	})
	return nil
}

func (c *conn) drain() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(closeWait))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
	<-c.pool.permits
}

// dialLimit allows a burst of dials and then one every so often.
type dialLimit struct {
	every time.Duration
	burst int

	mu sync.Mutex
	// next is when the burst would be used up, were there no more dials.
	next time.Time
}

// wait returns when the next dial may begin.
func (l *dialLimit) wait(ctx context.Context) error {
	d := l.reserve(time.Now())
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve books a dial and gives the time until it may begin.
func (l *dialLimit) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next.Before(now) {
		l.next = now
	}
	d := l.next.Sub(now) - time.Duration(l.burst-1)*l.every
	l.next = l.next.Add(l.every)
	return d
}

// latency is a running mean of how long answers take.
type latency struct{ mean time.Duration }

// meanWeight is the weight of the mean against one new answer.
const meanWeight = 8

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		return
	}
	l.mean += (d - l.mean) / meanWeight
}
