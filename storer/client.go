// Package storer is the client of the platform's key-value service and list of
// VMs, over the HTTP protocol described in docs/PROTOCOLS.md.
//
// A write whose answer is lost may have taken effect, so a call without a complete,
// valid answer returns ErrUnavailable. ErrConflict is returned only if the platform
// itself reports a conflict, and ErrInvalid only if it rejects the call with another
// 4xx status or the URL is malformed. Every call has a timeout, which for a watch is
// its wait plus a grace period, so that a connection without traffic can't block it
// forever.
//
//	c := &storer.Client{Base: "http://127.0.0.1:7001"}
//	e, err := c.Get(ctx, "config")
//	_, err = c.CompareAndSwap(ctx, "config", e.Revision, text)
//	if errors.Is(err, almondstep.ErrUnavailable) {
//		// It may have been written: read it back.
//	}
package storer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"almondstep"
	"almondstep/rationer"
)

const (
	// DefaultTimeout is the timeout of a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultGrace is how much longer than its wait a watch may take.
	DefaultGrace = 2 * time.Second

	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxConns        = 32
	serviceName     = "platform"
)

// Client is an almondstep.Platform. Its fields must be set before the first call.
type Client struct {
	// Base is the platform's URL, such as http://127.0.0.1:7001.
	Base string
	// Timeout is the timeout of a call other than a watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// Grace is how much longer than its wait a watch may take; 0 means DefaultGrace.
	Grace time.Duration
	// Budget bounds the memory of the answers that are being read; nil doesn't.
	Budget *rationer.Budget
	// Recorder counts the calls; nil counts nothing.
	Recorder almondstep.Recorder

	once      sync.Once
	transport *http.Transport
	service   httpc.Service
}

var _ almondstep.Platform = (*Client)(nil)

func (c *Client) init() {
	c.once.Do(func() {
		if c.Timeout == 0 {
			c.Timeout = DefaultTimeout
		}
		if c.Grace == 0 {
			c.Grace = DefaultGrace
		}
		c.transport = newTransport()
		client := &http.Client{
			Transport:     c.transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
		// httpc's circuit breaker refuses calls for up to ten seconds after an
		// outage has ended, longer than an edit may take to come into force.
		breaker.NoBreakerFor(serviceName)
		c.service = httpc.NewServiceWithClient(serviceName, client)
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

// Call sends one request, counted under kind, and reads the answer's body, all
// within the timeout. Clients of other platform protocols are built on it. After
// a failure the idle connections are closed, because they have probably failed for
// the same reason.
func (c *Client) Call(ctx context.Context, kind string, timeout time.Duration, req Request) (Answer, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.exchange(ctx, req)
	if err != nil {
		c.transport.CloseIdleConnections()
	}
	if c.Recorder != nil {
		c.Recorder.PlatformCalled(kind, err)
	}
	return a, err
}
