package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondstep"
	"almondstep/claimer"
)

// splitmix is a splitmix64 generator.
type splitmix struct{ x uint64 }

func (s *splitmix) below(n int) int {
	s.x += 0x9e3779b97f4a7c15
	z := s.x
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

func (s *splitmix) duration(limit time.Duration) time.Duration {
	return time.Duration(s.below(int(limit)))
}

// faultyPlatform delays and fails calls, loses answers and postpones writes. A
// postponed write returns ErrUnavailable and may take effect a few seconds later.
type faultyPlatform struct {
	fakePlatform
	random struct {
		sync.Mutex
		splitmix
	}
}

func (p *faultyPlatform) randomBelow(n int) int {
	p.random.Lock()
	defer p.random.Unlock()
	return p.random.below(n)
}

func (p *faultyPlatform) delay() {
	if p.randomBelow(4) == 0 {
		time.Sleep(time.Duration(p.randomBelow(int(400 * time.Millisecond))))
	}
}

func (p *faultyPlatform) fail(string, string) error {
	p.delay()
	if p.randomBelow(6) == 0 {
		return almondstep.ErrUnavailable
	}
	return nil
}

func (p *faultyPlatform) loseAnswer(string) error {
	p.delay()
	if p.randomBelow(5) == 0 {
		return almondstep.ErrUnavailable
	}
	return nil
}

// CompareAndSwap postpones some writes.
func (p *faultyPlatform) CompareAndSwap(ctx context.Context, key string, base uint64, body []byte) (uint64, error) {
	if p.randomBelow(8) > 0 {
		return p.fakePlatform.CompareAndSwap(ctx, key, base, body)
	}
	go func() {
		time.Sleep(time.Duration(p.randomBelow(int(2 * time.Second))))
		_, _ = p.fakePlatform.CompareAndSwap(ctx, key, base, body)
	}()
	return 0, almondstep.ErrUnavailable
}

// Over many interleavings of claimers with skewed clocks, resends, lost and
// postponed writes, outages and pauses, no key is granted to two requests.
func TestNeverTwoGrants(t *testing.T) {
	const seeds = 2000
	granted, taken, unavailable := 0, 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, seed)
			h.run()
			granted += h.outcomes[almondstep.ClaimGranted]
			taken += h.outcomes[almondstep.ClaimTaken]
			unavailable += h.outcomes[almondstep.ClaimUnavailable]
			for k, holders := range h.holders {
				if len(holders) > 1 {
					t.Errorf("seed %d: key %s: got it granted to %v, want one request at most", seed, k, holders)
				}
			}
		})
	}
	if granted < seeds || taken < seeds || unavailable < seeds {
		t.Errorf("got %d granted, %d taken, %d unavailable, want each at least %d", granted, taken, unavailable, seeds)
	}
	t.Logf("%d seeds: %d granted, %d taken, %d unavailable", seeds, granted, taken, unavailable)
}

// history is a random sequence of claims and its outcomes.
type history struct {
	t        *testing.T
	random   *splitmix
	platform *faultyPlatform
	claimers []*claimer.Claimer

	mu       sync.Mutex
	holders  map[string][]almondstep.QueryID
	outcomes map[almondstep.ClaimOutcome]int
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t:        t,
		random:   &splitmix{x: seed},
		platform: &faultyPlatform{},
		holders:  map[string][]almondstep.QueryID{},
		outcomes: map[almondstep.ClaimOutcome]int{},
	}
	h.platform.random.x = ^seed
	h.platform.before = h.platform.fail
	h.platform.after = h.platform.loseAnswer
	for range 3 {
		skew := h.random.duration(20*time.Minute) - 10*time.Minute
		c := &claimer.Claimer{Platform: h.platform, Now: func() time.Time { return time.Now().Add(skew) }}
		serve(t, c)
		h.claimers = append(h.claimers, c)
	}
	return h
}

// run claims a few keys repeatedly, with pauses in which keys expire and values are
// reused.
func (h *history) run() {
	const requests = 60
	keys := make([]string, 6)
	var wg sync.WaitGroup
	for i := range requests {
		slot := h.random.below(len(keys))
		if keys[slot] == "" || h.random.below(12) == 0 {
			keys[slot] = fmt.Sprintf("%d-key-%05d", time.Now().UnixMilli(), h.random.below(3))
		}
		k, c, id := keys[slot], h.claimers[h.random.below(len(h.claimers))], almondstep.QueryID(i+1)
		remaining := h.random.duration(3 * time.Second)
		wg.Go(func() { h.claim(c, id, k, remaining) })
		if h.random.below(3) == 0 {
			time.Sleep(h.random.duration(500 * time.Millisecond))
		}
		if h.random.below(20) == 0 {
			time.Sleep(h.random.duration(17 * time.Minute))
		}
	}
	wg.Wait()
	// Wait for postponed writes, and for writes of claims that have timed out.
	time.Sleep(time.Minute)
}

func (h *history) claim(c *claimer.Claimer, id almondstep.QueryID, k string, remaining time.Duration) {
	o := c.Claim(h.t.Context(), &almondstep.ClaimKey{ID: id, Key: k, Remaining: remaining})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[o]++
	if o == almondstep.ClaimGranted {
		h.holders[k] = append(h.holders[k], id)
	}
}
