package limiter

import (
	"time"

	"almondstep"
)

// warmth is what the answers of one upstream have shown of the load it bears.
//
// Cold is the state of an upstream until it is proven warm: at most allowance
// requests at a time, from 1, one more for each full round of successes within
// the latency bound that shows no queueing, half at a shed or an overrun. A warm upstream gets at most
// limit requests at a time, which stays within its slots.
//
// Example, with two slots and rounds of four: four successes raise the
// allowance to 2, four more make the upstream warm; a broken connection makes
// it cold again, with allowance 1.
type warmth struct {
	temperature almondstep.Temperature
	slots       int

	allowance int
	growth    growth
	limit     float64

	// latency follows the last few answers, baseline the many before.
	latency  time.Duration
	baseline time.Duration
	shedRate float64

	sheds      int
	refused    int
	silent     int
	silentFrom almondstep.Instant
}

// pace is the latency of a service's warm upstreams, by which a cold one is
// judged that has no latency of its own yet.
type pace struct {
	latency time.Duration
}

const (
	// latencyWeight, paceWeight and baselineWeight are the parts an answer has in
	// the averages: one fourth, one sixteenth and one sixty-fourth.
	latencyWeight  = 4
	paceWeight     = 16
	baselineWeight = 64
	shedWeight     = 1.0 / 16
	// boundOverPace is how many times slower than its service's warm upstreams
	// an answer may be and still count as a success.
	boundOverPace = 4
	// driftOverBaseline is how many times the baseline an answer may pull it to.
	driftOverBaseline = 2
	// boundFloor is added to the latency bound for the jitter of fast services.
	boundFloor = 2 * time.Millisecond
	// firstBound is the latency bound of a service without any warm upstream.
	firstBound = 100 * time.Millisecond
	// stepShedRate is the part of requests shed at which a latency step means
	// that the upstream has turned cold.
	stepShedRate = 0.1
	// limitCut is what is left of a warm limit after a shed or an overrun.
	limitCut = 0.7
	// refusedUntilLost, silentUntilLost and silentFor say when an upstream is
	// given up but for proofs of life.
	refusedUntilLost = 3
	silentUntilLost  = 4
	silentFor        = time.Second
	// silentUntilCold is how many overruns in a row turn a warm upstream cold.
	silentUntilCold = 3
)

// turnCold starts the proof of warmth from the beginning.
func (w *warmth) turnCold() {
	w.temperature = almondstep.Cold
	w.allowance = 1
	w.growth = growth{}
	w.shedRate = 0
}

func (w *warmth) turnWarm() {
	w.temperature = almondstep.Warm
	w.limit = float64(w.slots)
	w.shedRate = 0
	w.baseline = w.latency
}

// capacity is how many requests may be in flight.
func (w *warmth) capacity() int {
	switch w.temperature {
	case almondstep.Cold:
		return min(w.allowance, w.slots)
	case almondstep.Warm:
		return min(int(w.limit), w.slots)
	default:
		return 0
	}
}

// setSlots takes the slots of the operators' text.
func (w *warmth) setSlots(slots int) {
	w.slots = max(1, slots)
	w.allowance = min(w.allowance, w.slots)
	w.limit = min(w.limit, float64(w.slots))
}

// bound is the latency up to which an answer is a success.
func (p *pace) bound(dial time.Duration) time.Duration {
	if p.latency == 0 {
		return firstBound
	}
	return boundOverPace*p.latency + boundFloor + dial
}

// answered notes an answer of any kind: the upstream lives.
func (w *warmth) answered() {
	w.refused = 0
	w.silent = 0
	if w.temperature == almondstep.Lost {
		w.turnCold()
	}
}

// success notes an answer to a request that ran.
func (w *warmth) success(a sample, p *pace, bound time.Duration, round int) {
	took := a.took
	w.answered()
	w.sheds = 0
	w.shedRate -= w.shedRate * shedWeight
	w.latency = average(w.latency, took, latencyWeight)
	// A step moves the baseline no faster than a drift, so that it shows.
	w.baseline = average(w.baseline, min(took, driftOverBaseline*w.baseline+boundFloor), baselineWeight)
	switch w.temperature {
	case almondstep.Cold:
		// The pace follows cold upstreams slowly, so that a service that has
		// become slower as a whole warms up in the end.
		if p.latency != 0 {
			p.latency = average(p.latency, took, baselineWeight)
		}
		w.coldSuccess(a, bound, round)
	case almondstep.Warm:
		p.latency = average(p.latency, took, paceWeight)
		w.limit = min(float64(w.slots), w.limit+1/w.limit)
		w.checkStep()
	default:
	}
}

func (w *warmth) coldSuccess(a sample, bound time.Duration, round int) {
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
func (w *warmth) halve() {
	w.allowance = max(1, w.allowance/2)
	w.growth.restart()
}

// shed notes that the upstream refused a request before it ran.
func (w *warmth) shed() {
	w.answered()
	w.sheds++
	w.shedRate += (1 - w.shedRate) * shedWeight
	w.lower()
	w.checkStep()
}

func (w *warmth) lower() {
	if w.temperature == almondstep.Cold {
		w.halve()
		return
	}
	w.limit = max(1, w.limit*limitCut)
}

// checkStep turns a warm upstream cold whose latency and sheds have both
// stepped up.
func (w *warmth) checkStep() {
	stepped := w.latency > boundOverPace*w.baseline+boundFloor
	if w.temperature == almondstep.Warm && stepped && w.shedRate > stepShedRate {
		w.turnCold()
	}
}

// unanswered notes a request that had no answer in its time, which was fair or
// too short to judge by.
func (w *warmth) unanswered(now almondstep.Instant, fair bool) {
	w.noteSilence(now)
	if fair {
		w.overrun()
	}
	w.checkSilence(now)
}

func (w *warmth) overrun() {
	w.lower()
	if w.temperature == almondstep.Warm && w.silent >= silentUntilCold {
		w.turnCold()
	}
}

// broke notes a connection that broke while a request may have run.
func (w *warmth) broke(now almondstep.Instant) {
	w.noteSilence(now)
	w.fall()
	w.checkSilence(now)
}

// refuse notes that no one was listening.
func (w *warmth) refuse() {
	w.refused++
	w.fall()
	if w.temperature == almondstep.Cold && w.refused >= refusedUntilLost {
		w.temperature = almondstep.Lost
	}
}

// hinted notes the upstream's own cold mark. It can only lower.
func (w *warmth) hinted() {
	w.growth.restart()
	if w.temperature == almondstep.Warm {
		w.turnCold()
	}
}

func (w *warmth) fall() {
	switch w.temperature {
	case almondstep.Cold, almondstep.Warm:
		w.turnCold()
	default:
	}
}

func (w *warmth) noteSilence(now almondstep.Instant) {
	if w.silent == 0 {
		w.silentFrom = now
	}
	w.silent++
}

func (w *warmth) checkSilence(now almondstep.Instant) {
	if w.temperature != almondstep.Cold || w.silent < silentUntilLost {
		return
	}
	if now.Sub(w.silentFrom) >= silentFor {
		w.temperature = almondstep.Lost
	}
}

// average moves old by one part of weight towards took.
func average(old, took time.Duration, weight time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/weight
}
