package runner

import (
	"context"
	"time"

	"almondstep"
)

// writerTimeoutDivisor is the remaining time divided by the timeout of the call to
// the daemon that writes the key's bucket. The rest of the time is for a claim from
// this daemon if that one doesn't answer.
const writerTimeoutDivisor = 2

// ClaimRouter sends the claim of a key to the daemon that batches the claims of
// its bucket, and claims from this daemon if that one doesn't answer. That is safe:
// a bucket has one writer only to reduce the number of writes. Every claim is written
// by compare-and-swap and carries the query's ID, so a claim made twice for the same
// query counts once.
type ClaimRouter struct {
	// Local claims at the platform from this daemon.
	Local almondstep.Claimer
	// BucketWriter chooses the daemon that batches the claims of a key.
	BucketWriter func(v *almondstep.View, key string) almondstep.DaemonID
	// View returns the newest view.
	View  func() *almondstep.View
	Peers almondstep.PeerClient
}

var _ almondstep.Claimer = (*ClaimRouter)(nil)

// Claim claims the key of a request, so that the request runs at most once. The
// outcome is whether it may run.
func (c *ClaimRouter) Claim(ctx context.Context, k *almondstep.ClaimKey) almondstep.ClaimOutcome {
	v := c.View()
	writer := c.BucketWriter(v, k.Key)
	addr, known := v.Peer(writer)
	if writer == v.Self() || !known {
		return c.Local.Claim(ctx, k)
	}
	outcome, err := c.claimAtWriter(ctx, addr, k)
	if err == nil && outcome != almondstep.ClaimUnavailable {
		return outcome
	}
	return c.Local.Claim(ctx, k)
}

func (c *ClaimRouter) claimAtWriter(ctx context.Context, addr almondstep.Address, k *almondstep.ClaimKey) (almondstep.ClaimOutcome, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/writerTimeoutDivisor)
		defer cancel()
	}
	return c.Peers.Claim(ctx, addr, k)
}
