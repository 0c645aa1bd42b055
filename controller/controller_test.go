package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// newZoneFleet starts a fleet of n daemons in one zone with u upstreams.
func newZoneFleet(seed uint64, n, u int) *fleet {
	f := newFleet(seed)
	f.setConfig([]almondstep.ZoneName{"z"}, nil)
	f.addUpstreams("z", u)
	for i := range n {
		f.start(almondstep.DaemonID(fmt.Sprintf("d%d", i)), "z")
	}
	return f
}

// fullOwners counts the daemons that may load an upstream fully now.
func (f *fleet) fullOwners(addr almondstep.Address) int {
	count := 0
	for _, id := range f.ids {
		if f.hasFullGrant(f.nodes[id], addr) {
			count++
		}
	}
	return count
}

// hasFullGrant reports whether a daemon may start a request under GrantFull.
func (f *fleet) hasFullGrant(n *node, addr almondstep.Address) bool {
	if n.dead || n.pausedUntil > f.now || n.view == nil {
		return false
	}
	o, ok := n.view.Owned(addr)
	return ok && o.Grant() == almondstep.GrantFull && f.instant(n) < o.GrantUntil()
}

// fullyOwned counts the upstreams that exactly one daemon may load fully.
func (f *fleet) fullyOwned() int {
	count := 0
	for _, u := range f.list.Upstreams {
		if f.fullOwners(u.Addr) == 1 {
			count++
		}
	}
	return count
}

func TestEveryUpstreamIsOwnedOnceAtAnySize(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 7, 8, 9, 24, 122} {
		const upstreams = 40
		f := newZoneFleet(1, n, upstreams)
		f.runFor(10 * time.Second)
		if n > 100 {
			f.runFor(5 * time.Second)
		}
		if got, want := f.fullyOwned(), upstreams; got != want {
			t.Errorf("%d daemons: %d upstreams fully owned, want %d", n, got, want)
		}
	}
}
