package picker

import (
	"time"

	"almondstep"
)

// Terms are the terms of an upstream's cost for one more request, and what they depend on.
type Terms struct {
	// Latency, Failures, Queue, Overdue and Cold are the terms.
	Latency, Failures, Queue, Overdue, Cold time.Duration
	// Mean and Deviation are those of the expected latency. Trial is set if the latency term
	// is that of a trial call to a slow upstream.
	Mean, Deviation time.Duration
	Trial           bool
}

// Cost returns the sum of the terms.
func (t *Terms) Cost() time.Duration { return t.Latency + t.Failures + t.Queue + t.Overdue + t.Cold }

// Terms returns the terms of an upstream's cost for a call, which trials says may be a trial.
func (p *Picker) Terms(now almondstep.Instant, u *almondstep.Upstream, trials bool) Terms {
	return p.terms(now, p.stateOf(u), trials)
}

// Pace returns the pace that is expected of an upstream now, in percent; 100 is the usual one.
func (p *Picker) Pace(now almondstep.Instant, u *almondstep.Upstream) float64 {
	s := p.stateOf(u)
	return s.pace.present(now, s.validFor(now))
}

// Backoff returns the time until the backoff of an upstream ends; 0 if it is in none.
func (p *Picker) Backoff(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	return p.stateOf(u).backoffLeft(now)
}

// backoffLeft returns the time until the backoff ends; 0 if there is none.
func (u *upstreamState) backoffLeft(now almondstep.Instant) time.Duration {
	return max(0, u.backoffUntil.Sub(now))
}

// terms returns the time in which the upstream is expected to answer one more request, and
// the penalties for likely failures and delays. trials reports whether it may be a trial call.
func (p *Picker) terms(now almondstep.Instant, s *upstreamState, trials bool) Terms {
	mean, deviation := s.expectedLatency(now)
	due := s.trialDue(now)
	if due && !trials {
		mean, deviation = s.atPresentPace(now, s.mean, s.deviation)
	}
	t := Terms{Mean: mean, Deviation: deviation, Latency: mean + deviation}
	if due && trials {
		// A trial must win against upstreams that are nearly equal, or a recovered
		// upstream of three is never found.
		t.Trial = true
		t.Latency = time.Duration(float64(mean) / nearlyEqualRatio)
	}
	t.Failures = time.Duration(s.failureShare(now) * float64(failureCost))
	t.Queue = time.Duration(s.queuedPerSlot(now) * float64(max(mean-s.rtt, priorServiceTime)))
	if over := s.overdue(now); over > 0 {
		t.Overdue = overdueCost + over
	}
	if s.isCold(now) {
		t.Cold = coldCost
	}
	return t
}
