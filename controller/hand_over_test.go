package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// mark lets the present owner of each upstream say how warm it is.
func (f *fleet) mark(t almondstep.Temperature) {
	for _, id := range f.ids {
		n := f.nodes[id]
		for addr := range n.view.OwnedAll() {
			f.deliver(n, &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: t})
		}
	}
}

// restart stops a daemon as planned and starts it again under its id.
func (f *fleet) restart(id almondstep.DaemonID, away time.Duration) *node {
	n := f.nodes[id]
	f.deliver(n, &almondstep.StopRequested{})
	f.runFor(time.Second)
	n.dead = true
	f.runFor(away)
	return f.boot(id, n.addr, n.zone)
}

// misjudged names the owned upstreams that their owner doesn't believe to be as
// they are. Those that another daemon owns too, by its own view, are just being
// handed over.
func (f *fleet) misjudged(is almondstep.Temperature) map[almondstep.Address]bool {
	owners := make(map[almondstep.Address]int)
	wrong := make(map[almondstep.Address]bool)
	for _, id := range f.ids {
		for addr, o := range f.owned(id) {
			owners[addr]++
			wrong[addr] = wrong[addr] || o.Temperature() != is
		}
	}
	for addr, n := range owners {
		if n > 1 || !wrong[addr] {
			delete(wrong, addr)
		}
	}
	return wrong
}

// wantJudged checks that no upstream is misjudged at two moments in a row that are
// further apart than a message takes.
func (f *fleet) wantJudged(t *testing.T, is almondstep.Temperature) {
	t.Helper()
	before := f.misjudged(is)
	f.runFor(10 * f.latency)
	for addr := range f.misjudged(is) {
		if before[addr] {
			t.Errorf("%s: %s isn't known to be %v", f.now, addr, is)
		}
	}
}

// owned is what a daemon owns by its view, if it has one.
func (f *fleet) owned(id almondstep.DaemonID) map[almondstep.Address]almondstep.OwnedUpstream {
	if v := f.nodes[id].view; v != nil {
		return v.OwnedAll()
	}
	return nil
}

// A daemon that gives upstreams up, since it stops or their first owner is back,
// tells the next owner how warm they are: until that one's grant is full it may
// use only those it knows to be warm. All daemons of the zone restart in turn, so
// that in the end nobody is left who saw them warm up.
func TestRollingRestartKeepsWhatIsWarm(t *testing.T) {
	for seed := range uint64(20) {
		for _, daemons := range []int{2, 3} {
			t.Run(fmt.Sprintf("seed=%d/daemons=%d", seed, daemons), func(t *testing.T) {
				f := zoneOf(seed, daemons, 6)
				f.runFor(15 * time.Second)
				f.mark(almondstep.Warm)
				f.runFor(2 * time.Second)
				for _, id := range f.ids {
					f.restart(id, time.Second)
					for range 100 {
						f.runFor(50 * time.Millisecond)
						f.wantJudged(t, almondstep.Warm)
					}
				}
			})
		}
	}
}

// temperatureAt is what a daemon's plans say of an upstream.
func temperatureAt(v *almondstep.View, addr almondstep.Address) almondstep.Temperature {
	for _, p := range v.Placements("lots") {
		for shard := range p.Of() {
			for _, r := range p.Replicas(shard) {
				if r.Upstream() == addr {
					return r.Temperature()
				}
			}
		}
	}
	return almondstep.Lost
}

// An owner that was started again begins to count its words anew. Others must
// still believe the newest one, not the many of its earlier start.
func TestRestartedOwnerIsBelieved(t *testing.T) {
	f := zoneOf(1, 3, 6)
	f.runFor(15 * time.Second)
	for range 5 {
		f.mark(almondstep.Warm)
		f.mark(almondstep.Cold)
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

// A word that comes late doesn't silence the owner: it says again what it knows.
func TestLateWordIsCorrected(t *testing.T) {
	f := zoneOf(1, 2, 6)
	f.runFor(15 * time.Second)
	f.mark(almondstep.Warm)
	f.runFor(2 * time.Second)
	owner, other := f.nodes["d0"], f.nodes["d1"]
	for addr := range owner.view.OwnedAll() {
		f.deliver(other, &almondstep.MarkUpstream{Addr: addr, Boot: "boot-1", Temperature: almondstep.Cold})
	}
	f.runFor(3 * time.Second)
	f.wantJudged(t, almondstep.Warm)
	for addr := range owner.view.OwnedAll() {
		if got, want := temperatureAt(other.view, addr), almondstep.Warm; got != want {
			t.Errorf("%s: got %v, want %v", addr, got, want)
		}
	}
}
