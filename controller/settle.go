package controller

import (
	"time"

	"almondstep"
)

// settleWithin is how long after its start a daemon waits at most for its first
// grant before it calls itself ready: what it can't own others may.
const settleWithin = almondstep.Instant(6 * time.Second)

// settle notes that the daemon can serve. Until a daemon has a grant, or owns
// nothing, it may be one of a zone whose daemons all start at once, and no one
// may use the upstreams yet: a caller would be refused for two seconds by a
// daemon that the balancer believes to be ready.
//
// Example: six daemons start together. They have the text after 0.1 s, and are
// ready when their witnesses have vouched, after about 2 s.
func (c *Control) settle(now almondstep.Instant) {
	if c.settled || c.catalog == nil || c.fleet == nil {
		return
	}
	if now < settleWithin && !c.granted() {
		return
	}
	c.settled = true
	c.view.dirty = true
}

// granted says whether some owned upstream may be used in full, or none is
// owned.
func (c *Control) granted() bool {
	for _, o := range c.ownership.upstreams {
		if o.grant == almondstep.GrantFull {
			return true
		}
	}
	return len(c.ownership.upstreams) == 0 && c.prober.Listed()
}
