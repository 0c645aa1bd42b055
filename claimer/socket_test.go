package claimer_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"almondstep"
	"almondstep/claimer"
	"almondstep/standin/platform"
	"almondstep/storer"
)

// Over real sockets to the stand-in platform: answers are lost, the platform
// is down, its open connections go silent. Each key has one grant at most, and
// a key that was refused while nothing could be written is free after.
func TestOverSockets(t *testing.T) {
	p := &platform.Server{}
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	home := func() *claimer.Claimer {
		client := &storer.Client{Base: srv.URL, Timeout: 200 * time.Millisecond}
		t.Cleanup(client.Close)
		return run(t, client)
	}
	first, other := home(), home()

	lost := key("socketlost")
	p.SetSwitches(platform.Switches{LostAnswers: true})
	wantOutcome(t, "lost answer", claim(first, 1, lost), almondstep.ClaimGranted)
	p.SetSwitches(platform.Switches{})
	wantOutcome(t, "resend through another", claim(other, 2, lost), almondstep.ClaimTaken)

	down := key("socketdown")
	p.SetSwitches(platform.Switches{Outage: true})
	wantOutcome(t, "outage", claim(first, 3, down), almondstep.ClaimUnavailable)
	p.SetSwitches(platform.Switches{})
	wantOutcome(t, "after the outage", claim(other, 4, down), almondstep.ClaimGranted)
	wantOutcome(t, "the refused one again", claim(first, 3, down), almondstep.ClaimTaken)

	// It goes silent on what is open; a call that meets the silence ends in
	// time, and the next goes over a new connection.
	silent := key("socketsilent")
	p.SetSwitches(platform.Switches{SilentOpen: true})
	o := claim(first, 5, silent)
	if o == almondstep.ClaimUnavailable {
		o = claim(first, 5, silent)
	}
	wantOutcome(t, "after the silence", o, almondstep.ClaimGranted)
	wantOutcome(t, "resend after the silence", claim(other, 6, silent), almondstep.ClaimTaken)
}
