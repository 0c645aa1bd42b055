package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// newTree starts daemons in zones, a few large ones and many small ones in each.
func newTree(t *testing.T, zones, large, small int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, nodes: map[almondstep.DaemonID]*node{}, entries: map[string]almondstep.RegistryEntry{},
		watches: map[int]func(){}, cut: map[almondstep.DaemonID]bool{}, deaf: map[almondstep.DaemonID]bool{},
		page: 500, seeds: []almondstep.Address{"z0-s0", "z0-s1", "z1-s0"},
	}
	f.write("u0", false)
	for z := range zones {
		for i := range large {
			f.start(almondstep.DaemonID(fmt.Sprintf("z%d-L%d", z, i)))
		}
		for i := range small {
			f.start(almondstep.DaemonID(fmt.Sprintf("z%d-s%d", z, i)))
		}
	}
	f.run(8 * time.Second)
	return f
}

// upstreams lists what a daemon may send requests to.
func (f *fleet) upstreams(id almondstep.DaemonID) []string {
	v := f.nodes[id].view
	if v == nil {
		return nil
	}
	var ids []string
	for _, u := range v.Directory().Upstreams("s") {
		ids = append(ids, string(u.ID))
	}
	slices.Sort(ids)
	return ids
}

// revoke ends the leases of daemons, as a registry does that turns them away.
func (f *fleet) revoke(ids ...almondstep.DaemonID) {
	for _, id := range ids {
		if _, ok := f.entries["daemon/"+string(id)]; ok {
			f.write("daemon/"+string(id), true)
		}
	}
}

// wantKnown checks that all daemons that can be reached know an upstream.
func (f *fleet) wantKnown(what, upstream string) {
	f.t.Helper()
	for _, id := range f.ids {
		if !f.deaf[id] && !slices.Contains(f.upstreams(id), upstream) {
			f.t.Errorf("%s: %s doesn't know %s", what, id, upstream)
		}
	}
}

// A large fleet at the start, in calm and at a change: few read the registry, and
// what changes is known everywhere within the bound.
func TestTreeInCalmTimes(t *testing.T) {
	const zones, large, small = 6, 3, 25
	f := newTree(t, zones, large, small)
	daemons := len(f.ids)
	// All of the registry is read by a few of each zone; the rest of the calls are
	// the cheap lists of daemons, a tenth of the price each.
	if got, most := f.whole, zones*3; got > most {
		t.Errorf("got %d readings of all at the start of %d daemons, want at most %d", got, daemons, most)
	}
	before := f.calls
	f.run(20 * time.Second)
	if got, most := f.calls-before, 2*11; got > most {
		t.Errorf("got %d calls in 20 s, want at most %d", got, most)
	}
	f.write("u1", false)
	f.run(watcher.DefaultBound)
	f.wantKnown("a change", "u1")
	// An index cut anew: thousands of changes at once.
	for i := range 3000 {
		f.write(fmt.Sprintf("n%d", i), false)
	}
	f.run(watcher.DefaultBound)
	f.wantKnown("a burst", "n2999")
}

// The registry turns a third of the daemons away and ends their leases, the largest
// of each zone first, while an index is cut anew. All still know everything within
// the bound.
func TestThirdOfTheDaemonsTurnedAway(t *testing.T) {
	f := newTree(t, 6, 3, 20)
	for i, id := range f.ids {
		if i%3 == 0 || strings.Contains(string(id), "L") {
			f.cut[id] = true
			f.revoke(id)
		}
	}
	f.run(2 * time.Second)
	for i := range 3000 {
		f.write(fmt.Sprintf("n%d", i), false)
		if i%500 == 0 {
			f.run(200 * time.Millisecond)
		}
	}
	f.run(watcher.DefaultBound)
	f.wantKnown("while turned away", "n2999")
	f.run(5 * time.Second)
	f.write("last", false)
	f.run(watcher.DefaultBound)
	f.wantKnown("later", "last")
}

// A daemon that starts while the registry turns it away learns from the others; one
// that starts alone in an outage knows nothing, and says that its word is old.
func TestStartWhileTurnedAway(t *testing.T) {
	f := newTree(t, 2, 1, 4)
	id := f.ids[3]
	f.restart(id)
	f.write("u1", false)
	f.run(3 * time.Second)
	f.wantKnown("after a restart", "u1")
}

// A daemon that starts anew in an outage hears what it knew before from one that
// has read from it all the while.
func TestRestartedDaemonHearsItsFollower(t *testing.T) {
	f := newTree(t, 1, 0, 2)
	f.down = true
	f.run(time.Second)
	for _, id := range f.ids {
		f.restart(id)
		f.run(3 * time.Second)
		f.wantKnown("after the restart of "+string(id), "u0")
	}
}

