package rationer

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// Listener accepts connections whose requests' heads are counted. It is for a net/http server
// with the ConnContext of this package, whose handler is wrapped by Handler. On a connection of
// HTTP/2, whose heads net/http bounds for each stream, only Handler counts.
type Listener struct {
	net.Listener
	Budget *Budget
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, head: Head{Budget: l.Budget}, inHead: true}, nil
}

// conn is a connection of a Listener. What is read counts as a head, except between beginBody
// and endRequest.
type conn struct {
	net.Conn

	mu     sync.Mutex
	head   Head
	inHead bool
	closed bool
	// used is whether bytes were read, and isHTTP2 whether they began as HTTP/2 does.
	used    bool
	isHTTP2 bool
}

// http2Preface is how a connection of HTTP/2 begins, and no other does.
const http2Preface = "PRI"

// Read reads from the connection. It fails, as a broken connection does, once the head
// exceeds the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.used {
		c.used = true
		c.isHTTP2 = bytes.HasPrefix(p[:n], []byte(http2Preface))
	}
	if n == 0 || !c.inHead || c.closed || c.isHTTP2 {
		return n, err
	}
	if c.head.Count(p[:n]) != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrNoMemory}
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.head.Release()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, so that the other side can read the last response
// although it still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginBody ends the head of a request; it stays counted. It reports whether it was counted.
func (c *conn) beginBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	return !c.isHTTP2
}

// endRequest returns the memory of a request's head. The next head may follow.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = true
	if !c.closed {
		c.head.Release()
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// ConnContext is the ConnContext of a net/http server that serves a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
