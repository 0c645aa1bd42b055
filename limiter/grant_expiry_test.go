package limiter_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// A full grant expires by time, also without a newer view: a daemon that
// resumes after a pause starts nothing at a cold upstream that another daemon
// may own by now.
func TestGrantEndsWithoutANewView(t *testing.T) {
	const until = almondstep.Instant(time.Second)
	r := newHarness(t, limiter.Config{})
	o := almondstep.NewOwnedUpstream(vm("boot1"), 2, 25, almondstep.GrantFull, almondstep.Cold)
	r.setView(almondstep.NewView(almondstep.ViewSpec{
		Self:  "d1",
		Owned: map[almondstep.Address]almondstep.OwnedUpstream{addr: o.WithGrantUntil(until)},
	}))
	call := started(r.search(time.Second))
	if got, want := len(call), 1; got != want {
		t.Fatalf("under the grant: got %d starts, want %d", got, want)
	}
	r.wait(time.Millisecond)
	r.end(call[0].Call, almondstep.CallDone, "boot1", time.Millisecond)
	r.wait(2 * time.Second)
	out := r.search(time.Second)
	wantFinished(t, out, almondstep.ItemNotRun, almondstep.ReasonCold)
	if got, want := len(started(out)), 0; got != want {
		t.Errorf("after the grant: got %d starts, want %d", got, want)
	}
}
