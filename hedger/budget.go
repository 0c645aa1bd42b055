package hedger

// Budget is the token bucket for the further attempts of all queries, both hedges and
// retries. Each needed sub-request adds a share of a token, so that further attempts
// are at most a fixed share of the needed sub-requests whatever the load. While
// upstreams shed, no token can be taken. The zero value is empty.
type Budget struct {
	// SharePerMille is the number of further attempts per 1,000 needed sub-requests.
	SharePerMille int
	// Burst is the maximum number of tokens.
	Burst int

	milliTokens int64
	shedShare   int64
	taken       uint64
}

const (
	milliPerToken = 1_000
	// shedShareOne is a shed share of 1 in fixed-point notation.
	shedShareOne = 1 << 20
	// shedShift gives each sub-request the weight 1/512 in the shed share, which is an
	// exponentially weighted moving average.
	shedShift = 9
	// maxShedShare is the shed share above which no token can be taken, 2 in 100.
	maxShedShare = shedShareOne / 50
)

// Start sets the number of tokens, at most Burst.
func (b *Budget) Start(tokens int) {
	b.milliTokens = int64(min(tokens, b.Burst)) * milliPerToken
}

// Fill adds the tokens for n needed sub-requests.
func (b *Budget) Fill(n int) {
	b.milliTokens += int64(n) * int64(b.SharePerMille)
	b.milliTokens = min(b.milliTokens, int64(b.Burst)*milliPerToken)
}

// Take takes the token for one further attempt and reports whether the attempt may
// be made.
func (b *Budget) Take() bool {
	if b.milliTokens < milliPerToken || b.Shedding() {
		return false
	}
	b.milliTokens -= milliPerToken
	b.taken++
	return true
}

// Taken is the number of tokens taken.
func (b *Budget) Taken() uint64 { return b.taken }

// ObserveShed records whether a sub-request was shed.
func (b *Budget) ObserveShed(shed bool) {
	target := int64(0)
	if shed {
		target = shedShareOne
	}
	b.shedShare += (target - b.shedShare) >> shedShift
}

// Shedding reports whether upstreams shed so many sub-requests that a further
// attempt would only displace another caller's request.
func (b *Budget) Shedding() bool { return b.shedShare > maxShedShare }
