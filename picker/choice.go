package picker

import (
	"time"

	"almondstep"
)

// nearlyEqualRatio is the ratio of the second lowest cost to the lowest up to which the
// choice between both is random. Without it, all daemons that see the same idle
// upstream would call it at once. An idle upstream with 2 slots and one with a request
// running differ by at most this ratio.
const nearlyEqualRatio = 1.5

// candidate is an upstream that may be called, with its cost.
type candidate struct {
	upstream *almondstep.Upstream
	cost     time.Duration
}

// cheapest holds the two candidates of least cost that were added.
type cheapest struct {
	first, second candidate
}

// add adds a candidate; of equal ones, the one added first comes first.
func (c *cheapest) add(n candidate) {
	switch {
	case c.first.upstream == nil || n.cost < c.first.cost:
		c.first, c.second = n, c.first
	case c.second.upstream == nil || n.cost < c.second.cost:
		c.second = n
	}
}

// nearlyEqual reports whether either may be called. Two of different regions never are,
// since a call to another region costs more than time.
func (c *cheapest) nearlyEqual() bool {
	return c.second.upstream != nil && c.first.upstream.Region == c.second.upstream.Region &&
		float64(c.second.cost) <= nearlyEqualRatio*float64(c.first.cost)
}

// choose returns the first candidate or, of two that are nearly equal, one at random in
// inverse proportion to the cost.
func (p *Picker) choose(c *cheapest) *almondstep.Upstream {
	if c.nearlyEqual() && p.random()*float64(c.first.cost+c.second.cost) < float64(c.first.cost) {
		return c.second.upstream
	}
	return c.first.upstream
}

// random returns a pseudo-random number from 0 to 1, exclusive of 1.
func (p *Picker) random() float64 {
	const mantissaBits = 53
	p.Seed = almondstep.HashUint64(p.Seed)
	return float64(p.Seed>>(64-mantissaBits)) / (1 << mantissaBits)
}
