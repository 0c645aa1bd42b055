package dialer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that records when it last received data and how many
// bytes were written to it.
type conn struct {
	net.Conn
	pool     *pool
	opened   time.Time
	lastRead atomic.Int64
	written  atomic.Int64
	// request is the request in flight on the connection; nil while it is idle.
	request atomic.Pointer[attempt]
	// dropped is set if this side closed the connection as silent.
	dropped   atomic.Bool
	readMu    sync.Mutex
	closed    atomic.Bool
	closeOnce sync.Once
}

// Read records when data was received.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write counts the bytes that may have reached the upstream. They are added
// before the write, so that a request abandoned meanwhile doesn't seem to be one
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

// peerCloseTimeout bounds the wait for the upstream to close its side of a
// connection.
const peerCloseTimeout = 100 * time.Millisecond

// Close closes the connection and releases its permit once the upstream has closed
// its side too, or after peerCloseTimeout. If the permit were released at once, a
// new connection could reach the upstream before the close of the old one and
// exceed the upstream's limit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.pool.mu.Lock()
		delete(c.pool.open, c)
		c.pool.mu.Unlock()
		if half, ok := c.Conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		// Unblocks a pending read.
		_ = c.SetDeadline(time.Now())
		go c.closeWhenDrained()
	})
	return nil
}

func (c *conn) closeWhenDrained() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(peerCloseTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
	<-c.pool.permits
}

// dialLimiter allows a burst of dials and then one per interval.
type dialLimiter struct {
	interval time.Duration
	burst    int

	mu sync.Mutex
	// fullAt is when the whole burst is available again, if no more dials are
	// reserved.
	fullAt time.Time
}

// wait waits until the next dial may begin; it fails if ctx ends first.
func (l *dialLimiter) wait(ctx context.Context) error {
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

// reserve reserves a dial and returns the time until it may begin.
func (l *dialLimiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fullAt.Before(now) {
		l.fullAt = now
	}
	d := l.fullAt.Sub(now) - time.Duration(l.burst-1)*l.interval
	l.fullAt = l.fullAt.Add(l.interval)
	return d
}

// latency is a moving average of the time to an answer.
type latency struct{ mean time.Duration }

// meanWeight sets the weight of a new sample, which is 1/meanWeight.
const meanWeight = 8

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		return
	}
	l.mean += (d - l.mean) / meanWeight
}
