package storer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	// revisionHeader is a key's revision in each answer about it.
	revisionHeader = "Almondstep-Revision"
	// maxAnswerBytes bounds the body of an answer. The list of VMs is the largest.
	maxAnswerBytes = 8 << 20
	// maxHeaderBytes bounds the header of an answer, including the interim (1xx)
	// responses before it.
	maxHeaderBytes = 16 << 10
)

// Request is one request to the platform.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// ContentType is the Content-Type of the body; empty sends no header.
	ContentType string
}

// Answer is the answer to a Request, read in full.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// exchange sends a request and reads its answer. It returns ErrInvalid for a malformed
// URL or method, and ErrUnavailable for every other failure, including a refused
// connection.
func (c *Client) exchange(ctx context.Context, q Request) (Answer, error) {
	var body io.Reader
	if q.Body != nil {
		// This reader can't be rewound, so net/http can't send the body twice.
		body = io.MultiReader(bytes.NewReader(q.Body))
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, c.Base+q.Path+"?"+q.Query.Encode(), body)
	if err != nil {
		return Answer{}, errors.Mark(err, almondstep.ErrInvalid)
	}
	r.ContentLength = int64(len(q.Body))
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	resp, err := c.service.DoRequest(r)
	if err != nil {
		return Answer{}, errors.Mark(errors.Wrapf(err, "%s %s", q.Method, q.Path), almondstep.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	read, held, err := c.Budget.ReadAll(resp.Body, resp.ContentLength, maxAnswerBytes)
	if err != nil {
		return Answer{}, errors.Mark(errors.Wrapf(err, "%s %s", q.Method, q.Path), almondstep.ErrUnavailable)
	}
	defer c.Budget.Release(held)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: read}, nil
}

// UnexpectedStatus returns the error for a status that the call doesn't handle:
// ErrInvalid for 4xx, otherwise ErrUnavailable.
func (a Answer) UnexpectedStatus() error {
	if a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError {
		return errors.Wrapf(almondstep.ErrInvalid, "platform answered %d: %.100s", a.Status, a.Body)
	}
	return errors.Wrapf(almondstep.ErrUnavailable, "platform answered %d", a.Status)
}

// revision reads the revision that every answer about a key must carry. An
// answer without one doesn't come from the platform.
func (a Answer) revision() (uint64, error) {
	n, err := strconv.ParseUint(a.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(almondstep.ErrUnavailable, "platform answered %d without a revision", a.Status)
	}
	return n, nil
}
