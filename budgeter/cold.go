package budgeter

import (
	"time"

	"almondstep"
)

// coldWindow is the span over which calls to a cold upstream are counted.
const coldWindow = time.Second

// ColdLimiter limits the rate of calls to cold upstreams. Set the fields before
// the first method call.
type ColdLimiter struct {
	// Factor and Slack turn the rate that an upstream states into the limit for
	// all daemons together: rate x Factor + Slack in any second.
	Factor float64
	Slack  float64

	sent map[almondstep.UpstreamID][]almondstep.Instant
}

// Take counts a call to a cold upstream and reports whether this daemon's share
// of the limit allows it. A rate of 0 means no limit.
func (c *ColdLimiter) Take(now almondstep.Instant, id almondstep.UpstreamID, rate float64, daemons int) bool {
	if rate <= 0 {
		return true
	}
	if c.sent == nil {
		c.sent = make(map[almondstep.UpstreamID][]almondstep.Instant)
	}
	recent := c.sent[id]
	for len(recent) > 0 && now.Sub(recent[0]) >= coldWindow+coldWindow/4 {
		recent = recent[1:]
	}
	share := (rate*c.Factor + c.Slack) * usablePerMille / perMille / float64(max(1, daemons))
	if float64(len(recent)+1) > share {
		c.sent[id] = recent
		return false
	}
	c.sent[id] = append(recent, now)
	return true
}
