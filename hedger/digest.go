package hedger

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets per power of two. With 8, a computed quantile
	// is at most an eighth above the true one.
	subBuckets    = 8
	subBucketBits = 3
	// minBits is the exponent of the lower end of the range: 2^13 ns, some 8 µs.
	minBits = 13
	// maxBits is the exponent of the upper end: 2^36 ns, over a minute.
	maxBits     = 36
	bucketCount = (maxBits - minBits) * subBuckets
	// digestSpan is the total count at which all counts are halved, so that the digest
	// follows changes.
	digestSpan = 8_192
	// recountEvery is the number of observations after which the cached quantiles are
	// computed again. While the total count is below it, each observation does so.
	recountEvery = 128
)

// Digest is a histogram of latencies with logarithmic buckets and decay, in
// fixed memory. The zero value is empty.
type Digest struct {
	counts       [bucketCount]uint32
	total        uint32
	sinceRecount uint32
	slow         time.Duration
	typical      time.Duration
	delay        time.Duration
}

// hedgePerMille is the quantile above which a sub-request is a straggler: 3 in 100
// take longer, so that hedges leave part of the budget for retries.
const hedgePerMille = 970

// medianPerMille is the quantile of the median.
const medianPerMille = 500

// Observe adds one latency.
func (d *Digest) Observe(took time.Duration) {
	d.counts[bucketOf(took)]++
	d.total++
	d.sinceRecount++
	if d.total >= digestSpan {
		d.halve()
	}
	if d.sinceRecount >= recountEvery || d.total < recountEvery {
		d.recount()
	}
}

// Count is the sum of the counts, which is at most the number of observations, as the
// counts decay.
func (d *Digest) Count() int { return int(d.total) }

// Slow is the latency above which a sub-request counts as a straggler; 0 if
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
	d.sinceRecount = 0
	d.typical = d.quantile(medianPerMille)
	d.slow = d.quantile(hedgePerMille)
}

// quantile returns the upper end of the bucket that contains the quantile.
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
	if took < 1<<minBits {
		return 0
	}
	n := uint64(took)
	power := bits.Len64(n) - 1
	if power >= maxBits {
		return bucketCount - 1
	}
	sub := int(n>>(power-subBucketBits)) - subBuckets
	return (power-minBits)*subBuckets + sub
}

func upperEnd(bucket int) time.Duration {
	power := bucket/subBuckets + minBits
	sub := bucket%subBuckets + 1
	return time.Duration(uint64(subBuckets+sub) << (power - subBucketBits))
}
