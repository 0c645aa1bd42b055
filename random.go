package almondstep

// randomStep is the amount by which splitmix64 increments its state.
const randomStep = 0x9e3779b97f4a7c15

// Random is a splitmix64 generator. It is part of the state of the packages that
// use it, so that replaying a recorded session gives the same results.
type Random struct{ state uint64 }

// NewRandom returns a generator seeded with seed.
func NewRandom(seed uint64) Random { return Random{state: seed} }

// Next returns the next number.
func (r *Random) Next() uint64 {
	r.state += randomStep
	return FinalizeSplitmix64(r.state)
}

// HashUint64 hashes x: it returns the number that a generator with the state x would
// return next.
func HashUint64(x uint64) uint64 { return FinalizeSplitmix64(x + randomStep) }

// FinalizeSplitmix64 applies the finalizer of splitmix64, a bijection that maps 0 to 0.
func FinalizeSplitmix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
