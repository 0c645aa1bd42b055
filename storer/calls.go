package storer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	pathKV    = "/v1/kv"
	pathLease = "/v1/lease"
	pathFleet = "/v1/fleet"
)

// Get reads a key. For an absent key it returns revision 0 and no error.
func (c *Client) Get(ctx context.Context, key string) (almondstep.Entry, error) {
	c.init()
	q := Request{Method: http.MethodGet, Path: pathKV, Query: url.Values{"key": {key}}}
	return c.read(ctx, "get", c.Timeout, q)
}

// Watch waits until the key's revision is above after, or until wait has passed,
// and returns the entry. The entry of a key still at after has no value. If there is
// no answer within wait plus Grace, the connection is closed and ErrUnavailable is
// returned.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (almondstep.Entry, error) {
	c.init()
	q := Request{Method: http.MethodGet, Path: pathKV, Query: watchQuery(after, wait)}
	q.Query.Set("key", key)
	return c.read(ctx, "watch", wait+c.Grace, q)
}

func (c *Client) read(ctx context.Context, kind string, timeout time.Duration, q Request) (almondstep.Entry, error) {
	a, err := c.Call(ctx, kind, timeout, q)
	if err != nil {
		return almondstep.Entry{}, err
	}
	switch a.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
	default:
		return almondstep.Entry{}, a.UnexpectedStatus()
	}
	revision, err := a.revision()
	if err != nil {
		return almondstep.Entry{}, err
	}
	if (a.Status == http.StatusNotFound) != (revision == 0) {
		return almondstep.Entry{}, errors.Wrapf(almondstep.ErrUnavailable, "platform answered %d with revision %d, which doesn't fit the status", a.Status, revision)
	}
	switch {
	case revision == 0:
		return almondstep.Entry{}, nil
	case a.Status == http.StatusNotModified:
		return almondstep.Entry{Revision: revision}, nil
	}
	return almondstep.Entry{Revision: revision, Value: a.Body}, nil
}

// CompareAndSwap writes a key if its revision is still base, 0 for an absent
// key, and returns the new revision. After ErrConflict nothing was written;
// after ErrUnavailable the value may have been written.
func (c *Client) CompareAndSwap(ctx context.Context, key string, base uint64, value []byte) (uint64, error) {
	c.init()
	q := Request{Method: http.MethodPut, Path: pathKV, Body: value, Query: url.Values{
		"key":  {key},
		"base": {strconv.FormatUint(base, 10)},
	}}
	a, err := c.Call(ctx, "swap", c.Timeout, q)
	if err != nil {
		return 0, err
	}
	switch a.Status {
	case http.StatusOK:
		return a.revision()
	case http.StatusConflict:
		// A conflict without a revision doesn't come from the platform.
		if _, err := a.revision(); err != nil {
			return 0, err
		}
		return 0, errors.Wrapf(almondstep.ErrConflict, "key %q is no longer at revision %d", key, base)
	default:
		return 0, a.UnexpectedStatus()
	}
}

// Lease acquires or renews a lease for ttl. The ttl starts at some time between
// the call and its return, so the caller must count it from the call.
func (c *Client) Lease(ctx context.Context, key, holder string, ttl time.Duration) error {
	c.init()
	q := Request{Method: http.MethodPut, Path: pathLease, Query: url.Values{
		"key":       {key},
		"holder":    {holder},
		"ttlMillis": {strconv.FormatInt(ttl.Milliseconds(), 10)},
	}}
	a, err := c.Call(ctx, "lease", c.Timeout, q)
	if err != nil {
		return err
	}
	switch a.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(almondstep.ErrConflict, "lease %q has another holder", key)
	default:
		return a.UnexpectedStatus()
	}
}

// Fleet reads the list of VMs. If wait is above 0, it waits as Watch does, and returns
// only the revision of a list that is still at after.
func (c *Client) Fleet(ctx context.Context, after almondstep.Revision, wait time.Duration) (almondstep.Fleet, error) {
	c.init()
	q := Request{Method: http.MethodGet, Path: pathFleet, Query: watchQuery(uint64(after), wait)}
	a, err := c.Call(ctx, "fleet", wait+c.Grace, q)
	if err != nil {
		return almondstep.Fleet{}, err
	}
	if a.Status == http.StatusNotModified {
		return almondstep.Fleet{Revision: after}, nil
	}
	if a.Status != http.StatusOK {
		return almondstep.Fleet{}, a.UnexpectedStatus()
	}
	var f almondstep.Fleet
	if err := json.Unmarshal(a.Body, &f); err != nil {
		return almondstep.Fleet{}, errors.Wrapf(almondstep.ErrUnavailable, "can't decode the list of VMs: %v", err)
	}
	return f, nil
}

func watchQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}
