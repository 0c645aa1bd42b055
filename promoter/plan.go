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
	// maxAllDivisor bounds the time of the third stage to this part of the plan's time.
	maxAllDivisor = 3
	// The canary's share is between these parts of the bound.
	minCanary = 0.25
	maxCanary = 0.6
)

// Plan is the schedule of a rollout, in times since its order. Up to AllAt, each daemon enforces
// the bound on its own requests at every moment. From then on, all requests go to the new version
// for at least Settle, which the bound must have left unused: Canary and AllAt are chosen so.
//
// Example: 100 s, a bound of 0.1 and updates within 3 s. The margin is 10 s; all requests go to the
// new version from 82 s to 90 s, a ramp begins at 78 s, and the canary has the share 0.025. At
// 90 s, 0.025 x 78 + 0.35 x 4 + 8 = 11.4 s of requests were exposed, where the bound allows 9 s
// and the slack: the least canary was taken, since less than that shows no fault.
type Plan struct {
	// Canary is the share of the requests in the first stage.
	Canary float64
	// RampAt and AllAt are when the second and the third stage begin at the latest, and DoneAt is
	// when the rollout is completed.
	RampAt time.Duration
	AllAt  time.Duration
	DoneAt time.Duration
	// Settle is how long the third stage lasts at least.
	Settle time.Duration
}

// ThirdStage returns how long the third stage may last, for what was counted up to an age of the
// order: as long as the bound and half of the slack allow at the present rate of requests, since
// the more answers under the whole load, the smaller the faults that show.
//
// Example: 5 requests a second for 90 s, a bound of 0.1 and a slack of 50. 45 and 25 calls are
// allowed, of which 8 were sent and 7 belong to the ramp: 55 remain, which are 11 s.
func (p Plan) ThirdStage(age time.Duration, requests, exposed uint64, bound, slack float64) time.Duration {
	longest := max(p.Settle, p.DoneAt/maxAllDivisor)
	if requests == 0 || age <= 0 {
		return longest
	}
	rate := float64(requests) / age.Seconds()
	spare := bound*rate*p.DoneAt.Seconds() + slack/2 - float64(exposed) - rampShare*rate*rampTime.Seconds()
	return min(max(p.Settle, time.Duration(spare/rate*float64(time.Second))), longest)
}

// NewPlan returns the plan of a rollout with a time limit, for a bound on the share of the requests
// that a bad version may get. Each daemon learns of a decision within the given time.
func NewPlan(limit time.Duration, bound float64, update time.Duration) Plan {
	done := limit - max(limit/marginDivisor, minMargin)
	p := Plan{DoneAt: max(0, done), Settle: 2*update + settleTime}
	p.AllAt = max(0, done-p.Settle)
	p.RampAt = max(0, p.AllAt-rampTime)
	later := rampShare*(p.AllAt-p.RampAt).Seconds() + p.Settle.Seconds()
	if p.RampAt > 0 {
		p.Canary = (bound*(p.AllAt+p.Settle).Seconds() - later) / p.RampAt.Seconds()
	}
	p.Canary = min(max(p.Canary, minCanary*bound), maxCanary*bound)
	return p
}
