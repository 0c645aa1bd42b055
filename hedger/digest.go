package hedger

import (
	"math/bits"
	"time"
)

const (
	// subBuckets divide each power of two, so that a quantile is at most an
	// eighth above the true one.
	subBuckets    = 8
	subBucketBits = 3
	// leastBits is the lowest power of two told apart: 2^13 ns, some 8 µs.
	leastBits = 13
	// mostBits is the highest: 2^36 ns, over a minute.
	mostBits    = 36
	bucketCount = (mostBits - leastBits) * subBuckets
	// digestSpan is the number of observations after which all counts are
	// halved, so that the digest follows a change.
	digestSpan = 8_192
	// recountEvery is the number of observations between two looks for the
	// quantile, which is kept in between.
	recountEvery = 128
)

// Digest is a histogram of latencies with logarithmic buckets and decay, in
// fixed memory. The zero value is empty.
type Digest struct {
	counts  [bucketCount]uint32
	total   uint32
	fresh   uint32
	slow    time.Duration
	typical time.Duration
	wait    time.Duration
}

// hedgePerMille is the quantile after which a sub-request is a straggler: 3 in
// 100 are later, which leaves part of the budget for retries.
const hedgePerMille = 970

// typicalPerMille is the median.
const typicalPerMille = 500

// Observe adds one latency.
func (d *Digest) Observe(took time.Duration) {
	d.counts[bucketOf(took)]++
	d.total++
	d.fresh++
	if d.total >= digestSpan {
		d.halve()
	}
	if d.fresh >= recountEvery || d.total < recountEvery {
		d.recount()
	}
}

// Count is the number of observations that still have weight.
func (d *Digest) Count() int { return int(d.total) }

// Slow is the latency over which a sub-request counts as a straggler; 0 if
// nothing was observed.
func (d *Digest) Slow() time.Duration { return d.slow }

// Typical is the median latency; 0 if nothing was observed.
func (d *Digest) Typical() time.Duration { return d.typical }

func (d *Digest) halve() {
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

func (d *Digest) recount() {
	d.fresh = 0
	d.typical = d.quantile(typicalPerMille)
	d.slow = d.quantile(hedgePerMille)
}

// quantile gives the upper end of the bucket in which the quantile lies.
func (d *Digest) quantile(perMille uint64) time.Duration {
	rank := (uint64(d.total)*perMille + 999) / 1000
	seen := uint64(0)
	for i, n := range d.counts {
		seen += uint64(n)
		if seen >= rank && seen > 0 {
			return upperEnd(i)
		}
	}
	return 0
}

func bucketOf(took time.Duration) int {
	if took < 1<<leastBits {
		return 0
	}
	n := uint64(took)
	power := bits.Len64(n) - 1
	if power >= mostBits {
		return bucketCount - 1
	}
	sub := int(n>>(power-subBucketBits)) - subBuckets
	return (power-leastBits)*subBuckets + sub
}

func upperEnd(bucket int) time.Duration {
	power := bucket/subBuckets + leastBits
	sub := bucket%subBuckets + 1
	return time.Duration(uint64(subBuckets+sub) << (power - subBucketBits))
}
