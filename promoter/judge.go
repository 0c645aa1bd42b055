package promoter

import (
	"fmt"
	"math"

	"almondstep"
)

const (
	// An excess isn't taken for chance if its probability is below significance, divided by the
	// number of answers or by minAnswers: a rollout is judged again with each answer, so that the
	// chances of an error add up.
	significance = 1e-3
	minAnswers   = 10
	// minBad and minSlow are the fewest failures and slow answers that can be significant.
	minBad  = 3
	minSlow = 5
	// A good version is assumed to have at least minBadShare of failures and minSlowShare of slow
	// answers, since the old one may have had none by chance. slowFactor is the excess of slow
	// answers that isn't held against it: pauses of upstreams make many answers slow at once.
	minBadShare  = 0.005
	minSlowShare = 0.02
	slowFactor   = 1.5
	// priorAnswers is the number of answers from which the old version's shares are believed.
	priorAnswers = 20
	// slowBuckets is the number of buckets above the old version's median from which on an
	// answer is slow: more than three times the latency.
	slowBuckets = 3
)

// counts are the answers of one version on one route, or on all.
type counts struct {
	answers, bad uint64
	latencies    [almondstep.LatencyBuckets]uint64
}

func (c *counts) add(r *almondstep.RolloutCounts) {
	c.answers += r.Answers
	c.bad += r.Bad
	for i, n := range r.Latencies[:min(len(r.Latencies), len(c.latencies))] {
		c.latencies[i] += n
	}
}

// since returns the answers since an earlier state. Counts that a restarted daemon has lost are
// taken as 0.
func (c counts) since(before counts) counts {
	c.answers -= min(c.answers, before.answers)
	c.bad -= min(c.bad, before.bad)
	for i := range c.latencies {
		c.latencies[i] -= min(c.latencies[i], before.latencies[i])
	}
	return c
}

// timed returns the number of answers in the histogram.
func (c *counts) timed() uint64 { return c.slower(-1) }

// slower returns the number of answers in the buckets above one.
func (c *counts) slower(bucket int) uint64 {
	n := uint64(0)
	for _, m := range c.latencies[min(bucket+1, len(c.latencies)):] {
		n += m
	}
	return n
}

// median returns the bucket of the median latency.
func (c *counts) median() int {
	half, n := (c.timed()+1)/2, uint64(0)
	for i, m := range c.latencies {
		if n += m; n >= half {
			return i
		}
	}
	return len(c.latencies) - 1
}

// judge compares the new version's answers with the old one's, and returns the reason if they
// are significantly worse; otherwise an empty text.
func judge(fresh, old *counts) string {
	allowed := max(minBadShare, share(old.bad, old.answers))
	if fresh.bad >= minBad && significant(fresh.bad, fresh.answers, allowed) {
		return fmt.Sprintf("%d of %d answers failed, of the old version's %d of %d", fresh.bad, fresh.answers, old.bad, old.answers)
	}
	if old.timed() < priorAnswers {
		return ""
	}
	limit := old.median() + slowBuckets
	slow, oldSlow := fresh.slower(limit), old.slower(limit)
	allowed = min(1, max(minSlowShare, slowFactor*share(oldSlow, old.timed())))
	if slow >= minSlow && significant(slow, fresh.timed(), allowed) {
		return fmt.Sprintf("%d of %d answers took longer than %v, of the old version's %d of %d",
			slow, fresh.timed(), almondstep.LatencyBound(limit), oldSlow, old.timed())
	}
	return ""
}

// significant reports whether k of n answers are more than the given share explains.
func significant(k, n uint64, allowed float64) bool {
	return binomialTail(k, n, allowed) < significance/float64(max(n, minAnswers))
}

// share estimates a share from above: the fewer the answers, the higher.
func share(n, of uint64) float64 { return float64(n+1) / float64(of+priorAnswers) }

// binomialTail returns the probability that at least k of n independent events occur, each with
// the probability p.
func binomialTail(k, n uint64, p float64) float64 {
	if p >= 1 || k == 0 {
		return 1
	}
	choose := func(x uint64) float64 {
		a, _ := math.Lgamma(float64(n) + 1)
		b, _ := math.Lgamma(float64(x) + 1)
		c, _ := math.Lgamma(float64(n-x) + 1)
		return a - b - c
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(choose(i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if float64(i) > float64(n)*p && term < sum*1e-9 {
			break
		}
	}
	return min(1, sum)
}
