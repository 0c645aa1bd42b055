package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// markAll makes the current owner of each upstream report its temperature.
func (f *fleet) markAll(t almondstep.Temperature) {
	for _, id := range f.ids {
		n := f.nodes[id]
		for addr := range n.view.OwnedAll() {
			f.deliver(n, &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: t})
		}
	}
}

// restart stops a daemon gracefully and restarts it under the same id.
func (f *fleet) restart(id almondstep.DaemonID, downtime time.Duration) *node {
	n := f.nodes[id]
	f.deliver(n, &almondstep.StopRequested{})
	f.runFor(time.Second)
	n.dead = true
	f.runFor(downtime)
	return f.boot(id, n.addr, n.zone)
}

// wrongTemperatures returns the owned upstreams whose temperature at their owner
// isn't the given one. Upstreams with a second owner are in a handover and are
// skipped.
func (f *fleet) wrongTemperatures(want almondstep.Temperature) map[almondstep.Address]bool {
	owners := make(map[almondstep.Address]int)
	wrong := make(map[almondstep.Address]bool)
	for _, id := range f.ids {
		for addr, o := range f.owned(id) {
			owners[addr]++
			wrong[addr] = wrong[addr] || o.Temperature() != want
		}
	}
	for addr, n := range owners {
		if n > 1 || !wrong[addr] {
			delete(wrong, addr)
		}
	}
	return wrong
}

// wantTemperature checks that no upstream has a wrong temperature in two samples
// further apart than a message takes.
func (f *fleet) wantTemperature(t *testing.T, want almondstep.Temperature) {
	t.Helper()
	before := f.wrongTemperatures(want)
	f.runFor(10 * f.latency)
	for addr := range f.wrongTemperatures(want) {
		if before[addr] {
			t.Errorf("at %s the owner of %s doesn't have it as %v", f.now, addr, want)
		}
	}
}

// owned returns what a daemon owns by its view, if it has one.
func (f *fleet) owned(id almondstep.DaemonID) map[almondstep.Address]almondstep.OwnedUpstream {
	if v := f.nodes[id].view; v != nil {
		return v.OwnedAll()
	}
	return nil
}

// A daemon that releases upstreams, because it stops or a daemon ranked higher is
// back, reports their temperatures to the next owner: until that owner's grant is full
// it may use only upstreams known to be warm. All daemons of the zone restart in turn,
// so that at the end none is left whose traffic has shown that they are warm.
func TestRollingRestartKeepsTemperatures(t *testing.T) {
	for seed := range uint64(20) {
		for _, daemons := range []int{2, 3} {
			t.Run(fmt.Sprintf("seed=%d/daemons=%d", seed, daemons), func(t *testing.T) {
				f := newZoneFleet(seed, daemons, 6)
				f.runFor(15 * time.Second)
				f.markAll(almondstep.Warm)
				f.runFor(2 * time.Second)
				for _, id := range f.ids {
					f.restart(id, time.Second)
					for range 100 {
						f.runFor(50 * time.Millisecond)
						f.wantTemperature(t, almondstep.Warm)
					}
				}
			})
		}
	}
}

// temperatureAt returns the temperature of an upstream in a daemon's placements.
func temperatureAt(v *almondstep.View, addr almondstep.Address) almondstep.Temperature {
	for _, p := range v.Placements("lots") {
		for shard := range p.ShardCount() {
			for _, r := range p.Replicas(shard) {
				if r.Upstream() == addr {
					return r.Temperature()
				}
			}
		}
	}
	return almondstep.Lost
}

// A restarted owner starts its sequence numbers again. Other daemons must accept
// its newest rumor over the rumors of its earlier start.
func TestRestartedOwnerOverridesEarlierRumors(t *testing.T) {
	f := newZoneFleet(1, 3, 6)
	f.runFor(15 * time.Second)
	for range 5 {
		f.markAll(almondstep.Warm)
		f.markAll(almondstep.Cold)
	}
	f.runFor(2 * time.Second)
	owner := f.ids[0]
	f.nodes[owner].dead = true
	f.runFor(500 * time.Millisecond)
	n := f.boot(owner, f.nodes[owner].addr, "z")
	f.runFor(15 * time.Second)
	for addr := range n.view.OwnedAll() {
		f.deliver(n, &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: almondstep.Warm})
	}
	f.runFor(3 * time.Second)
	for addr := range n.view.OwnedAll() {
		for _, id := range f.ids {
			if got, want := temperatureAt(f.nodes[id].view, addr), almondstep.Warm; got != want {
				t.Errorf("%s at %s: got %v, want %v", addr, id, got, want)
			}
		}
	}
}

// A late rumor from a former owner doesn't override the owner, which reports its
// state again.
func TestLateRumorIsCorrected(t *testing.T) {
	f := newZoneFleet(1, 2, 6)
	f.runFor(15 * time.Second)
	f.markAll(almondstep.Warm)
	f.runFor(2 * time.Second)
	owner, other := f.nodes["d0"], f.nodes["d1"]
	for addr := range owner.view.OwnedAll() {
		f.deliver(other, &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: almondstep.Cold})
	}
	f.runFor(3 * time.Second)
	f.wantTemperature(t, almondstep.Warm)
	for addr := range owner.view.OwnedAll() {
		if got, want := temperatureAt(other.view, addr), almondstep.Warm; got != want {
			t.Errorf("%s: got %v, want %v", addr, got, want)
		}
	}
}
