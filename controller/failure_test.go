package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// recoveryBound is the time after a crash by which another daemon has full grants for
// the dead daemon's upstreams: WitnessTTL and ExpiryMargin after the last renewal,
// then one query of its witnesses. See prober/README.md.
const recoveryBound = 7 * time.Second

// runUntilFullyOwned runs until all upstreams are fully owned, for at most bound.
func (f *fleet) runUntilFullyOwned(bound time.Duration) (time.Duration, bool) {
	began := f.now
	for f.now-began < bound {
		f.runFor(50 * time.Millisecond)
		if f.fullyOwned() == len(f.list.Upstreams) {
			return f.now - began, true
		}
	}
	return bound, false
}

// After a crash of a daemon another one has full grants for its upstreams within
// recoveryBound.
func TestOwnerLostIsReplaced(t *testing.T) {
	for _, n := range []int{2, 3, 5, 9, 24} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			f := newZoneFleet(seed, n, 30)
			f.runFor(12 * time.Second)
			if got, want := f.fullyOwned(), 30; got != want {
				t.Fatalf("%d daemons, seed %d: %d owned before, want %d", n, seed, got, want)
			}
			f.nodes[f.fullOwner("z-0:80")].dead = true
			took, ok := f.runUntilFullyOwned(recoveryBound)
			if !ok {
				t.Errorf("%d daemons, seed %d: %d owned after %v, want 30", n, seed, f.fullyOwned(), took)
			}
			worst = max(worst, took)
		}
		t.Logf("%d daemons: longest recovery %v", n, worst)
	}
}

// fullOwner returns the daemon that may load an upstream fully.
func (f *fleet) fullOwner(addr almondstep.Address) almondstep.DaemonID {
	for _, id := range f.ids {
		if f.hasFullGrant(f.nodes[id], addr) {
			return id
		}
	}
	return ""
}

// No grant is lost in a platform outage while nothing else fails.
func TestPlatformOutageLosesNoGrant(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 9} {
		f := newZoneFleet(3, n, 20)
		f.runFor(12 * time.Second)
		f.outage = true
		for range 600 {
			f.runFor(100 * time.Millisecond)
			if got, want := f.fullyOwned(), 20; got != want {
				t.Fatalf("%d daemons: %d fully owned at %v, want %d", n, got, f.now, want)
			}
		}
	}
}

// A daemon that is isolated from all others keeps no full grant, and may use
// each upstream one request at a time.
func TestIsolatedDaemonKeepsOnlyWarmGrants(t *testing.T) {
	f := newZoneFleet(4, 3, 20)
	f.runFor(12 * time.Second)
	f.isolate("d0")
	f.runFor(10 * time.Second)
	view := f.nodes["d0"].view
	if got, want := len(view.OwnedAll()), 20; got != want {
		t.Errorf("isolated daemon owns %d upstreams, want %d", got, want)
	}
	for addr, o := range view.OwnedAll() {
		if got, want := o.Grant(), almondstep.GrantWarmOnly; got != want {
			t.Errorf("grant of %s = %d, want %d", addr, got, want)
		}
	}
	if got, want := f.fullyOwned(), 20; got != want {
		t.Errorf("the other two own %d upstreams fully, want %d", got, want)
	}
}

func (f *fleet) isolate(id almondstep.DaemonID) {
	f.cut[link{id, platform}] = true
	for _, o := range f.ids {
		f.cut[link{id, o}] = true
		f.cut[link{o, id}] = true
	}
}

// A daemon that resumes after a pause has no grant left, even before it has
// received anything.
func TestPausedDaemonResumesWithoutGrant(t *testing.T) {
	f := newZoneFleet(5, 3, 20)
	f.runFor(12 * time.Second)
	n := f.nodes["d0"]
	n.pausedUntil = f.now + 8*time.Second
	f.runFor(8*time.Second + almondstep.TickInterval)
	for addr := range n.view.OwnedAll() {
		if f.hasFullGrant(n, addr) {
			t.Errorf("resumed with a grant for %s", addr)
		}
	}
}

// When a network partition heals, the daemon rejoins with few probes and owns
// upstreams again.
func TestRejoinLimitsProbeRate(t *testing.T) {
	const n = 24
	f := newZoneFleet(6, n, 40)
	f.runFor(12 * time.Second)
	baseline := f.probesPerSecond(10)
	f.isolate("d0")
	f.runFor(30 * time.Second)
	clear(f.cut)
	busiest := 0.0
	for range 10 {
		busiest = max(busiest, f.probesPerSecond(1))
	}
	if got, want := busiest, 3*baseline; got > want {
		t.Errorf("%.0f probes a second after the cut, want at most %.0f", got, want)
	}
	if took, ok := f.runUntilFullyOwned(20 * time.Second); !ok {
		t.Errorf("%d of 40 fully owned %v after the cut", f.fullyOwned(), took)
	}
	if got := len(f.nodes["d0"].view.OwnedAll()); got == 0 {
		t.Error("the daemon that was cut off owns nothing again")
	}
	t.Logf("%.0f probes a second usually, %.0f at most after the cut", baseline, busiest)
}

