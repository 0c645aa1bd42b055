package prober

import (
	"time"

	"almondstep"
)

// generator makes the prober's random choices.
type generator struct{ almondstep.Random }

// below returns a number from 0 to n-1; n is small, so the bias is negligible.
func (g *generator) below(n int) int {
	return int(g.Next() % uint64(n))
}

// upTo returns a duration from 0 to d.
func (g *generator) upTo(d time.Duration) time.Duration {
	return time.Duration(g.Next() % uint64(d+1))
}

func shuffle[T any](g *generator, s []T) {
	for i := len(s) - 1; i > 0; i-- {
		j := g.below(i + 1)
		s[i], s[j] = s[j], s[i]
	}
}
