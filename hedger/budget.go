package hedger

// Budget is the token bucket from which all further attempts of the path are
// paid, hedges and retries alike. It fills with the sub-requests that are
// needed, so that further attempts stay a fixed share of them whatever the
// load, and stays empty while upstreams shed. The zero value is empty.
type Budget struct {
	// SharePerMille is the number of further attempts per 1,000 sub-requests.
	SharePerMille int
	// Burst bounds the attempts saved up.
	Burst int

	milli int64
	shed  int64
	taken uint64
}

const (
	milliPerToken = 1_000
	// shedOne is a shed share of 1 in fixed point.
	shedOne = 1 << 20
	// shedShift gives each item the weight 1/512 in the shed share.
	shedShift = 9
	// shedLimit is the shed share over which no attempt is paid, 2 in 100.
	shedLimit = shedOne / 50
)

// Start fills the bucket with tokens, at most Burst.
func (b *Budget) Start(tokens int) {
	b.milli = int64(min(tokens, b.Burst)) * milliPerToken
}

// Earn adds the share of n needed sub-requests.
func (b *Budget) Earn(n int) {
	b.milli += int64(n) * int64(b.SharePerMille)
	b.milli = min(b.milli, int64(b.Burst)*milliPerToken)
}

// Take pays for one further attempt; false if it must not be made.
func (b *Budget) Take() bool {
	if b.milli < milliPerToken || b.Shedding() {
		return false
	}
	b.milli -= milliPerToken
	b.taken++
	return true
}

// Taken is the number of attempts paid.
func (b *Budget) Taken() uint64 { return b.taken }

// Saw notes how a sub-request ended: shed, or not.
func (b *Budget) Saw(shed bool) {
	target := int64(0)
	if shed {
		target = shedOne
	}
	b.shed += (target - b.shed) >> shedShift
}

// Shedding says that upstreams shed so much that a further attempt would only
// take another caller's place.
func (b *Budget) Shedding() bool { return b.shed > shedLimit }
