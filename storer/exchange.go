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
	// revisionHeader carries a key's revision in each answer about it.
	revisionHeader = "Almondstep-Revision"
	// maxAnswerBytes bounds an answer. The list of VMs is the largest.
	maxAnswerBytes = 8 << 20
)

// request is one call before it is sent.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// answer is one call's answer, read in full.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// exchange returns ErrUnavailable whatever went wrong on the way, a refused
// connection included.
func (c *Client) exchange(ctx context.Context, q request) (answer, error) {
	var body io.Reader
	if q.body != nil {
		// A plain reader can't be rewound, so net/http can't send it twice.
		body = io.MultiReader(bytes.NewReader(q.body))
	}
	r, err := http.NewRequestWithContext(ctx, q.method, c.Base+q.path+"?"+q.query.Encode(), body)
	if err != nil {
		return answer{}, errors.Mark(err, almondstep.ErrInvalid)
	}
	r.ContentLength = int64(len(q.body))
	resp, err := c.service.DoRequest(r)
	if err != nil {
		return answer{}, errors.Mark(errors.Wrapf(err, "%s %s", q.method, q.path), almondstep.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, errors.Mark(errors.Wrapf(err, "%s %s", q.method, q.path), almondstep.ErrUnavailable)
	}
	if len(read) > maxAnswerBytes {
		return answer{}, errors.Mark(errors.Newf("%s %s: the answer is too large", q.method, q.path), almondstep.ErrUnavailable)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: read}, nil
}

// unexpected is the error for a status the call doesn't know.
func (a answer) unexpected() error {
	if a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError {
		return errors.Wrapf(almondstep.ErrInvalid, "platform answered %d: %.100s", a.status, a.body)
	}
	return errors.Wrapf(almondstep.ErrUnavailable, "platform answered %d", a.status)
}

// revision reads the revision that every answer about a key must carry. An
// answer without one isn't the platform's.
func (a answer) revision() (uint64, error) {
	n, err := strconv.ParseUint(a.header.Get(revisionHeader), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(almondstep.ErrUnavailable, "platform answered %d without a revision", a.status)
	}
	return n, nil
}
