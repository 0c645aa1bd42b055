package limiter

import "time"

// growth evaluates the rounds of successes that raise a cold allowance.
//
// Answers within the latency bound aren't enough: an upstream with the capacity
// for one request that gets two answers both, each in twice the time. So the
// round with one request at a time sets the reference latency, and a round with
// more at a time passes only if its answers are not much slower on average.
// After a failed round the next ones are longer, so that an upstream at its
// capacity is rarely overloaded.
//
// Example: the latency is 2 ms with one request at a time. With two at a time a
// mean of 2.2 ms passes; 4 ms fails, and the next rounds take twice as many
// successes.
type growth struct {
	// soloLatency is the mean latency with one request at a time.
	soloLatency time.Duration
	// failures is how many rounds have failed since one with more than one
	// request at a time passed.
	failures int

	// count is the number of successes in the present round, credit their weight
	// in units of 1/fullCredit; sum and worst are of their latencies.
	count  int
	credit int
	sum    time.Duration
	worst  time.Duration
}

// sample is the answer to one request that ran.
type sample struct {
	took time.Duration
	// capacity is how many requests were allowed when it was sent.
	capacity int
	// full is set if the whole capacity was in use while it ran.
	full bool
}

type roundResult uint8

const (
	roundOpen roundResult = iota
	roundPassed
	roundFailed
)

const (
	// fullCredit is how many successes below the full allowance count as one at
	// the full allowance. Those below it show little about the capacity, but an
	// upstream with little traffic must become warm too.
	fullCredit = 4
	// maxRoundDoublings bounds how often failed rounds double the next one.
	maxRoundDoublings = 3
	// baseRounds lengthens every round, since the first one sets the reference
	// latency.
	baseRounds = 3
	// queueingSlack is the difference of mean latencies that is treated as noise.
	queueingSlack = 100 * time.Microsecond
)

// add records one success under the given allowance.
func (g *growth) add(a sample, allowance, round int) roundResult {
	if a.capacity != allowance {
		// It was sent under another allowance than the present round's.
		return roundOpen
	}
	g.count++
	g.sum += a.took
	g.worst = max(g.worst, a.took)
	g.credit++
	if a.full {
		g.credit += fullCredit - 1
	}
	need := round * (baseRounds + allowance*allowance) << min(g.failures, maxRoundDoublings)
	if g.credit < need*fullCredit {
		return roundOpen
	}
	return g.endRound(allowance)
}

// endRound evaluates a complete round and begins a new one.
func (g *growth) endRound(allowance int) roundResult {
	// The slowest answer is left out: it may include the setup of a connection.
	mean := (g.sum - g.worst) / time.Duration(max(1, g.count-1))
	if allowance == 1 {
		g.soloLatency = mean
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

// bound returns the mean latency up to which a round with n requests at a time
// passes. If the upstream had the capacity for only n-1, the mean would be
// n/(n-1) times the latency with one request at a time; the bound is halfway. The
// difference shrinks as n grows, which is why the rounds grow with the square of
// n.
func (g *growth) bound(n int) time.Duration {
	const half = 2
	return g.soloLatency + g.soloLatency/time.Duration(half*(n-1)) + queueingSlack
}

// restart begins a new round.
func (g *growth) restart() {
	*g = growth{soloLatency: g.soloLatency, failures: g.failures}
}
