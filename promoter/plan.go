package promoter

import "time"

const (
	// marginDivisor and minMargin give the part of an order's time that is left unused at its
	// end, since a daemon counts the order's age only from when it learned of it.
	marginDivisor = 10
	minMargin     = 2 * time.Second
	// rampTime is how long the ramp lasts, and rampShare its share of the requests. Together
	// they cost as much of the bound as 1.4 s of all requests, and show faults that only load
	// brings out before all requests are exposed to them.
	rampTime  = 4 * time.Second
	rampShare = 0.35
	// settleTime is how long the stage of all requests lasts beyond the time in which all
	// daemons learn of it.
	settleTime = 2 * time.Second
	// The canary's share is between these parts of the bound.
	minCanary = 0.25
	maxCanary = 0.6
)

// Plan is the schedule of a rollout, in times since its order. Up to AllAt, each daemon enforces
// the bound on its own requests at every moment. From then on, all requests go to the new version
// for Settle, which the bound must have left unused: Canary and AllAt are chosen so.
//
// Example: 100 s, a bound of 0.1 and updates within 3 s. The margin is 10 s; all requests go to the
// new version from 82 s to 90 s, a ramp begins at 78 s, and the canary has the share 0.025. At
// 90 s, 0.025 x 78 + 0.35 x 4 + 8 = 11.4 s of requests were exposed, where the bound allows 9 s
// and the slack: the least canary was taken, since less than that shows no fault.
type Plan struct {
	// Canary is the share of the requests in the first stage.
	Canary float64
	// RampAt and AllAt are when the second and the third stage begin at the earliest.
	RampAt time.Duration
	AllAt  time.Duration
	// Settle is how long the third stage lasts.
	Settle time.Duration
}

// NewPlan returns the plan of a rollout with a time limit, for a bound on the share of the requests
// that a bad version may get. Each daemon learns of a decision within the given time.
func NewPlan(limit time.Duration, bound float64, update time.Duration) Plan {
	done := limit - max(limit/marginDivisor, minMargin)
	p := Plan{Settle: 2*update + settleTime}
	p.AllAt = max(0, done-p.Settle)
	p.RampAt = max(0, p.AllAt-rampTime)
	later := rampShare*(p.AllAt-p.RampAt).Seconds() + p.Settle.Seconds()
	if p.RampAt > 0 {
		p.Canary = (bound*(p.AllAt+p.Settle).Seconds() - later) / p.RampAt.Seconds()
	}
	p.Canary = min(max(p.Canary, minCanary*bound), maxCanary*bound)
	return p
}
