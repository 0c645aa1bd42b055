package allocator_test

import (
	"testing"
	"time"

	"almondstep/allocator"
)

// Demand that moves from one region to another, with pauses, keeps the bound, also if the burst is
// large beside the surplus. This guards against a burst that one lender grants, and that the next one
// grants again with the fraction that it takes over.
func TestMovingDemandHoldsBound(t *testing.T) {
	for _, cfg := range []allocator.Config{bounds(20), bounds(0), {Window: 5 * time.Second, Overage: 0.02}} {
		for _, l := range []struct{ rate, burst float64 }{{19, 19}, {10, 40}, {10, 100}, {5, 200}, {20, 400}} {
			fullest := 0.0
			for seed := range uint64(6) {
				m := newModel(t, seed, 12, cfg, organisation(t, "o", l.rate, l.burst))
				at := map[int][]*node{}
				for i, n := range m.nodes {
					at[i%3] = append(at[i%3], n)
				}
				var loaded []*node
				m.load("o", 10*(l.rate+l.burst/5), func() []*node { return loaded })
				for range 12 {
					if loaded = at[m.rng.IntN(3)]; m.rng.IntN(2) == 0 {
						loaded = nil
					}
					m.run(time.Duration(500+m.rng.IntN(3500)) * time.Millisecond)
				}
				fullest = max(fullest, float64(m.mostInWindow("o"))/bound(m.cfg, l.rate, l.burst))
			}
			t.Logf("rate %v, burst %v, overage %v, slack %v: at most %.3f of the bound", l.rate, l.burst, cfg.Overage, cfg.Slack, fullest)
			if fullest > 1 {
				t.Errorf("rate %v, burst %v, overage %v, slack %v: got %.3f of the bound, want at most 1", l.rate, l.burst, cfg.Overage, cfg.Slack, fullest)
			}
		}
	}
}
