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

// Over real sockets to the stand-in platform, with lost answers, an outage and open
// connections that stop responding: each key is granted to at most one request, and
// a key whose claim failed during the outage can be claimed afterwards.
func TestOverSockets(t *testing.T) {
	p := &platform.Server{}
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	newClaimer := func() *claimer.Claimer {
		client := &storer.Client{Base: srv.URL, Timeout: 200 * time.Millisecond}
		t.Cleanup(client.Close)
		return run(t, client)
	}
	first, other := newClaimer(), newClaimer()

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
	wantOutcome(t, "the claim of the outage again", claim(first, 3, down), almondstep.ClaimTaken)

	// The platform stops responding on open connections: a call on such a connection
	// times out, and the next one uses a new connection.
	silent := key("socketsilent")
	p.SetSwitches(platform.Switches{SilentOpen: true})
	o := claim(first, 5, silent)
	if o == almondstep.ClaimUnavailable {
		o = claim(first, 5, silent)
	}
	wantOutcome(t, "after a silent connection", o, almondstep.ClaimGranted)
	wantOutcome(t, "resend after a silent connection", claim(other, 6, silent), almondstep.ClaimTaken)
}
