package almondstep

// splitmix64's increment between two states.
const randomStep = 0x9e3779b97f4a7c15

// Random is a splitmix64 generator. The decisions keep their randomness in their
// state, so that a recorded session plays back the same.
type Random struct{ state uint64 }

// NewRandom gives a generator that starts at seed.
func NewRandom(seed uint64) Random { return Random{state: seed} }

// Next draws the next number.
func (r *Random) Next() uint64 {
	r.state += randomStep
	return Spread(r.state)
}

// Mix is the number that a generator with the state x draws next: it spreads the
// bits of x over the whole word.
func Mix(x uint64) uint64 { return Spread(x + randomStep) }

// Spread is the finalizer of splitmix64. It maps 0 to 0.
func Spread(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
