package controller_test

import (
	"testing"
	"time"

	"almondstep"
)

// A zone that is out gets no work, and its upstreams are not called leaving:
// that is final for a boot, and the zone would never be used again.
func TestZoneBackIsUsedAgain(t *testing.T) {
	const upstreams = 6
	zones := []almondstep.ZoneName{"z", "y"}
	f := zoneOf(1, 3, upstreams)
	f.runFor(10 * time.Second)
	f.setConfig(zones, zones[:1])
	f.runFor(3 * time.Second)
	for _, id := range f.ids {
		for addr, o := range f.nodes[id].view.OwnedAll() {
			if got, want := o.Grant(), almondstep.GrantNone; got != want {
				t.Errorf("zone out: %s at %s: got grant %d, want %d", addr, id, got, want)
			}
			if o.Leaving() {
				t.Errorf("zone out: %s at %s counts as leaving", addr, id)
			}
		}
	}
	f.setConfig(zones, nil)
	f.runFor(3 * time.Second)
	if got, want := f.fullAll(), upstreams; got != want {
		t.Errorf("zone back: got %d upstreams with one full owner, want %d", got, want)
	}
}
