package dialer_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/dialer"
)

// For any input the decoder returns an answer within the limit, or ErrInvalid.
func FuzzDecodeAnswer(f *testing.F) {
	f.Add([]byte(emptyAnswer), 5)
	f.Add([]byte(`{"version":7,"total":2,"records":[{"key":"a","body":"x"},{"key":"b","body":"y"}]}`), 5)
	f.Add([]byte(`{"version":-1,"total":1e99}`), 0)
	f.Add([]byte(`[[[[[[`), -1)
	f.Fuzz(func(t *testing.T, body []byte, limit int) {
		total, records, err := dialer.DecodeAnswer(body, limit)
		if err != nil {
			if !errors.Is(err, almondstep.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
			return
		}
		if records > max(0, limit) || records > total {
			t.Errorf("got %d records of %d, want at most %d", records, total, limit)
		}
	})
}

// A burst of dials is allowed at once, then one per interval; after a pause a
// single burst is allowed again, no more.
func TestDialLimiter(t *testing.T) {
	const every = 10 * time.Millisecond
	reserve := dialer.NewDialLimiter(every, 3)
	now := time.Unix(1000, 0)
	for i, want := range []time.Duration{0, 0, 0, every, 2 * every} {
		if got := max(0, reserve(now)); got != want {
			t.Errorf("dial %d: got a wait of %s, want %s", i, got, want)
		}
	}
	now = now.Add(time.Minute)
	for i, want := range []time.Duration{0, 0, 0, every} {
		if got := max(0, reserve(now)); got != want {
			t.Errorf("after a pause, dial %d: got a wait of %s, want %s", i, got, want)
		}
	}
}
