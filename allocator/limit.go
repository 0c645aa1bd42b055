package allocator

import (
	"math"
	"time"

	"almondstep"
)

const (
	// usedSurplus is the part of the surplus that is used. The rest covers the time between a
	// grant and the call, and daemons that hold different entries for a while.
	usedSurplus = 0.9
	// reserveShare, initialShare and depthShare divide the used surplus.
	reserveShare = 0.15
	initialShare = 0.2
	depthShare   = 0.65
	// lenderShare is the lenders' part of what lenders and deputies share; a deputy is rarely
	// asked.
	lenderShare = 0.85
	// minRegionalDepth is the depth of a region's bucket, in requests, below which one bucket for
	// all regions serves an organisation: chance alone would empty smaller ones below the limit.
	minRegionalDepth = 2
	// minWindowed is the least number of requests in a window for which grants are counted by the
	// window. For fewer, the fractions of requests that remain unused would be too large a part.
	minWindowed = 10
	// minWindowedSurplus is the least surplus for that, as a multiple of the burst. What a lender has
	// granted stays in the window when its fraction moves to another, whose inflow has a part of the
	// burst again: without this condition, demand that moves reached 0.24 of the burst over the limit.
	minWindowedSurplus = 0.7
)

// limit is the limit of one organisation, divided among those who use parts of it. In any window,
// the requests are at most the sum of the buckets' depths, of the inflow at rate, of the initial
// contents and of the reserves. A windowed limit grants the burst and the depths again in
// each window, also to an organisation that is always above its rate: its buckets fill faster,
// and count what they grant in a window. What the bound of a window leaves is of more use to
// callers than a margin.
type limit struct {
	// window is the time over which requests are counted, in seconds.
	window   float64
	windowed bool
	// rate is in requests per second; the others are in requests.
	rate    float64
	burst   float64
	depth   float64
	initial float64
	reserve float64
	// single is set if one bucket serves all regions.
	single bool
	places float64
}

// limitOf returns the limit of an organisation under the bounds of cfg.
func limitOf(cfg Config, o *almondstep.Organisation, g group) limit {
	window := cfg.Window.Seconds()
	surplus := usedSurplus * (cfg.Overage*(o.Rate()*window+o.Burst()) + cfg.Slack)
	l := limit{
		window:  window,
		rate:    o.Rate(),
		burst:   o.Burst(),
		depth:   surplus * depthShare,
		initial: surplus * initialShare,
		reserve: surplus * reserveShare,
		places:  float64(len(g.places)),
	}
	if l.reserve < 1 {
		l.depth, l.reserve = l.depth+l.reserve, 0
	}
	// The number of regions decides, which changes less often than that of their daemons.
	l.single = l.burst/l.places+l.extra(l.depth, true) < minRegionalDepth
	if l.single && l.burst+l.depth < 1 {
		// The bucket must hold a whole request; the rate makes up for it within the window.
		l.rate = max(0, l.rate-(1-l.burst-l.depth)/window)
		l.depth = 1 - l.burst
	}
	l.windowed = l.rate*window+l.burst+l.extra(l.depth, true)*l.buckets() >= minWindowed &&
		surplus >= minWindowedSurplus*l.burst
	return l
}

// buckets is the number of buckets, apart from the deputies'.
func (l limit) buckets() float64 {
	if l.single {
		return 1
	}
	return l.places
}

// inflow returns what a bucket with a fraction of the limit and a part of the surplus may grant
// over time, in requests per second.
func (l limit) inflow(fraction, extra float64) float64 {
	if !l.windowed || fraction <= 0 {
		return fraction * l.rate
	}
	return fraction*l.rate + (fraction*l.burst+extra)/l.window
}

// extra returns the part of a surplus for one bucket.
func (l limit) extra(surplus float64, lender bool) float64 {
	switch {
	case l.single:
		return surplus
	case lender:
		return surplus * lenderShare / l.places
	}
	return surplus * (1 - lenderShare) / l.places
}

// wholeTolerance absorbs the rounding errors of a bucket's content.
const wholeTolerance = 1e-9

