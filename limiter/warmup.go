package limiter

import (
	"time"

	"almondstep"
)

// warmup is the warm-up state of one upstream and the load that it may get.
//
// An upstream is cold until it has warmed up. A cold one gets at most allowance
// requests at a time. The allowance starts at 1 and rises by one after each round
// of successes that shows no queueing; a round that shows queueing sets it to 1
// again, and a shed or an overrun halves it. An overrun is a request that takes
// longer than the latency bound. A warm upstream gets at most limit requests at a
// time, which never exceeds its slots.
//
// Example, with two slots and MinRoundSuccesses 4: 16 successes raise the
// allowance to 2, 28 more, with two requests at a time, make the upstream warm; a
// broken connection makes it cold again, with allowance 1.
type warmup struct {
	temperature almondstep.Temperature
	slots       int

	allowance int
	growth    growth
	limit     float64

	// latency averages the last few answers to requests that ran, baseline many
	// more.
	latency  time.Duration
	baseline time.Duration
	// shedRate is the average share of requests shed.
	shedRate float64

	// shedsInRow, refusedInRow and unansweredInRow count sheds, refused
	// connections and unanswered requests in a row; unansweredSince is when the
	// first of these unanswered requests ended.
	shedsInRow      int
	refusedInRow    int
	unansweredInRow int
	unansweredSince almondstep.Instant
}

// serviceLatency is the average latency of a service's upstreams, mainly the warm
// ones. The latency bound is derived from it.
type serviceLatency struct {
	latency time.Duration
}

const (
	// An answer enters the averages latency, serviceLatency and baseline with
	// the weights 1/latencyWeight, 1/serviceWeight and 1/baselineWeight; a shed
	// or an answer enters shedRate with shedWeight.
	latencyWeight  = 4
	serviceWeight  = 16
	baselineWeight = 64
	shedWeight     = 1.0 / 16
	// maxLatencyRatio is how many times slower than the service's average an
	// answer may be without being an overrun, and how many times its baseline an
	// upstream's latency may be before it counts as a latency step.
	maxLatencyRatio = 4
	// maxBaselineDrift bounds, in multiples of the baseline, the latency with
	// which one answer enters the baseline.
	maxBaselineDrift = 2
	// latencySlack is added to latency bounds to allow for the jitter of fast
	// services.
	latencySlack = 2 * time.Millisecond
	// defaultLatencyBound is the latency bound of a service until one of its warm
	// upstreams has answered.
	defaultLatencyBound = 100 * time.Millisecond
	// stepShedRate is the share of requests shed at which a latency step means
	// that the upstream has turned cold.
	stepShedRate = 0.1
	// limitDecrease is the factor by which a shed or an overrun multiplies the
	// limit of a warm upstream.
	limitDecrease = 0.7
	// An upstream is lost, and gets only liveness probes, after refusedUntilLost
	// refused connections in a row, or after unansweredUntilLost unanswered
	// requests in a row over at least minUnansweredTime.
	refusedUntilLost    = 3
	unansweredUntilLost = 4
	minUnansweredTime   = time.Second
	// unansweredUntilCold is the number of unanswered requests in a row from
	// which an overrun turns a warm upstream cold.
	unansweredUntilCold = 3
)

// turnCold restarts the warm-up.
func (w *warmup) turnCold() {
	w.temperature = almondstep.Cold
	w.allowance = 1
	w.growth = growth{}
	w.shedRate = 0
}

func (w *warmup) turnWarm() {
	w.temperature = almondstep.Warm
	w.limit = float64(w.slots)
	w.shedRate = 0
	w.baseline = w.latency
}

// capacity returns how many requests may be in flight.
func (w *warmup) capacity() int {
	switch w.temperature {
	case almondstep.Cold:
		return min(w.allowance, w.slots)
	case almondstep.Warm:
		return min(int(w.limit), w.slots)
	default:
		return 0
	}
}

// setSlots sets the number of slots and lowers the allowance and the limit to
// it.
func (w *warmup) setSlots(slots int) {
	w.slots = max(1, slots)
	w.allowance = min(w.allowance, w.slots)
	w.limit = min(w.limit, float64(w.slots))
}

// bound returns the latency above which an answer is an overrun.
func (l *serviceLatency) bound(dial time.Duration) time.Duration {
	if l.latency == 0 {
		return defaultLatencyBound
	}
	return maxLatencyRatio*l.latency + latencySlack + dial
}

// answered records an answer of any kind, which shows that the upstream is
// alive.
func (w *warmup) answered() {
	w.refusedInRow = 0
	w.unansweredInRow = 0
	if w.temperature == almondstep.Lost {
		w.turnCold()
	}
}

