package budgeter

import (
	"time"

	"almondstep"
)

// coldSpan is the span over which calls to a cold upstream are counted.
const coldSpan = time.Second

// Cold bounds the rate of calls to upstreams that are cold. Set the fields
// before the first call.
type Cold struct {
	// Factor and Slack turn the rate that an upstream states into the bound over
	// all daemons: rate x Factor + Slack in any second.
	Factor float64
	Slack  float64

	sent map[almondstep.UpstreamID][]almondstep.Instant
}

// Take counts a call to a cold upstream, if this daemon's share of the bound
// allows it. A rate of 0 sets no bound.
func (c *Cold) Take(now almondstep.Instant, id almondstep.UpstreamID, rate float64, daemons int) bool {
	if rate <= 0 {
		return true
	}
	if c.sent == nil {
		c.sent = make(map[almondstep.UpstreamID][]almondstep.Instant)
	}
	recent := c.sent[id]
	for len(recent) > 0 && now.Sub(recent[0]) >= coldSpan+coldSpan/4 {
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
