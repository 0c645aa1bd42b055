package runner

import (
	"context"
	"time"

	"almondstep"
)

// homeShare is the part of the remaining time that a key's home daemon gets;
// the rest is for claiming here if the home doesn't answer.
const homeShare = 2

// ClaimRouter sends the claim of a key to the daemon that batches the claims of
// its bucket, and claims here if that daemon doesn't answer. That is safe: the
// home only saves writes. Whoever writes the claim does so by compare-and-swap,
// and the claim carries the query's id, so a claim made twice for the same
// query is one claim.
type ClaimRouter struct {
	// Local claims at the platform from this daemon.
	Local almondstep.Claimer
	// Home chooses the daemon that batches the claims of a key.
	Home func(v *almondstep.View, key string) almondstep.DaemonID
	// View is the newest view.
	View  func() *almondstep.View
	Peers almondstep.PeerClient
}

var _ almondstep.Claimer = (*ClaimRouter)(nil)

// Claim gets the one run of a request, or says why not.
func (c *ClaimRouter) Claim(ctx context.Context, k *almondstep.ClaimKey) almondstep.ClaimOutcome {
	v := c.View()
	home := c.Home(v, k.Key)
	addr, known := v.Peer(home)
	if home == v.Self() || !known {
		return c.Local.Claim(ctx, k)
	}
	outcome, err := c.ask(ctx, addr, k)
	if err == nil && outcome != almondstep.ClaimUnavailable {
		return outcome
	}
	return c.Local.Claim(ctx, k)
}

func (c *ClaimRouter) ask(ctx context.Context, addr almondstep.Address, k *almondstep.ClaimKey) (almondstep.ClaimOutcome, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/homeShare)
		defer cancel()
	}
	return c.Peers.Claim(ctx, addr, k)
}