func (f *fleet) probesPerSecond(seconds int) float64 {
	before := f.probes()
	f.runFor(time.Duration(seconds) * time.Second)
	return float64(f.probes()-before) / float64(seconds)
}

func (f *fleet) probes() int {
	sum := 0
	for _, id := range f.ids {
		sum += f.nodes[id].probes
	}
	return sum
}

// A planned stop transfers ownership without the delay of a crash.
func TestStopTransfersOwnership(t *testing.T) {
	f := newZoneFleet(7, 3, 30)
	f.runFor(12 * time.Second)
	n := f.nodes["d0"]
	f.deliver(n, &almondstep.StopRequested{})
	if got, want := n.view.Unready(), "stopping"; got != want {
		t.Errorf("unready %q, want %q", got, want)
	}
	if !n.view.Stopping() || len(n.view.OwnedAll()) != 0 {
		t.Errorf("stopping %v with %d owned, want true and 0", n.view.Stopping(), len(n.view.OwnedAll()))
	}
	const bound = 2500 * time.Millisecond
	took, ok := f.runUntilFullyOwned(bound)
	if !ok {
		t.Errorf("%d of 30 fully owned %v after the stop", f.fullyOwned(), took)
	}
	t.Logf("ownership transferred in %v", took)
}

// newZonesFleet starts a fleet of several zones with daemons and upstreams in each.
func newZonesFleet(seed uint64, names []almondstep.ZoneName, daemons, upstreams int) *fleet {
	f := newFleet(seed)
	f.setConfig(names, nil)
	for _, z := range names {
		f.addUpstreams(z, upstreams)
	}
	for _, z := range names {
		for i := range daemons {
			f.start(almondstep.DaemonID(fmt.Sprintf("%s-d%d", z, i)), z)
		}
	}
	return f
}

var threeZones = []almondstep.ZoneName{"curico-plant", "rengo-depot", "chillan-yard"}

// targets counts, by zone, the replicas in a daemon's placements.
func (n *node) targets() map[almondstep.ZoneName]int {
	count := make(map[almondstep.ZoneName]int)
	for _, p := range n.view.Placements("lots") {
		for i := range p.ShardCount() {
			for _, r := range p.Replicas(i) {
				count[r.Zone()]++
			}
		}
	}
	return count
}

// A drained zone gets no new work from any daemon 3 s after the edit, also from
// daemons that can't reach the platform.
func TestZoneDrainedWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(10) {
		f := newZonesFleet(seed, threeZones, 3, 6)
		f.runFor(12 * time.Second)
		for _, id := range f.ids[3:6] {
			f.cut[link{id, platform}] = true
		}
		f.runFor(10 * time.Second)
		for _, id := range f.ids {
			if got, want := f.nodes[id].targets()["curico-plant"], 6; got != want {
				t.Fatalf("seed %d: %s has %d replicas before, want %d", seed, id, got, want)
			}
		}
		f.setConfig(threeZones, threeZones[:1])
		f.runFor(3 * time.Second)
		for _, id := range f.ids {
			n := f.nodes[id]
			if got, want := n.targets()["curico-plant"], 0; got != want {
				t.Errorf("seed %d: %s sends to %d replicas of the zone, want %d", seed, id, got, want)
			}
			if got, want := n.view.Ready(), n.zone != "curico-plant"; got != want {
				t.Errorf("seed %d: %s ready = %v, want %v", seed, id, got, want)
			}
		}
		for _, id := range f.ids[:3] {
			if got := f.nodes[id].targets()["rengo-depot"]; got == 0 {
				t.Errorf("seed %d: %s of the drained zone sends nothing elsewhere", seed, id)
			}
		}
	}
}

// The daemons of a zone that is partitioned from the platform and the other zones
// send no more work to those zones and continue to use their own zone's upstreams.
// When the partition heals, all zones use each other again.
func TestZoneCutOffServesItself(t *testing.T) {
	f := newZonesFleet(8, threeZones, 3, 6)
	f.runFor(12 * time.Second)
	alone := f.ids[:3]
	for _, id := range alone {
		f.cut[link{id, platform}] = true
		for _, o := range f.ids[3:] {
			f.cut[link{id, o}] = true
			f.cut[link{o, id}] = true
		}
	}
	f.setConfig(threeZones, threeZones[1:2])
	f.runFor(3500 * time.Millisecond)
	for _, id := range alone {
		got := f.nodes[id].targets()
		if got["rengo-depot"] != 0 || got["curico-plant"] != 6 {
			t.Errorf("%s sends to %v, want only its own zone", id, got)
		}
	}
	f.runFor(20 * time.Second)
	// The six upstreams of the drained zone get no work.
	for _, u := range f.list.Upstreams {
		want := 1
		if u.Zone == threeZones[1] {
			want = 0
		}
		if got := f.fullOwners(u.Addr); got != want {
			t.Errorf("%s has %d full owners during the cut, want %d", u.Addr, got, want)
		}
	}
	clear(f.cut)
	f.setConfig(threeZones, nil)
	f.runFor(20 * time.Second)
	for _, id := range f.ids {
		for _, z := range threeZones {
			if got, want := f.nodes[id].targets()[z], 6; got != want {
				t.Errorf("%s has %d replicas of %s after the cut, want %d", id, got, z, want)
			}
		}
	}
}

