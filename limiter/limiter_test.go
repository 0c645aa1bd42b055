package limiter_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/limiter"
)

// An upstream gets one request at a time at first, and as many as its slots once
// it has warmed up.
func TestColdAllowanceGrowsByRounds(t *testing.T) {
	r := newHarness(t, limiter.Config{})
	first := started(r.search(time.Second))
	if got, want := len(first), 1; got != want {
		t.Fatalf("got %d starts, want %d", got, want)
	}
	if got, want := len(started(r.search(time.Second))), 0; got != want {
		t.Fatalf("got %d starts beside the first, want %d", got, want)
	}
	r.end(first[0].Call, almondstep.CallDone, "boot1", time.Millisecond)
	r.end(first[0].Call+1, almondstep.CallDone, "boot1", time.Millisecond)
	r.warm()
	inFlight := len(started(r.search(time.Second)))
	inFlight += len(started(r.search(time.Second)))
	inFlight += len(started(r.search(time.Second)))
	if got, want := inFlight, 2; got != want {
		t.Errorf("got %d in flight once warm, want the %d slots", got, want)
	}
}

// No request is started for a refused item.
func TestRefusals(t *testing.T) {
	quarantined := almondstep.NewView(almondstep.ViewSpec{
		Self:        "d1",
		Owned:       map[almondstep.Address]almondstep.OwnedUpstream{addr: almondstep.NewOwnedUpstream(vm("b"), 2, 25, almondstep.GrantFull, almondstep.Warm)},
		Quarantined: map[almondstep.Fingerprint]struct{}{0: {}},
	})
	leaving := vm("b")
	leaving.State = almondstep.VMLeaving
	tests := []struct {
		name   string
		view   *almondstep.View
		left   time.Duration
		reason almondstep.Reason
	}{
		{"not owned", almondstep.NewView(almondstep.ViewSpec{Self: "d1"}), time.Second, almondstep.ReasonNotOwner},
		{"hand-over", viewOf(vm("b"), almondstep.GrantNone, almondstep.Warm), time.Second, almondstep.ReasonNotOwner},
		{"warm-only grant, cold", viewOf(vm("b"), almondstep.GrantWarmOnly, almondstep.Cold), time.Second, almondstep.ReasonCold},
		{"leaving", viewOf(leaving, almondstep.GrantFull, almondstep.Warm), time.Second, almondstep.ReasonLeaving},
		{"lost", viewOf(vm("b"), almondstep.GrantFull, almondstep.Lost), time.Second, almondstep.ReasonUnreachable},
		{"quarantined", quarantined, time.Second, almondstep.ReasonQuarantined},
		{"too late", viewOf(vm("b"), almondstep.GrantFull, almondstep.Warm), 0, almondstep.ReasonDeadline},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newHarness(t, limiter.Config{})
			r.view = tc.view
			out := r.search(tc.left)
			wantFinished(t, out, almondstep.ItemNotRun, tc.reason)
			if got, want := len(started(out)), 0; got != want {
				t.Errorf("got %d starts, want %d", got, want)
			}
		})
	}
}

// The end of a call determines the outcome of its item: "not run" only if it can't
// have run, unknown if it may have run and must not run again.
func TestOutcomes(t *testing.T) {
	search := almondstep.Work{}
	order := almondstep.Work{Operation: "enterOrder"}
	tests := []struct {
		name    string
		work    almondstep.Work
		result  almondstep.CallResult
		outcome almondstep.ItemOutcome
		reason  almondstep.Reason
	}{
		{"search done", search, almondstep.CallDone, almondstep.ItemDone, ""},
		{"search shed", search, almondstep.CallShed, almondstep.ItemNotRun, almondstep.ReasonShed},
		{"search refused", search, almondstep.CallRefused, almondstep.ItemNotRun, almondstep.ReasonUnreachable},
		{"search broken", search, almondstep.CallBroken, almondstep.ItemCrashed, almondstep.ReasonCrashed},
		{"search timeout", search, almondstep.CallTimeout, almondstep.ItemFailed, almondstep.ReasonDeadline},
		{"search rejected", search, almondstep.CallRejected, almondstep.ItemFailed, almondstep.ReasonFailed},
		{"search version", search, almondstep.CallWrongVersion, almondstep.ItemWrongVersion, almondstep.ReasonWrongVersion},
		{"order shed", order, almondstep.CallShed, almondstep.ItemNotRun, almondstep.ReasonShed},
		{"order refused", order, almondstep.CallRefused, almondstep.ItemNotRun, almondstep.ReasonUnreachable},
		{"order broken", order, almondstep.CallBroken, almondstep.ItemUnknown, almondstep.ReasonCrashed},
		{"order timeout", order, almondstep.CallTimeout, almondstep.ItemUnknown, almondstep.ReasonDeadline},
		{"order canceled", order, almondstep.CallCanceled, almondstep.ItemUnknown, almondstep.ReasonCanceled},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newHarness(t, limiter.Config{})
			call := started(r.ask(&tc.work, time.Second))[0].Call
			wantFinished(t, r.end(call, tc.result, "", time.Millisecond), tc.outcome, tc.reason)
		})
	}
}
