package limiter

import "time"

// growth judges the rounds that raise a cold allowance.
//
// That answers come within the latency bound isn't enough: an upstream that can
// bear one request and is sent two answers both, each twice as slowly. So the
// round with one request at a time is the measure, and a round with more passes
// only if its answers are not much slower on average. After a failed round the
// next ones are longer, so that a tired upstream isn't tried again and again.
//
// Example: 2 ms with one at a time. With two at a time 2.2 ms passes, 4 ms
// fails, and the next rounds take twice as many answers.
type growth struct {
	// alone is the latency with one request at a time.
	alone time.Duration
	// failures is how many rounds have failed in a row.
	failures int

	seen   int
	credit int
	sum    time.Duration
	worst  time.Duration
}

// sample is one success.
type sample struct {
	took time.Duration
	// capacity is how many requests were allowed when it was sent.
	capacity int
	// full says that the whole allowance was in use while it ran.
	full bool
}

type roundResult uint8

const (
	roundOpen roundResult = iota
	roundPassed
	roundFailed
)

const (
	// fullCredit is how many successes at less than the allowance one at the
	// full allowance is worth. Those at less prove little, but an upstream that
	// gets little must become warm too.
	fullCredit = 4
	// roundDoublings bounds how often failed rounds double the next one.
	roundDoublings = 3
	// firstRounds lengthens the rounds, of which the first is the measure of all.
	firstRounds = 3
	// queueingFloor is the difference in latency that is taken for chance.
	queueingFloor = 100 * time.Microsecond
)

// add takes one success at an allowance.
func (g *growth) add(a sample, allowance, round int) roundResult {
	if a.capacity != allowance {
		// It ran beside more requests, or fewer, than are being judged.
		return roundOpen
	}
	g.seen++
	g.sum += a.took
	g.worst = max(g.worst, a.took)
	g.credit++
	if a.full {
		g.credit += fullCredit - 1
	}
	need := round * (firstRounds + allowance*allowance) << min(g.failures, roundDoublings)
	if g.credit < need*fullCredit {
		return roundOpen
	}
	return g.judge(allowance)
}

// judge ends a round.
func (g *growth) judge(allowance int) roundResult {
	// The slowest answer is left out: it may have paid for a connection.
	mean := (g.sum - g.worst) / time.Duration(max(1, g.seen-1))
	if allowance == 1 {
		g.alone = mean
	}
	passed := allowance == 1 || mean <= g.bound(allowance)
	failures := g.failures
	g.restart()
	if !passed {
		g.failures = failures + 1
		return roundFailed
	}
	if allowance > 1 {
		g.failures = 0
	}
	return roundPassed
}

// bound is the mean latency up to which a round with several requests at a time
// passes. If one fewer were all that the upstream bears, the mean would be
// n/(n-1) times that of one alone; the bound lies halfway. The larger n, the
// smaller the difference, which is why the rounds grow with its square.
func (g *growth) bound(n int) time.Duration {
	const half = 2
	return g.alone + g.alone/time.Duration(half*(n-1)) + queueingFloor
}

// restart begins a new round.
func (g *growth) restart() {
	*g = growth{alone: g.alone, failures: g.failures}
}
