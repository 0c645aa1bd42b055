// Package requester is a client of a daemon's HTTP interface for callers and operators.
//
// It never resends a request by itself: whether a request may be sent again is
// for the caller to decide from the answer's outcome.
//
//	c := &requester.Client{Base: "http://127.0.0.1:7101"}
//	a, err := c.Search(ctx, &server.SearchRequest{Name: "mesa-recepcion", Tenant: "growers", Class: "urgent"})
//	if err == nil && a.Coverage.Complete {
//		// every shard is in the answer
//	}
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"almondstep"
	"almondstep/server"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 1024
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
	serviceName    = "almondstepd"
)

// Client calls one daemon, or the load balancer in front of several. Set its
// fields before the first call.
type Client struct {
	// Base is the daemon's URL, such as http://127.0.0.1:7101.
	Base string

	once      sync.Once
	transport *http.Transport
	service   httpc.Service
}

func (c *Client) init() {
	c.once.Do(func() {
		c.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
		}
		// A circuit breaker would refuse requests itself, without an outcome from the daemon.
		breaker.NoBreakerFor(serviceName)
		c.service = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: c.transport})
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

// Search runs a search. The error is almondstep.ErrUnavailable if no answer with an
// outcome was received, so that the outcome is unknown. A malformed request isn't an
// error: its answer has the outcome notRun.
func (c *Client) Search(ctx context.Context, q *server.SearchRequest) (*almondstep.Answer, error) {
	return c.post(ctx, server.PathSearch, q, "")
}

// Run runs an operation, with an idempotency key if key isn't empty. Its errors are
// those of Search.
func (c *Client) Run(ctx context.Context, q *server.RunRequest, key string) (*almondstep.Answer, error) {
	return c.post(ctx, server.PathRun, q, key)
}

func (c *Client) post(ctx context.Context, path string, q any, key string) (*almondstep.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	// Without GetBody, net/http can't read the body again and never resends the request.
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set(server.KeyHeader, key)
	}
	var a almondstep.Answer
	status, err := c.do(r, &a)
	if err != nil {
		return nil, err
	}
	if a.Outcome == "" {
		return nil, errors.Wrapf(almondstep.ErrUnavailable, "the response with status %d has no outcome", status)
	}
	return &a, nil
}

// Fleet returns the status of every daemon in the called daemon's view. Base must be
// an address for operators.
func (c *Client) Fleet(ctx context.Context) (*server.FleetStatus, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+server.PathFleet, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	var f server.FleetStatus
	if _, err := c.do(r, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

func (c *Client) do(r *http.Request, dst any) (int, error) {
	c.init()
	resp, err := c.service.DoRequest(r)
	if err != nil {
		return 0, errors.Mark(err, almondstep.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if !almondstep.IsFinalStatus(resp.StatusCode) {
		return resp.StatusCode, errors.Wrapf(almondstep.ErrUnavailable, "the response has the status %03d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(dst); err != nil {
		return resp.StatusCode, errors.Mark(errors.Wrapf(err, "decode the response with status %d", resp.StatusCode), almondstep.ErrUnavailable)
	}
	return resp.StatusCode, nil
}
