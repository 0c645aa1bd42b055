package budgeter

import (
	"maps"
	"slices"

	"almondstep"
)

// Copy returns a budget with the same state, which shares nothing with b that either changes.
func (b *Budget) Copy() Budget {
	n := *b
	n.services = copyValues(b.services)
	return n
}

// Copy returns a limiter with the same state, which shares nothing with c that either changes.
func (c *ColdLimiter) Copy() ColdLimiter {
	n := *c
	n.sent = make(map[almondstep.UpstreamID][]almondstep.Instant, len(c.sent))
	for id, sent := range c.sent {
		n.sent[id] = slices.Clone(sent)
	}
	return n
}

// Copy returns a limiter with the same state, which shares nothing with l that either changes.
func (l *RateLimiter) Copy() RateLimiter {
	n := *l
	n.stated = copyValues(l.stated)
	return n
}

// copyValues returns a map with copies of what the values point to.
func copyValues[K comparable, V any](m map[K]*V) map[K]*V {
	n := maps.Clone(m)
	for key, value := range n {
		c := *value
		n[key] = &c
	}
	return n
}
