package budgeter

import (
	"maps"
	"time"

	"almondstep"
)

const (
	// usedRatePerMille is the part of a stated rate that all daemons together use. The rest
	// is a margin for requests that the counts miss: those sent by a daemon before it
	// restarted and lost its counts.
	usedRatePerMille = 950
	// After a pause, all daemons together may send at once as many requests as the stated
	// rate allows in burstTime, and burstRequests more.
	burstTime     = time.Second
	burstRequests = 4
	// In a small fleet each daemon may save up for one request however long it pauses. A
	// fleet is small up to smallFleetTime times the rate, and smallFleet, daemons. In a
	// larger one, no more than pauseCredit counts of the time between two requests that a
	// daemon wants to send.
	smallFleetTime = 2200 * time.Millisecond
	smallFleet     = 5
	pauseCredit    = time.Second
	// An upstream that a daemon hasn't called for long may state no limit any more, so the
	// daemon then calls it once beyond its share: not before minMemory, and so seldom that
	// all daemons together make extraPerMille of the stated rate and minExtra such calls per
	// second.
	minMemory     = 2 * time.Minute
	extraPerMille = 200
	minExtra      = 0.25
	// wholeToken is what counts as a token in spite of rounding errors.
	wholeToken = 1 - 1e-9
	// maxWait is returned where no request will ever be allowed.
	maxWait = time.Minute
)

// RateLimiter keeps this daemon's share of the rates that upstreams state for the requests
// of all daemons together. Set the fields before the first method call.
//
// Each daemon has an equal share, saved up in a token bucket. Its first token is due after
// a random part of the time that one takes, so that the daemons of a large fleet, each of
// which sends a request only now and then, don't send them at the same time.
//
// Example: an upstream states 12 requests a second, and there are 9 daemons. Each sends at
// most 1.2 a second, and after a pause one at once.
type RateLimiter struct {
	// Seed is that of the random times.
	Seed uint64

	stated map[almondstep.UpstreamID]*statedRate
}

// statedRate is the rate that an upstream states, and what this daemon has saved up of it.
type statedRate struct {
	// started is that of the upstream's run; another run states its own rate.
	started time.Time
	// rate is in requests per second of all daemons together, last stated at statedAt. It
	// no longer counts from validUntil on, if it isn't stated again.
	rate       float64
	statedAt   almondstep.Instant
	validUntil almondstep.Instant
	// tokens is the number of requests that may be sent, as of updatedAt.
	tokens    float64
	updatedAt almondstep.Instant
}

// State records the rate that an upstream states, in requests per second, and reports
// whether it stated none before. divisor is the number of daemons if all have equal shares.
func (l *RateLimiter) State(now almondstep.Instant, u *almondstep.Upstream, rate float64, divisor int) bool {
	s := l.stated[u.ID]
	if s == nil || !s.started.Equal(u.Started) {
		s = l.add(now, u)
	}
	isNew := now >= s.validUntil
	if isNew && s.statedAt != 0 {
		// The rate no longer counted, so the call wasn't taken from the tokens.
		s.tokens--
	}
	s.rate, s.statedAt = rate, now
	s.validUntil = now.Add(l.memory(rate, divisor))
	return isNew
}

// add begins to keep the rate of an upstream's run.
func (l *RateLimiter) add(now almondstep.Instant, u *almondstep.Upstream) *statedRate {
	if l.stated == nil {
		l.stated = make(map[almondstep.UpstreamID]*statedRate)
	}
	s := &statedRate{started: u.Started, tokens: l.random(), updatedAt: now}
	l.stated[u.ID] = s
	return s
}

// memory returns how long a stated rate counts if it isn't stated again. The random factor
// spreads the calls that the daemons then make.
func (l *RateLimiter) memory(rate float64, divisor int) time.Duration {
	extra := rate*extraPerMille/perMille + minExtra
	seconds := max(minMemory.Seconds(), float64(divisor)/extra)
	return time.Duration(seconds * (0.5 + l.random()) * float64(time.Second))
}

// random returns a number from 0 to 1.
func (l *RateLimiter) random() float64 {
	const bits = 53
	l.Seed = almondstep.HashUint64(l.Seed)
	return float64(l.Seed>>(64-bits)) / (1 << bits)
}

// Clear records that an upstream states no rate in the response to a request that was
// sent at sentAt. It reports whether that ends a limit: a later response may have stated one.
func (l *RateLimiter) Clear(now almondstep.Instant, u *almondstep.Upstream, sentAt almondstep.Instant) bool {
	s := l.of(now, u)
	if s == nil || sentAt < s.statedAt {
		return false
	}
	delete(l.stated, u.ID)
	return true
}

// Limited reports whether an upstream states a rate.
func (l *RateLimiter) Limited(now almondstep.Instant, u *almondstep.Upstream) bool {
	return l.of(now, u) != nil
}

// Wait returns how long this daemon must wait before it may send a request to an upstream;
// 0 if it may now. divisor is as in State.
func (l *RateLimiter) Wait(now almondstep.Instant, u *almondstep.Upstream, divisor int) time.Duration {
	s := l.of(now, u)
	if s == nil {
		return 0
	}
	share := s.update(now, divisor)
	switch {
	case s.tokens >= wholeToken:
		return 0
	case share <= 0:
		return maxWait
	}
	seconds := min(maxWait.Seconds(), (1-s.tokens)/share)
	return max(1, time.Duration(seconds*float64(time.Second)))
}

// Take reports whether this daemon may send a request to an upstream, and counts it if so.
// divisor is as in State.
func (l *RateLimiter) Take(now almondstep.Instant, u *almondstep.Upstream, divisor int) bool {
	s := l.of(now, u)
	if s == nil {
		return true
	}
	s.update(now, divisor)
	if s.tokens < wholeToken {
		return false
	}
	s.tokens--
	return true
}

// Retain drops what is known of upstreams that the directory no longer lists.
func (l *RateLimiter) Retain(d *almondstep.Directory) {
	if len(l.stated) == 0 {
		return
	}
	listed := d.UpstreamsByID()
	maps.DeleteFunc(l.stated, func(id almondstep.UpstreamID, _ *statedRate) bool { return listed[id] == nil })
}

// of returns what the present run of an upstream states; nil if it states nothing.
func (l *RateLimiter) of(now almondstep.Instant, u *almondstep.Upstream) *statedRate {
	s := l.stated[u.ID]
	if s == nil || now >= s.validUntil || !s.started.Equal(u.Started) {
		return nil
	}
	return s
}

// update adds the tokens since the last update, which is when the daemon last wanted to
// send a request. It returns this daemon's share of the rate, in requests per second.
func (s *statedRate) update(now almondstep.Instant, divisor int) float64 {
	daemons := float64(max(1, divisor))
	share := s.rate * usedRatePerMille / perMille / daemons
	depth := max(1, (s.rate*burstTime.Seconds()+burstRequests)/daemons)
	saved := now.Sub(s.updatedAt)
	if daemons > s.rate*smallFleetTime.Seconds()+smallFleet {
		saved = min(saved, pauseCredit)
	}
	s.tokens = min(depth, s.tokens+share*saved.Seconds())
	s.updatedAt = now
	return share
}
