package upstream

import (
	"io"
	"log"
	"net"
	"sync"
)

// limitListener accepts connections up to the server's limit and closes the
// others at once.
type limitListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked, ok := l.server.track(c); ok {
			return tracked, nil
		}
		_ = c.Close()
	}
}

// track adds a connection to the server; false if the server has as many as it accepts,
// or has crashed.
func (s *Server) track(c net.Conn) (*conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Connections > 0 && len(s.conns) >= s.Connections || isClosed(s.state.crashed) {
		s.counters.ConnectionsRefused++
		return nil, false
	}
	tracked := &conn{Conn: c, server: s, silenced: make(chan struct{}), closed: make(chan struct{})}
	s.conns[tracked] = struct{}{}
	s.counters.Connections++
	s.counters.PeakConnections = max(s.counters.PeakConnections, len(s.conns))
	return tracked, true
}

// conn is a connection that can be silenced: it then stops reading and answering
// without closing, as if a middlebox had lost its connection state.
type conn struct {
	net.Conn
	server      *Server
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

// SilenceOpen silences the connections that are open now, until they are closed. New
// ones work.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// Read discards data that arrives after the connection was silenced, and blocks until
// it is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil || !isClosed(c.silenced) {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write discards data written after the connection was silenced.
func (c *conn) Write(b []byte) (int, error) {
	if isClosed(c.silenced) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the server.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
