package dialer_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/standin/upstream"
)

// A liveness probe carries no caller's request: the upstream runs nothing for
// it, and its answer still has the upstream's boot ID.
func TestProbeRunsNothing(t *testing.T) {
	s := start(t, &upstream.Server{})
	e := client(t).Do(t.Context(), &almondstep.StartAttempt{
		Addr: addrOf(s), Call: 1, LivenessProbe: true, Timeout: 5 * time.Second, Connections: 8,
	})
	wantResult(t, e, almondstep.CallDone)
	if got, want := e.Boot, s.Boot(); got != want {
		t.Errorf("got boot %q, want %q", got, want)
	}
	if got, want := s.Counters().Started, 0; got != want {
		t.Errorf("got %d requests started, want %d", got, want)
	}
}