// bucket is a token bucket. Its content is that of updated.
type bucket struct {
	content  float64
	fraction float64
	depth    float64
	// inflow is in requests per second.
	inflow  float64
	updated almondstep.Instant
	// window is nil if the limit isn't windowed.
	window *window
	// promised is when the request that was last refused may be granted, if those before it come
	// again when they were told to.
	promised almondstep.Instant
	// demand is the recent rate of requests, granted or not, in requests per second.
	demand float64
	asked  almondstep.Instant
}

// depthOf returns the depth of a bucket with a fraction of the limit and a part of the surplus. A
// windowed limit adds the surplus over the window, so that a burst leaves more for the time after it.
func (l limit) depthOf(fraction, extra float64) float64 {
	if l.windowed {
		return max(fraction*l.burst, extra)
	}
	return fraction*l.burst + extra
}

// newBucket returns an empty bucket.
func newBucket(now almondstep.Instant, l limit, length time.Duration) *bucket {
	b := &bucket{updated: now, asked: now}
	if l.windowed {
		b.window = &window{length: length, updated: now}
	}
	return b
}

// setFull fills a new bucket, as if its inflow had been unused for a window.
func (b *bucket) setFull(inflow float64) {
	b.content = math.Inf(1)
	b.depth = b.content
	if b.window != nil {
		b.window.fill(inflow)
	}
}

// setInitial puts requests into a new bucket.
func (b *bucket) setInitial(requests float64) {
	b.content, b.depth = requests, requests
	if b.window != nil {
		b.window.allow(requests)
	}
}

// refill adds the inflow since the last refill at the fraction that applied then, and continues
// with the given fraction. A fraction that falls takes its part of the content with it.
func (b *bucket) refill(now almondstep.Instant, l limit, fraction, extra float64) {
	passed := max(0, now.Sub(b.updated)).Seconds()
	b.content = min(b.depth, b.content+b.inflow*passed)
	if b.window != nil {
		b.window.advance(now, b.inflow)
	}
	b.updated, b.fraction, b.depth = now, fraction, l.depthOf(fraction, extra)
	b.inflow = l.inflow(fraction, extra)
	b.content = min(b.content, b.depth)
}

// take takes one request from the bucket; otherwise it returns the time until it may be granted.
func (b *bucket) take(now almondstep.Instant) (bool, time.Duration) {
	windowWait := time.Duration(0)
	if b.window != nil {
		windowWait = b.window.wait()
	}
	if b.content >= 1-wholeTolerance && windowWait == 0 {
		b.content--
		if b.window != nil {
			b.window.grant(1)
		}
		return true, 0
	}
	if b.inflow <= 0 || b.depth < 1 {
		return false, leaseRetryAfter
	}
	each := time.Duration(float64(time.Second) / b.inflow)
	wait := max(windowWait, time.Duration((1-b.content)*float64(each)))
	// Requests that are refused together are told to come one after the other.
	b.promised = max(now.Add(wait), b.promised.Add(each))
	return false, min(max(b.promised.Sub(now), minRetryAfter), maxRetryAfter)
}

// giveBack returns a request that was granted and not sent.
func (b *bucket) giveBack() {
	b.content = min(b.depth, b.content+1)
	if b.window != nil {
		b.window.grant(-1)
	}
}

const (
	// minDemandTime is the least time over which demand is averaged, and demandRequests the least
	// number of requests at the limit's rate: the fractions of a small limit must not follow
	// single requests.
	minDemandTime  = 2 * time.Second
	demandRequests = 8
)

// demandTime is the time over which the demand for a limit is averaged, in seconds.
func (l limit) demandTime() float64 { return max(minDemandTime.Seconds(), demandRequests/l.rate) }

// decayed returns the demand as of now.
func (b *bucket) decayed(now almondstep.Instant, l limit) float64 {
	return b.demand * math.Exp(-now.Sub(b.asked).Seconds()/l.demandTime())
}

// count counts a request in the demand.
func (b *bucket) count(now almondstep.Instant, l limit) {
	b.demand = b.decayed(now, l) + 1/l.demandTime()
	b.asked = now
}
