package claimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"almondstep"
	"almondstep/claimer"
)

// A resend with the same key is refused; a repeated claim of the first request is
// granted.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		c := run(t, p)
		k := key("first-resend")
		if got, want := claim(c, 1, k), almondstep.ClaimGranted; got != want {
			t.Errorf("first: got %d, want %d", got, want)
		}
		if got, want := claim(c, 2, k), almondstep.ClaimTaken; got != want {
			t.Errorf("resend: got %d, want %d", got, want)
		}
		if got, want := claim(c, 1, k), almondstep.ClaimGranted; got != want {
			t.Errorf("first again: got %d, want %d", got, want)
		}
	})
}

func claim(c *claimer.Claimer, id almondstep.QueryID, k string) almondstep.ClaimOutcome {
	return c.Claim(context.Background(), &almondstep.ClaimKey{ID: id, Key: k, Remaining: 5 * time.Second})
}