// All zones keep sending work to each other through a long platform outage.
func TestZonesConfirmEachOtherWithoutThePlatform(t *testing.T) {
	f := newZonesFleet(9, threeZones, 3, 6)
	f.runFor(12 * time.Second)
	f.outage = true
	f.runFor(5 * time.Second)
	stale := 0
	for range 300 {
		f.runFor(100 * time.Millisecond)
		for _, id := range f.ids {
			for _, z := range threeZones {
				if f.nodes[id].targets()[z] != 6 {
					stale++
				}
			}
		}
	}
	if got, want := stale, 0; got != want {
		t.Errorf("a zone was left out %d times of %d, want %d", got, 300*9*3, want)
	}
}

// A leaving upstream is removed from all placements within 2 s, whether its state
// comes from traffic or from the list of VMs.
func TestLeavingWithinTwoSeconds(t *testing.T) {
	const addr = almondstep.Address("rengo-depot-2:80")
	triggers := map[string]func(*fleet){
		"mark": func(f *fleet) {
			f.deliver(f.nodes[f.ids[0]], &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: almondstep.Leaving})
		},
		"list": func(f *fleet) {
			for i := range f.list.Upstreams {
				if f.list.Upstreams[i].Addr == addr {
					f.list.Upstreams[i].State = almondstep.VMLeaving
				}
			}
			f.list.Revision++
		},
	}
	for name, trigger := range triggers {
		t.Run(name, func(t *testing.T) {
			f := newZonesFleet(10, threeZones, 9, 6)
			f.runFor(15 * time.Second)
			trigger(f)
			f.runFor(2 * time.Second)
			for _, id := range f.ids {
				if got, want := f.nodes[id].targets()["rengo-depot"], 5; got != want {
					t.Errorf("%s sends to %d replicas, want %d", id, got, want)
				}
			}
		})
	}
}

// A request that has crashed two upstreams, each observed by another daemon, is
// refused everywhere, and is accepted again when the quarantine ends.
func TestQuarantineReachesAllAndEnds(t *testing.T) {
	const crasher = almondstep.Fingerprint(99)
	f := newZonesFleet(11, threeZones, 3, 6)
	f.runFor(12 * time.Second)
	f.deliver(f.nodes[f.ids[0]], &almondstep.ReportCrash{Fingerprint: crasher, Upstream: "a"})
	f.runFor(2 * time.Second)
	if f.nodes[f.ids[5]].view.Quarantined(crasher) {
		t.Error("quarantined after one crash")
	}
	f.deliver(f.nodes[f.ids[5]], &almondstep.ReportCrash{Fingerprint: crasher, Upstream: "b"})
	f.runFor(2 * time.Second)
	for _, id := range f.ids {
		if got, want := f.nodes[id].view.Quarantined(crasher), true; got != want {
			t.Errorf("%s refuses the request: %v, want %v", id, got, want)
		}
	}
	f.runFor(10*time.Minute + time.Second)
	for _, id := range f.ids {
		if got, want := f.nodes[id].view.Quarantined(crasher), false; got != want {
			t.Errorf("%s still refuses the request: %v, want %v", id, got, want)
		}
	}
}

// A zone that loses the platform and all other zones sends nothing to them 3 s
// later, since they may have been drained. Failure detection alone would take
// longer: with many daemons, each of the others must first become suspect.
func TestZoneCutOffStopsSendingInTime(t *testing.T) {
	const daemons = 16
	f := newZonesFleet(12, threeZones, daemons, 48)
	f.runFor(15 * time.Second)
	alone := f.ids[:daemons]
	for _, id := range alone {
		f.cut[link{id, platform}] = true
		for _, o := range f.ids[daemons:] {
			f.cut[link{id, o}] = true
			f.cut[link{o, id}] = true
		}
	}
	f.runFor(3 * time.Second)
	for _, id := range alone {
		got := f.nodes[id].targets()
		if got[threeZones[1]] != 0 || got[threeZones[2]] != 0 {
			t.Errorf("%s still sends to %v", id, got)
		}
		if got, want := got[threeZones[0]], 48; got != want {
			t.Errorf("%s sends to %d replicas of its own zone, want %d", id, got, want)
		}
	}
}
