package limiter

import (
	"time"

	"almondstep"
)

// warmup is the warm-up state of one upstream and the load it has been shown to
// bear.
//
// An upstream is cold until it has warmed up. A cold one gets at most allowance
// requests at a time. The allowance starts at 1, rises by one after each full
// round of successes within the latency bound that shows no queueing, and is
// halved by a shed or an overrun. A warm upstream gets at most limit requests
// at a time, which never exceeds its slots.
//
// Example, with two slots and rounds of four: four successes raise the
// allowance to 2, four more make the upstream warm; a broken connection makes
// it cold again, with allowance 1.
type warmup struct {
	temperature almondstep.Temperature
	slots       int

	allowance int
	growth    growth
	limit     float64

	// latency averages the last few answers, baseline many more.
	latency  time.Duration
	baseline time.Duration
	shedRate float64

	sheds       int
	refused     int
	silent      int
	silentSince almondstep.Instant
}

// serviceLatency is the average latency of a service's warm upstreams. A cold
// upstream that has no latency of its own yet is judged by it.
type serviceLatency struct {
	latency time.Duration
}

const (
	// An answer counts in the averages with the weights 1/latencyWeight,
	// 1/serviceWeight and 1/baselineWeight.
	latencyWeight  = 4
	serviceWeight  = 16
	baselineWeight = 64
	shedWeight     = 1.0 / 16
	// maxLatencyRatio is how many times slower than its service's warm
	// upstreams an answer may be and still count as a success.
	maxLatencyRatio = 4
	// maxBaselineDrift bounds, in multiples of the baseline, the latency with
	// which one answer enters the baseline.
	maxBaselineDrift = 2
	// latencyFloor is added to the latency bound for the jitter of fast
	// services.
	latencyFloor = 2 * time.Millisecond
	// defaultLatencyBound is the latency bound of a service without any warm
	// upstream.
	defaultLatencyBound = 100 * time.Millisecond
	// stepShedRate is the share of requests shed at which a latency step means
	// that the upstream has turned cold.
	stepShedRate = 0.1
	// limitDecrease is the factor by which a shed or an overrun reduces a warm
	// limit.
	limitDecrease = 0.7
	// refusedUntilLost (refused connections in a row), silentUntilLost
	// (unanswered requests in a row) and minSilence (the time they span) define
	// when an upstream is lost and gets only liveness probes.
	refusedUntilLost = 3
	silentUntilLost  = 4
	minSilence       = time.Second
	// silentUntilCold is how many overruns in a row turn a warm upstream cold.
	silentUntilCold = 3
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

// setSlots sets the configured number of slots.
func (w *warmup) setSlots(slots int) {
	w.slots = max(1, slots)
	w.allowance = min(w.allowance, w.slots)
	w.limit = min(w.limit, float64(w.slots))
}

// bound returns the latency up to which an answer is a success.
func (l *serviceLatency) bound(dial time.Duration) time.Duration {
	if l.latency == 0 {
		return defaultLatencyBound
	}
	return maxLatencyRatio*l.latency + latencyFloor + dial
}

// answered records an answer of any kind, which shows that the upstream is
// alive.
func (w *warmup) answered() {
	w.refused = 0
	w.silent = 0
	if w.temperature == almondstep.Lost {
		w.turnCold()
	}
}

// success records an answer to a request that ran.
func (w *warmup) success(a sample, service *serviceLatency, bound time.Duration, round int) {
	took := a.took
	w.answered()
	w.sheds = 0
	w.shedRate -= w.shedRate * shedWeight
	w.latency = average(w.latency, took, latencyWeight)
	// A latency step moves the baseline no faster than a drift, so that
	// checkStep detects it.
	w.baseline = average(w.baseline, min(took, maxBaselineDrift*w.baseline+latencyFloor), baselineWeight)
	switch w.temperature {
	case almondstep.Cold:
		// The service latency follows cold upstreams slowly, so that the
		// upstreams of a service that has become slower as a whole warm up in
		// the end.
		if service.latency != 0 {
			service.latency = average(service.latency, took, baselineWeight)
		}
		w.coldSuccess(a, bound, round)
	case almondstep.Warm:
		service.latency = average(service.latency, took, serviceWeight)
		w.limit = min(float64(w.slots), w.limit+1/w.limit)
		w.checkStep()
	default:
	}
}

func (w *warmup) coldSuccess(a sample, bound time.Duration, round int) {
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

// halve lowers the allowance after a shed or an overrun.
func (w *warmup) halve() {
	w.allowance = max(1, w.allowance/2)
	w.growth.restart()
}

// shed records that the upstream refused a request before it ran.
func (w *warmup) shed() {
	w.answered()
	w.sheds++
	w.shedRate += (1 - w.shedRate) * shedWeight
	w.lower()
	w.checkStep()
}

func (w *warmup) lower() {
	if w.temperature == almondstep.Cold {
		w.halve()
		return
	}
	w.limit = max(1, w.limit*limitDecrease)
}

// checkStep turns a warm upstream cold when both its latency and its shed rate
// have stepped up.
func (w *warmup) checkStep() {
	stepped := w.latency > maxLatencyRatio*w.baseline+latencyFloor
	if w.temperature == almondstep.Warm && stepped && w.shedRate > stepShedRate {
		w.turnCold()
	}
}

// unanswered records a request that timed out; fair reports whether its timeout
// was long enough to count as an overrun.
func (w *warmup) unanswered(now almondstep.Instant, fair bool) {
	w.noteSilence(now)
	if fair {
		w.overrun()
	}
	w.checkSilence(now)
}

func (w *warmup) overrun() {
	w.lower()
	if w.temperature == almondstep.Warm && w.silent >= silentUntilCold {
		w.turnCold()
	}
}

// connectionBroken records a connection that broke while a request may have
// run.
func (w *warmup) connectionBroken(now almondstep.Instant) {
	w.noteSilence(now)
	w.dropToCold()
	w.checkSilence(now)
}

// connectionRefused records a refused connection.
func (w *warmup) connectionRefused() {
	w.refused++
	w.dropToCold()
	if w.temperature == almondstep.Cold && w.refused >= refusedUntilLost {
		w.temperature = almondstep.Lost
	}
}

// coldHint records the upstream's own cold header. It can only reduce the load on
// the upstream.
func (w *warmup) coldHint() {
	w.growth.restart()
	if w.temperature == almondstep.Warm {
		w.turnCold()
	}
}

func (w *warmup) dropToCold() {
	switch w.temperature {
	case almondstep.Cold, almondstep.Warm:
		w.turnCold()
	default:
	}
}

func (w *warmup) noteSilence(now almondstep.Instant) {
	if w.silent == 0 {
		w.silentSince = now
	}
	w.silent++
}

func (w *warmup) checkSilence(now almondstep.Instant) {
	if w.temperature != almondstep.Cold || w.silent < silentUntilLost {
		return
	}
	if now.Sub(w.silentSince) >= minSilence {
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
