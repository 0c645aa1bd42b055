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

// seeded is a splitmix64 generator.
type seeded struct{ x uint64 }

func (s *seeded) n(n int) int {
	s.x += 0x9e3779b97f4a7c15
	z := s.x
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

func (s *seeded) duration(most time.Duration) time.Duration {
	return time.Duration(s.n(int(most)))
}

// faultyPlatform delays, loses and postpones. A postponed write is answered
// with ErrUnavailable and may take effect long after.
type faultyPlatform struct {
	fakePlatform
	dice struct {
		sync.Mutex
		seeded
	}
}

func (p *faultyPlatform) roll(n int) int {
	p.dice.Lock()
	defer p.dice.Unlock()
	return p.dice.n(n)
}

func (p *faultyPlatform) delay() {
	if p.roll(4) == 0 {
		time.Sleep(time.Duration(p.roll(int(400 * time.Millisecond))))
	}
}

func (p *faultyPlatform) fail(string, string) error {
	p.delay()
	if p.roll(6) == 0 {
		return almondstep.ErrUnavailable
	}
	return nil
}

func (p *faultyPlatform) lose(string) error {
	p.delay()
	if p.roll(5) == 0 {
		return almondstep.ErrUnavailable
	}
	return nil
}

// CompareAndSwap postpones some writes.
func (p *faultyPlatform) CompareAndSwap(ctx context.Context, key string, base uint64, body []byte) (uint64, error) {
	if p.roll(8) > 0 {
		return p.fakePlatform.CompareAndSwap(ctx, key, base, body)
	}
	go func() {
		time.Sleep(time.Duration(p.roll(int(2 * time.Second))))
		_, _ = p.fakePlatform.CompareAndSwap(ctx, key, base, body)
	}()
	return 0, almondstep.ErrUnavailable
}

// Over many interleavings of homes with skewed clocks, resends, lost and
// postponed writes, outages and pauses, no key is granted to two requests.
func TestNeverTwoGrants(t *testing.T) {
	const seeds = 2000
	granted, taken, unavailable := 0, 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, seed)
			h.play()
			granted += h.outcomes[almondstep.ClaimGranted]
			taken += h.outcomes[almondstep.ClaimTaken]
			unavailable += h.outcomes[almondstep.ClaimUnavailable]
			for k, holders := range h.holders {
				if len(holders) > 1 {
					t.Errorf("seed %d: key %s granted to %v", seed, k, holders)
				}
			}
		})
	}
	if granted < seeds || taken < seeds || unavailable < seeds {
		t.Errorf("got %d granted, %d taken, %d unavailable, want each at least %d", granted, taken, unavailable, seeds)
	}
	t.Logf("%d seeds: %d granted, %d taken, %d unavailable", seeds, granted, taken, unavailable)
}

// history is one seed's claims.
type history struct {
	t        *testing.T
	random   *seeded
	platform *faultyPlatform
	homes    []*claimer.Claimer

	mu       sync.Mutex
	holders  map[string][]almondstep.QueryID
	outcomes map[almondstep.ClaimOutcome]int
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t:        t,
		random:   &seeded{x: seed},
		platform: &faultyPlatform{},
		holders:  map[string][]almondstep.QueryID{},
		outcomes: map[almondstep.ClaimOutcome]int{},
	}
	h.platform.dice.x = ^seed
	h.platform.before = h.platform.fail
	h.platform.after = h.platform.lose
	for range 3 {
		skew := h.random.duration(20*time.Minute) - 10*time.Minute
		c := &claimer.Claimer{Platform: h.platform, Now: func() time.Time { return time.Now().Add(skew) }}
		serve(t, c)
		h.homes = append(h.homes, c)
	}
	return h
}

// play has a few keys claimed again and again over half an hour, in which the
// values are used twice.
func (h *history) play() {
	const requests = 60
	keys := make([]string, 6)
	var wg sync.WaitGroup
	for i := range requests {
		slot := h.random.n(len(keys))
		if keys[slot] == "" || h.random.n(12) == 0 {
			keys[slot] = fmt.Sprintf("%d-key-%05d", time.Now().UnixMilli(), h.random.n(3))
		}
		k, home, id := keys[slot], h.homes[h.random.n(len(h.homes))], almondstep.QueryID(i+1)
		remaining := h.random.duration(3 * time.Second)
		wg.Go(func() { h.claim(home, id, k, remaining) })
		if h.random.n(3) == 0 {
			time.Sleep(h.random.duration(500 * time.Millisecond))
		}
		if h.random.n(20) == 0 {
			time.Sleep(h.random.duration(17 * time.Minute))
		}
	}
	wg.Wait()
	// The postponed writes and those of callers that have gone end meanwhile.
	time.Sleep(time.Minute)
}

func (h *history) claim(home *claimer.Claimer, id almondstep.QueryID, k string, remaining time.Duration) {
	o := home.Claim(h.t.Context(), &almondstep.ClaimKey{ID: id, Key: k, Remaining: remaining})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[o]++
	if o == almondstep.ClaimGranted {
		h.holders[k] = append(h.holders[k], id)
	}
}
