package prober

import "time"

// generator is splitmix64. The decisions keep their randomness in their state,
// so that a recorded session plays back the same.
type generator struct{ state uint64 }

func (g *generator) next() uint64 {
	g.state += 0x9e3779b97f4a7c15
	z := g.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below gives a number from 0 to n-1; n is small, so the bias is negligible.
func (g *generator) below(n int) int {
	return int(g.next() % uint64(n))
}

// upTo gives a time from 0 to d.
func (g *generator) upTo(d time.Duration) time.Duration {
	return time.Duration(g.next() % uint64(d+1))
}

func shuffle[T any](g *generator, s []T) {
	for i := len(s) - 1; i > 0; i-- {
		j := g.below(i + 1)
		s[i], s[j] = s[j], s[i]
	}
}
