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
	"almondstep/rationer"
)

// peer is the connection to one daemon: one HTTP/2 connection, over which calls
// don't wait for each other.
//
// A connection can stop delivering data while new ones work. The calls themselves
// detect that: when one ends at its deadline and no response has come from the
// daemon since it began, the connection is abandoned and the next call dials a new
// one. Pings would detect it too, but at a cost for every idle connection, and a
// daemon may have a connection to every other daemon.
type peer struct {
	addr almondstep.Address
	tls  *tls.Config
	// budget is the client's Budget.
	budget *rationer.Budget

	// lastResponse is when the last response arrived, in Unix nanoseconds.
	lastResponse atomic.Int64

	mu        sync.Mutex
	client    *clients
	transport *http.Transport
	renewed   time.Time
}

// clients are the clients of a daemon's services, over one connection.
type clients struct {
	peerpb.Peer
	peerpb.News
	peerpb.Delegate
	peerpb.Quota
	peerpb.Rollout
}

// currentClients returns the clients over the current connection, creating both if there
// are none; the first call dials.
func (p *peer) currentClients() *clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.transport = newTransport(p.tls)
		c := &http.Client{Transport: boundedTransport{Transport: p.transport, budget: p.budget}}
		p.client = &clients{
			Peer: peerpb.NewPeerProtobufClient(p.base(), c),
			News: peerpb.NewNewsProtobufClient(p.base(), c),

			Delegate: peerpb.NewDelegateProtobufClient(p.base(), c),
			Quota:    peerpb.NewQuotaProtobufClient(p.base(), c),
			Rollout:  peerpb.NewRolloutProtobufClient(p.base(), c),
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

// callEnded records the result of a call. If the call ended at its deadline and no
// response has come from the daemon since it began, the connection is replaced.
func (p *peer) callEnded(ctx context.Context, began time.Time, err error) {
	switch {
	case err == nil:
		p.lastResponse.Store(time.Now().UnixNano())
	case ctx.Err() == context.DeadlineExceeded && p.lastResponse.Load() < began.UnixNano():
		p.renew()
	}
}

// renew abandons the current connection: open calls continue on it, and the next call
// dials a new one.
func (p *peer) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil || time.Since(p.renewed) < minRenewInterval {
		return
	}
	p.renewed = time.Now()
	p.transport.CloseIdleConnections()
	p.client, p.transport = nil, nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport != nil {
		p.transport.CloseIdleConnections()
	}
}

// call makes one call to one of a daemon's services and updates the peer with its
// result.
func call[Q, A any](ctx context.Context, p *peer, method func(*clients, context.Context, Q) (A, error), q Q) (A, error) {
	began := time.Now()
	a, err := method(p.currentClients(), ctx, q)
	p.callEnded(ctx, began, err)
	return a, err
}

// newTransport returns a transport for HTTP/2. Without TLS it uses HTTP/2 with prior
// knowledge, since both ends are almondstep daemons.
func newTransport(cfg *tls.Config) *http.Transport {
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

// boundedTransport limits the size of response bodies, which the generated clients
// read into memory whole.
type boundedTransport struct {
	*http.Transport
	budget *rationer.Budget
}

// RoundTrip makes one call.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &rationer.Body{ReadCloser: http.MaxBytesReader(nil, resp.Body, maxAnswerBytes), Budget: b.budget}
	return resp, nil
}
