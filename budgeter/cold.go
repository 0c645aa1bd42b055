package budgeter

import (
	"time"

	"almondstep"
)

// coldWindow is the time for which the limit on calls to a cold upstream is stated.
// Calls are counted for a quarter longer, as a margin.
const coldWindow = time.Second

// ColdLimiter limits the rate of calls to cold upstreams. Set the fields before
// the first method call.
type ColdLimiter struct {
	// Factor and Slack turn the rate that is configured for a cold upstream into the
	// limit for all daemons together: rate x Factor + Slack calls in any second.
	Factor float64
	Slack  float64

	sent map[almondstep.UpstreamID][]almondstep.Instant
}

// Take reports whether this daemon may call a cold upstream, and counts the call if
// so. The daemon's share is the limit divided by divisor, as in Budget.Take. rate is in
// calls per second; 0 means no limit.
func (c *ColdLimiter) Take(now almondstep.Instant, id almondstep.UpstreamID, rate float64, divisor int) bool {
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
	share := (rate*c.Factor + c.Slack) * usablePerMille / perMille / float64(max(1, divisor))
	if float64(len(recent)+1) > share {
		c.sent[id] = recent
		return false
	}
	c.sent[id] = append(recent, now)
	return true
}
