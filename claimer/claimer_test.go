package claimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"almondstep"
	"almondstep/claimer"
)

// A key is granted to the first request only, also when that claims it again.
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

// claim claims a key with 5 seconds remaining.
func claim(c *claimer.Claimer, id almondstep.QueryID, k string) almondstep.ClaimOutcome {
	return c.Claim(context.Background(), &almondstep.ClaimKey{ID: id, Key: k, Remaining: 5 * time.Second})
}
