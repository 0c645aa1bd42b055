//go:build review3

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes a machine's connections on to the store, and counts the bytes that it sends there.
type proxy struct {
	target   string
	listener net.Listener
	sent     atomic.Int64

	mu      sync.Mutex
	conns   map[net.Conn]bool
	refuses bool
}

// refuse resets the machine's connections to the store, and each new one, until it is called with false.
func (p *proxy) refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = on
	for c := range p.conns {
		if on {
			reset(c)
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	refuses := p.refuses
	if !refuses {
		p.conns[c], p.conns[to] = true, true
	}
	p.mu.Unlock()
	if refuses {
		_ = to.Close()
		reset(c)
		return
	}
	go p.pipe(to, c, &p.sent)
	p.pipe(c, to, nil)
}

func (p *proxy) pipe(to, from net.Conn, count *atomic.Int64) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if count != nil {
			count.Add(int64(n))
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
