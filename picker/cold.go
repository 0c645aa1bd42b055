package picker

import (
	"time"

	"almondstep"
)

// entryLag is the time by which a registry entry may be older than this daemon's reading of it.
// Up to then, an answer that states a cold time is the newer statement.
const entryLag = 5 * time.Second

// coldState is what an upstream has said of how long it stays cold. It may become cold again, and
// its cold time may grow, shrink or end, in any entry and any answer.
type coldState struct {
	// listedUntil is by the upstream's registry entry; 0 if that says that it is warm.
	listedUntil almondstep.Instant
	// answeredUntil is by the last answer that stated it, received at answeredAt.
	answeredUntil almondstep.Instant
	answeredAt    almondstep.Instant
}

// listed takes over what the newest registry entry says.
func (c *coldState) listed(u *almondstep.Upstream) {
	c.listedUntil = u.ColdUntil()
	if u.ListedAt > c.answeredAt.Add(entryLag) {
		c.answeredUntil = 0
	}
}

// answered takes over what an answer says.
func (c *coldState) answered(now almondstep.Instant, left time.Duration) {
	c.answeredUntil, c.answeredAt = now.Add(left), now
}

// isCold reports whether the upstream is cold by its entry or by an answer. The two don't
// outdo each other, since either may be the older one when it is read.
func (u *upstreamState) isCold(now almondstep.Instant) bool {
	return now < max(u.cold.listedUntil, u.cold.answeredUntil)
}
