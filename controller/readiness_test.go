package controller_test

import (
	"testing"
	"time"

	"almondstep"
)

// A daemon that owns upstreams isn't ready before it may use one of them. One that
// never gets a grant becomes ready after firstGrantTimeout, since others may serve
// its sub-requests.
func TestReadyRequiresGrant(t *testing.T) {
	f := newZoneFleet(1, 3, 6)
	readyAt := make(map[almondstep.DaemonID]time.Duration)
	f.onPublish = func(n *node) {
		if !n.view.Ready() || readyAt[n.id] > 0 {
			return
		}
		readyAt[n.id] = f.now
		if n.view.Status().Granted == 0 {
			t.Errorf("%s is ready at %s without a grant", n.id, f.now)
		}
	}
	f.runFor(5 * time.Second)
	if got, want := len(readyAt), 3; got != want {
		t.Errorf("got %d daemons ready, want %d", got, want)
	}
}

func TestReadyWithoutGrantAfterTimeout(t *testing.T) {
	f := newZoneFleet(1, 3, 6)
	for i := 1; i < 3; i++ {
		f.nodes[f.ids[i]].dead = true
	}
	f.runFor(10 * time.Second)
	n := f.nodes[f.ids[0]]
	if got, want := n.view.Unready(), ""; got != want {
		t.Errorf("got unready %q, want %q", got, want)
	}
}