// histories is the number of random histories; ALMONDSTEP_HISTORIES asks for more.
func histories(t *testing.T, usual uint64) uint64 {
	t.Helper()
	text := os.Getenv("ALMONDSTEP_HISTORIES")
	if text == "" {
		return usual
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Over random histories of outages, cuts, revoked leases, restarts and bursts: no
// daemon goes on with old knowledge for longer than the bound while one that it can
// reach knows more, none ever steps back, and the registry isn't overrun.
func TestTreeOverRandomHistories(t *testing.T) {
	for seed := range histories(t, 300) {
		playHistory(t, seed)
		if t.Failed() {
			return
		}
	}
}

const (
	historySteps = 14
	stepMost     = 2500 * time.Millisecond
)

func playHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	f := newTree(t, 1+rng.IntN(4), rng.IntN(3), 1+rng.IntN(4))
	f.page = 20
	j := &judge{f: f, seed: seed, knew: map[almondstep.DaemonID]knowledge{}, newest: map[int]time.Duration{}}
	started := f.calls
	for step := range historySteps {
		f.disturb(rng, step)
		j.watch(time.Duration(rng.Int64N(int64(stepMost))))
	}
	clear(f.deaf)
	clear(f.cut)
	f.down = false
	f.write("last", false)
	f.run(2 * watcher.DefaultBound)
	f.wantKnown(fmt.Sprintf("seed %d: at the end", seed), "last")
	// Each daemon may ask twice a second at most, however long the outage.
	if got, most := f.calls-started, int(f.now.Seconds())*2*len(f.ids); got > most {
		t.Errorf("seed %d: got %d calls, want at most %d", seed, got, most)
	}
}

// disturb changes one thing about the world.
func (f *fleet) disturb(rng *rand.Rand, step int) {
	id := f.ids[rng.IntN(len(f.ids))]
	switch rng.IntN(8) {
	case 0:
		f.deaf[id] = !f.deaf[id]
	case 1:
		f.cut[id] = !f.cut[id]
	case 2:
		f.down = !f.down
	case 3:
		for i := range 1 + rng.IntN(60) {
			f.write(fmt.Sprintf("u%d.%d", step, i), false)
		}
	case 4:
		f.write("u0", rng.IntN(2) == 0)
	case 5:
		for _, other := range f.ids {
			if rng.IntN(3) == 0 {
				f.cut[other] = true
				f.revoke(other)
			}
		}
	case 6:
		f.restart(id)
	case 7:
		clear(f.cut)
	}
}

// knowledge is how many changes a daemon knew, in which of its starts, and for how
// long it has had somebody to ask.
type knowledge struct {
	epoch, changes int
	reachableFor   time.Duration
}

// judge watches what daemons know.
type judge struct {
	f    *fleet
	seed uint64
	knew map[almondstep.DaemonID]knowledge
	// newest has when a daemon that can be reached first knew so many changes.
	newest map[int]time.Duration
}

// watch lets time pass and compares the daemons all the while.
func (j *judge) watch(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		j.f.run(every)
		j.compare(every)
	}
}

func (j *judge) compare(passed time.Duration) {
	f := j.f
	most := 0
	for _, id := range f.ids {
		n := f.nodes[id]
		changes := known(n)
		was := j.knew[id]
		now := knowledge{epoch: n.epoch, changes: changes}
		if !f.deaf[id] && was.epoch == n.epoch && !j.alone(id) {
			now.reachableFor = was.reachableFor + passed
		}
		if was.epoch == n.epoch && changes < was.changes {
			f.t.Errorf("seed %d: %s stepped back from %d to %d", j.seed, id, was.changes, changes)
		}
		j.knew[id] = now
		if now.reachableFor > watcher.DefaultBound {
			most = max(most, changes)
		}
	}
	if _, ok := j.newest[most]; !ok {
		j.newest[most] = f.now
	}
	for _, id := range f.ids {
		k := j.knew[id]
		if k.reachableFor <= 2*watcher.DefaultBound || k.changes >= most {
			continue
		}
		if behind := f.now - j.newest[most]; behind > watcher.DefaultBound {
			f.t.Errorf("seed %d: at %v %s knows %d changes, others %d for %v", j.seed, f.now, id, k.changes, most, behind)
		}
	}
}

// alone says that a daemon knows nobody whom it could ask: it has started while
// neither the registry nor a seed answers that knows anything.
func (j *judge) alone(id almondstep.DaemonID) bool {
	if j.knew[id].changes > 0 || !j.f.down && !j.f.cut[id] {
		return false
	}
	for _, addr := range j.f.seeds {
		seed := almondstep.DaemonID(addr)
		if j.f.nodes[seed] != nil && seed != id && !j.f.deaf[seed] && j.knew[seed].changes > 0 {
			return false
		}
	}
	return true
}

// known is the revision up to which a daemon knows the registry, as it tells others.
func known(n *node) int {
	e := &almondstep.RegistryUpdateRequested{Call: 1 << 40}
	for _, eff := range n.w.Reduce(0, e, nil) {
		if r, ok := eff.(*almondstep.ReplyRegistryUpdate); ok {
			return int(r.Update.Revision)
		}
	}
	return 0
}

// A daemon that starts doesn't use what another one has known for long, if somebody
// may know more: servers that have left since would be in use again.
func TestStartDoesNotTakeOldWord(t *testing.T) {
	f := newTree(t, 1, 2, 3)
	started := almondstep.DaemonID("z0-s1")
	parent := f.ids[0]
	f.deaf[parent], f.cut[parent] = true, true
	f.run(3 * watcher.DefaultBound)
	f.write("u1", false)
	f.write("u0", true)
	f.run(watcher.DefaultBound)
	// The parent hears and is heard again at the moment at which the other one starts.
	f.deaf[parent], f.cut[parent] = false, false
	f.restart(started)
	for range 100 {
		f.run(10 * time.Millisecond)
		if slices.Contains(f.upstreams(started), "u0") {
			t.Fatal("got an upstream in use that has left")
		}
	}
	f.run(watcher.DefaultBound)
	f.wantKnown("after the start", "u1")
}
