package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"almondstep"
	"almondstep/messenger/peerpb"
	"almondstep/rationer"
)

const (
	// dialTimeout bounds a dial; it allows for a daemon in another region.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
	// minRenewInterval is the minimum time between replacements of one daemon's
	// connection.
	minRenewInterval = time.Second
)

// Client sends messages to other daemons. It holds one HTTP/2 connection per
// daemon, over which calls don't wait for each other.
type Client struct {
	// TLS is the certificate and the authorities; nil disables TLS.
	TLS *tls.Config
	// Budget bounds the memory of the responses that are being read; nil doesn't.
	Budget *rationer.Budget
	// Sent, if set, is called with the encoded size of each control message.
	Sent func(kind string, bytes int)

	mu    sync.Mutex
	peers map[almondstep.Address]*peer
}

var _ almondstep.PeerClient = (*Client)(nil)

// peer returns the state kept for a daemon, creating it if needed.
func (c *Client) peer(to almondstep.Address) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = make(map[almondstep.Address]*peer)
	}
	p, ok := c.peers[to]
	if !ok {
		p = &peer{addr: to, tls: c.TLS, budget: c.Budget}
		c.peers[to] = p
	}
	return p
}

// Forget drops the state kept for a daemon that won't return.
func (c *Client) Forget(to almondstep.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[to]; ok {
		p.close()
		delete(c.peers, to)
	}
}

// Work sends a Work to an owner. The error is ErrNotRun only if the dial failed or
// the owner refused the Work.
func (c *Client) Work(ctx context.Context, to almondstep.Address, from almondstep.DaemonID, w *almondstep.Work) (*almondstep.WorkAnswered, error) {
	r, err := call(ctx, c.peer(to), (*clients).Deliver, encodeWork(from, w))
	if err != nil {
		return nil, classify(err)
	}
	return decodeWorkReply(r), nil
}

// Collect waits for the pending items of a Work.
func (c *Client) Collect(ctx context.Context, to almondstep.Address, e *almondstep.CollectArrived) (*almondstep.WorkAnswered, error) {
	r, err := call(ctx, c.peer(to), (*clients).Collect, &peerpb.CollectRequest{
		Query:     uint64(e.ID),
		Attempt:   uint32(e.Attempt),
		Remaining: int64(e.Remaining),
	})
	if err != nil {
		return nil, classify(err)
	}
	return decodeWorkReply(r), nil
}

// Cancel cancels items of a Work at an owner.
func (c *Client) Cancel(ctx context.Context, to almondstep.Address, e *almondstep.CancelArrived) error {
	_, err := call(ctx, c.peer(to), (*clients).Cancel, &peerpb.CancelRequest{
		Query:   uint64(e.ID),
		Attempt: uint32(e.Attempt),
		Items:   groupItems(e.Items),
	})
	return classify(err)
}

// Probe exchanges digests with a daemon. If target isn't empty, the daemon probes
// target on behalf of this one.
func (c *Client) Probe(ctx context.Context, to almondstep.Address, target almondstep.DaemonID, d *almondstep.Digest) (*almondstep.Digest, bool, error) {
	req := &peerpb.ProbeRequest{Digest: encodeDigest(d), Target: string(target)}
	count(c.Sent, "probe", req)
	r, err := call(ctx, c.peer(to), (*clients).Probe, req)
	if err != nil {
		return nil, false, classify(err)
	}
	return decodeDigest(r.GetDigest()), r.GetOk(), nil
}

// Pull requests a newer revision of a document than have; the patch is nil if there
// is none.
func (c *Client) Pull(ctx context.Context, to almondstep.Address, from almondstep.DaemonID, have almondstep.DocumentState) (*almondstep.Patch, error) {
	req := &peerpb.PullRequest{From: string(from), Have: encodeState(have)}
	count(c.Sent, "pull", req)
	r, err := call(ctx, c.peer(to), (*clients).Pull, req)
	if err != nil {
		return nil, classify(err)
	}
	if !r.GetFound() {
		return nil, nil
	}
	return &almondstep.Patch{
		Name:     almondstep.DocumentName(r.GetName()),
		FromHash: almondstep.Hash(r.GetFromHash()),
		Revision: almondstep.Revision(r.GetRevision()),
		Hash:     almondstep.Hash(r.GetHash()),
		Body:     r.GetBody(),
	}, nil
}

// Claim claims an idempotency key at the daemon that writes the key's bucket.
func (c *Client) Claim(ctx context.Context, to almondstep.Address, e *almondstep.ClaimKey) (almondstep.ClaimOutcome, error) {
	r, err := call(ctx, c.peer(to), (*clients).Claim, &peerpb.ClaimRequest{
		Query:       uint64(e.ID),
		Key:         e.Key,
		Fingerprint: uint64(e.Fingerprint),
		Remaining:   int64(e.Remaining),
	})
	if err != nil {
		return almondstep.ClaimUnavailable, classify(err)
	}
	return almondstep.ClaimOutcome(r.GetOutcome()), nil
}

// Status returns a daemon's status.
func (c *Client) Status(ctx context.Context, to almondstep.Address) (*almondstep.DaemonStatus, error) {
	r, err := call(ctx, c.peer(to), (*clients).Status, &peerpb.Empty{})
	if err != nil {
		return nil, classify(err)
	}
	return decodeStatus(r), nil
}

// classify marks an error by whether the failed call can have had an effect. A
// failed dial and a refusal by the owner can't; everything else may.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.FailedPrecondition {
		refused := errors.Newf("refused by the daemon: %s", te.Msg())
		return errors.Mark(errors.Mark(refused, almondstep.ErrNotRun), almondstep.ErrRefused)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, almondstep.ErrNotRun)
	}
	return errors.Mark(err, almondstep.ErrUnavailable)
}
