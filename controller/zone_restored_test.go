package controller_test

import (
	"testing"
	"time"

	"almondstep"
)

// A drained zone gets no work, but its upstreams don't become leaving: that is final
// for a boot, so the upstreams would stay unused when the zone is restored.
func TestRestoredZoneIsUsedAgain(t *testing.T) {
	const upstreams = 6
	zones := []almondstep.ZoneName{"z", "y"}
	f := newZoneFleet(1, 3, upstreams)
	f.runFor(10 * time.Second)
	f.setConfig(zones, zones[:1])
	f.runFor(3 * time.Second)
	for _, id := range f.ids {
		for addr, o := range f.nodes[id].view.OwnedAll() {
			if got, want := o.Grant(), almondstep.GrantNone; got != want {
				t.Errorf("drained zone: %s at %s: got grant %d, want %d", addr, id, got, want)
			}
			if o.Leaving() {
				t.Errorf("drained zone: %s at %s counts as leaving", addr, id)
			}
		}
	}
	f.setConfig(zones, nil)
	f.runFor(3 * time.Second)
	if got, want := f.fullyOwned(), upstreams; got != want {
		t.Errorf("restored zone: got %d upstreams with one full owner, want %d", got, want)
	}
}
