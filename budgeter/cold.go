package budgeter

import (
	"time"

	"almondstep"
)

const (
	// coldWindow is the time for which the limit on calls to a cold upstream is stated.
	coldWindow = time.Second
	// countedTime is how long a call counts: a quarter longer, as a margin.
	countedTime = coldWindow + coldWindow/4
)

// ColdLimiter limits the rate of calls to cold upstreams. Set the fields before
// the first method call.
type ColdLimiter struct {
	// Factor and Slack turn the rate that is configured for a cold upstream into the
	// limit for all daemons together: rate x Factor + Slack calls in any second.
	Factor float64
	Slack  float64

	// since is when this process began, if an earlier one may have sent calls; otherwise 0.
	since almondstep.Instant
	sent  map[almondstep.UpstreamID][]almondstep.Instant
}

// Count counts a call to an upstream that isn't cold, as part of the calls of the last second
// if the upstream becomes cold within it. rate is as in Take.
func (c *ColdLimiter) Count(now almondstep.Instant, id almondstep.UpstreamID, rate float64) {
	if rate > 0 {
		c.add(now, id, c.recent(now, id))
	}
}

// Take reports whether this daemon may call a cold upstream, and counts the call if
// so. The daemon's share is the limit divided by divisor, as in Budget.Take. If that is less
// than one call, the first daemons in the order for the upstream have one each, as many as the
// limit allows calls; isFirst reports whether this daemon is among the first n. rate is in calls
// per second; 0 means no limit.
//
// Example: a cold upstream takes 5 calls a second, so that the limit is 12.5 calls in any second,
// of which 10 are used. Each of 6 daemons may send one, and of 295 daemons 10 may.
func (c *ColdLimiter) Take(now almondstep.Instant, id almondstep.UpstreamID, rate float64, divisor int, isFirst func(n int) bool) bool {
	if rate <= 0 {
		return true
	}
	usable := (rate*c.Factor + c.Slack) * usablePerMille / perMille
	share := usable / float64(max(1, divisor))
	if share < 1 && isFirst(int(usable)) {
		share = 1
	}
	recent := c.recent(now, id)
	mayMissCalls := c.since != 0 && now.Sub(c.since) < countedTime
	if float64(len(recent)+1) > share || mayMissCalls {
		return false
	}
	c.add(now, id, recent)
	return true
}

// recent returns the calls to an upstream that still count, oldest first.
func (c *ColdLimiter) recent(now almondstep.Instant, id almondstep.UpstreamID) []almondstep.Instant {
	recent := c.sent[id]
	for len(recent) > 0 && now.Sub(recent[0]) >= countedTime {
		recent = recent[1:]
	}
	return recent
}

func (c *ColdLimiter) add(now almondstep.Instant, id almondstep.UpstreamID, recent []almondstep.Instant) {
	if c.sent == nil {
		c.sent = make(map[almondstep.UpstreamID][]almondstep.Instant)
	}
	c.sent[id] = append(recent, now)
}

// Begin records that this daemon's process begins now, and that an earlier one may have used its
// share of the calls of this second.
func (c *ColdLimiter) Begin(now almondstep.Instant) { c.since = now }

// Retain drops the counts of upstreams without a call that still counts.
func (c *ColdLimiter) Retain(now almondstep.Instant) {
	for id := range c.sent {
		if len(c.recent(now, id)) == 0 {
			delete(c.sent, id)
		}
	}
}
