package dialer

import (
	"time"

	"almondstep"
)

// Idle returns the number of an upstream's open connections that carry no
// request, not counting the spare.
func (c *Client) Idle(addr almondstep.Address) int {
	c.mu.Lock()
	p := c.pools[addr]
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for open := range p.open {
		if open.request.Load() == nil && open != p.spare {
			n++
		}
	}
	return n
}

// DecodeAnswer calls decodeAnswer, for the fuzz target.
func DecodeAnswer(body []byte, limit int) (total, records int, err error) {
	a, err := decodeAnswer(body, limit)
	return a.Total, len(a.Records), err
}

// NewDialLimiter makes a dialLimiter and returns its reserve method.
func NewDialLimiter(every time.Duration, burst int) func(time.Time) time.Duration {
	l := &dialLimiter{interval: every, burst: burst}
	return l.reserve
}
