package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
)

// peer is the way to one daemon: one HTTP/2 connection, over which calls don't
// wait for each other.
//
// A connection can go silent for good while new ones work. That is noticed by
// the calls themselves: when one ends at its deadline and nothing has come back
// from the daemon since it began, the connection is given up and the next call
// dials anew. Pings would notice it too, but every idle connection would cost
// them, and a daemon has as many connections as there are daemons.
type peer struct {
	addr almondstep.Address
	tls  *tls.Config

	// heard is when the last answer came, in Unix nanoseconds.
	heard atomic.Int64

	mu      sync.Mutex
	client  *clients
	conns   *http.Transport
	renewed time.Time
}

// clients are the clients of a daemon's services, over one connection.
type clients struct {
	peerpb.Peer
	peerpb.News
	peerpb.Delegate
}

// use gives the clients over the present connection.
func (p *peer) use() *clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.conns = transport(p.tls)
		c := &http.Client{Transport: bounded{p.conns}}
		p.client = &clients{
			Peer: peerpb.NewPeerProtobufClient(p.base(), c),
			News: peerpb.NewNewsProtobufClient(p.base(), c),

			Delegate: peerpb.NewDelegateProtobufClient(p.base(), c),
		}
	}
	return p.client
}

func (p *peer) base() string {
	if p.tls != nil {
		return "https://" + string(p.addr)
	}
	return "http://" + string(p.addr)
}

// ended notes how a call ended that began at a time.
func (p *peer) ended(ctx context.Context, began time.Time, err error) {
	switch {
	case err == nil:
		p.heard.Store(time.Now().UnixNano())
	case ctx.Err() == context.DeadlineExceeded && p.heard.Load() < began.UnixNano():
		p.renew()
	}
}

// renew gives the present connection up: calls on it end as they may, new ones
// dial.
func (p *peer) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil || time.Since(p.renewed) < renewEvery {
		return
	}
	p.renewed = time.Now()
	p.conns.CloseIdleConnections()
	p.client, p.conns = nil, nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns != nil {
		p.conns.CloseIdleConnections()
	}
}

// call makes one call of one of a daemon's services and lets the peer learn from
// how it ended.
func call[Q, A any](ctx context.Context, p *peer, method func(*clients, context.Context, Q) (A, error), q Q) (A, error) {
	began := time.Now()
	a, err := method(p.use(), ctx, q)
	p.ended(ctx, began, err)
	return a, err
}

// transport speaks HTTP/2 from the first byte where there is no TLS, since both
// ends are ours.
func transport(cfg *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: cfg,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// bounded bounds the bodies of answers, which the generated clients read whole.
type bounded struct {
	*http.Transport
}

// RoundTrip makes one call.
func (b bounded) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	return resp, nil
}