// completed records the answer to a request that ran, a success or an overrun.
func (w *warmup) completed(a sample, service *serviceLatency, bound time.Duration, round int) {
	took := a.took
	w.answered()
	w.shedsInRow = 0
	w.shedRate -= w.shedRate * shedWeight
	w.latency = average(w.latency, took, latencyWeight)
	// A latency step moves the baseline no faster than a drift, so that
	// checkStep detects it.
	w.baseline = average(w.baseline, min(took, maxBaselineDrift*w.baseline+latencySlack), baselineWeight)
	switch w.temperature {
	case almondstep.Cold:
		// The answers of cold upstreams have a small weight in the service
		// latency. Without them a service that has become slower as a whole
		// would never warm up.
		if service.latency != 0 {
			service.latency = average(service.latency, took, baselineWeight)
		}
		w.coldCompleted(a, bound, round)
	case almondstep.Warm:
		service.latency = average(service.latency, took, serviceWeight)
		w.limit = min(float64(w.slots), w.limit+1/w.limit)
		w.checkStep()
	default:
	}
}

func (w *warmup) coldCompleted(a sample, bound time.Duration, round int) {
	if a.took > bound {
		w.halve()
		return
	}
	switch w.growth.add(a, w.allowance, round) {
	case roundOpen:
	case roundFailed:
		w.allowance = 1
	case roundPassed:
		if w.allowance >= w.slots {
			w.turnWarm()
			return
		}
		w.allowance++
	}
}

// halve halves the allowance of a cold upstream after a shed or an overrun.
func (w *warmup) halve() {
	w.allowance = max(1, w.allowance/2)
	w.growth.restart()
}

// shed records that the upstream refused a request before it ran.
func (w *warmup) shed() {
	w.answered()
	w.shedsInRow++
	w.shedRate += (1 - w.shedRate) * shedWeight
	w.lower()
	w.checkStep()
}

// lower lowers the allowance or the limit after a shed or an overrun.
func (w *warmup) lower() {
	if w.temperature == almondstep.Cold {
		w.halve()
		return
	}
	w.limit = max(1, w.limit*limitDecrease)
}

// checkStep turns a warm upstream cold if its latency has stepped up from the
// baseline and its shed rate is above stepShedRate.
func (w *warmup) checkStep() {
	stepped := w.latency > maxLatencyRatio*w.baseline+latencySlack
	if w.temperature == almondstep.Warm && stepped && w.shedRate > stepShedRate {
		w.turnCold()
	}
}

// unanswered records a request that timed out. It is an overrun if its timeout
// was at least the latency bound.
func (w *warmup) unanswered(now almondstep.Instant, isOverrun bool) {
	w.countUnanswered(now)
	if isOverrun {
		w.overrun()
	}
	w.checkUnanswered(now)
}

func (w *warmup) overrun() {
	w.lower()
	if w.temperature == almondstep.Warm && w.unansweredInRow >= unansweredUntilCold {
		w.turnCold()
	}
}

// connectionBroken records a connection that broke while a request may have
// run.
func (w *warmup) connectionBroken(now almondstep.Instant) {
	w.countUnanswered(now)
	w.dropToCold()
	w.checkUnanswered(now)
}

// connectionRefused records a refused connection.
func (w *warmup) connectionRefused() {
	w.refusedInRow++
	w.dropToCold()
	if w.temperature == almondstep.Cold && w.refusedInRow >= refusedUntilLost {
		w.temperature = almondstep.Lost
	}
}

// coldHint records that the upstream's answer had the cold header. The header can
// only reduce the load on the upstream.
func (w *warmup) coldHint() {
	w.growth.restart()
	if w.temperature == almondstep.Warm {
		w.turnCold()
	}
}

// dropToCold restarts the warm-up, unless the upstream is lost or leaving.
func (w *warmup) dropToCold() {
	switch w.temperature {
	case almondstep.Cold, almondstep.Warm:
		w.turnCold()
	default:
	}
}

func (w *warmup) countUnanswered(now almondstep.Instant) {
	if w.unansweredInRow == 0 {
		w.unansweredSince = now
	}
	w.unansweredInRow++
}

func (w *warmup) checkUnanswered(now almondstep.Instant) {
	if w.temperature != almondstep.Cold || w.unansweredInRow < unansweredUntilLost {
		return
	}
	if now.Sub(w.unansweredSince) >= minUnansweredTime {
		w.temperature = almondstep.Lost
	}
}

// average moves old towards took by 1/weight of the difference.
func average(old, took time.Duration, weight time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/weight
}
