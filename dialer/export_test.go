package dialer

import "time"

// DecodeAnswer is decodeAnswer, for the fuzz target.
func DecodeAnswer(body []byte, limit int) (total, records int, err error) {
	a, err := decodeAnswer(body, limit)
	return a.Total, len(a.Records), err
}

// NewDialLimit makes a dialLimit; the function books a dial at a time.
func NewDialLimit(every time.Duration, burst int) func(time.Time) time.Duration {
	l := &dialLimit{every: every, burst: burst}
	return l.reserve
}
