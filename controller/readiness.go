package controller

import (
	"time"

	"almondstep"
)

// firstGrantTimeout is the time after its start at which a daemon becomes ready
// without a full grant: other daemons may own the upstreams that it can't use.
const firstGrantTimeout = almondstep.Instant(6 * time.Second)

// updateReady marks the daemon ready once it can serve. If all daemons of a zone
// start at the same time, none may use the upstreams before the first grant, and
// a daemon that reported itself ready earlier would refuse calls from the load
// balancer for two seconds. A daemon that owns nothing needs no grant.
//
// For example, six daemons start together. They have the configuration after
// 0.1 s, and are ready after about 2 s, when their witnesses have confirmed the
// leases.
func (c *Control) updateReady(now almondstep.Instant) {
	if c.ready || c.catalog == nil || c.fleet == nil {
		return
	}
	if now < firstGrantTimeout && !c.hasFullGrant() {
		return
	}
	c.ready = true
	c.view.dirty = true
}

// hasFullGrant reports whether some owned upstream may be used in full, or none
// is owned.
func (c *Control) hasFullGrant() bool {
	for _, o := range c.ownership.upstreams {
		if o.grant == almondstep.GrantFull {
			return true
		}
	}
	return len(c.ownership.upstreams) == 0 && c.prober.Listed()
}
