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
		watches: map[int]func(){}, cutOff: map[almondstep.DaemonID]bool{}, unreachable: map[almondstep.DaemonID]bool{},
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

// upstreams lists the upstreams to which a daemon may send requests.
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

// revoke ends the leases of daemons, as a registry does that rejects them.
func (f *fleet) revoke(ids ...almondstep.DaemonID) {
	for _, id := range ids {
		if _, ok := f.entries["daemon/"+string(id)]; ok {
			f.write("daemon/"+string(id), true)
		}
	}
}

// wantKnown checks that all reachable daemons know an upstream.
func (f *fleet) wantKnown(what, upstream string) {
	f.t.Helper()
	for _, id := range f.ids {
		if !f.unreachable[id] && !slices.Contains(f.upstreams(id), upstream) {
			f.t.Errorf("%s: %s doesn't know %s", what, id, upstream)
		}
	}
}

// Few daemons of a large fleet read the registry, at the start and afterwards, and
// changes are known everywhere within the bound.
func TestReadTreeSteadyState(t *testing.T) {
	const zones, large, small = 6, 3, 25
	f := newTree(t, zones, large, small)
	daemons := len(f.ids)
	// A few daemons of each zone do a full read of the registry; the rest of the calls
	// are the cheap lists of daemons, a tenth of the price each.
	if got, limit := f.fullReads, zones*3; got > limit {
		t.Errorf("got %d full reads at the start of %d daemons, want at most %d", got, daemons, limit)
	}
	before := f.calls
	f.run(20 * time.Second)
	if got, limit := f.calls-before, 2*11; got > limit {
		t.Errorf("got %d calls in 20 s, want at most %d", got, limit)
	}
	f.write("u1", false)
	f.run(watcher.DefaultMaxAge)
	f.wantKnown("a change", "u1")
	// Repartitioning of an index: thousands of changes at once.
	for i := range 3000 {
		f.write(fmt.Sprintf("n%d", i), false)
	}
	f.run(watcher.DefaultMaxAge)
	f.wantKnown("a burst", "n2999")
}

// The registry rejects a third of the daemons and ends their leases, the largest of
// each zone first, during the repartitioning of an index. All daemons still know
// everything within the bound.
func TestRegistryRejectsThirdOfDaemons(t *testing.T) {
	f := newTree(t, 6, 3, 20)
	for i, id := range f.ids {
		if i%3 == 0 || strings.Contains(string(id), "L") {
			f.cutOff[id] = true
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
	f.run(watcher.DefaultMaxAge)
	f.wantKnown("while rejected", "n2999")
	f.run(5 * time.Second)
	f.write("last", false)
	f.run(watcher.DefaultMaxAge)
	f.wantKnown("later", "last")
}

// A daemon that restarts learns a change made at that moment.
func TestRestartLearnsLatestChange(t *testing.T) {
	f := newTree(t, 2, 1, 4)
	id := f.ids[3]
	f.restart(id)
	f.write("u1", false)
	f.run(3 * time.Second)
	f.wantKnown("after a restart", "u1")
}

// A daemon that restarts during an outage gets back what it knew before from a daemon
// that has been reading from it.
func TestRestartedDaemonLearnsFromFollower(t *testing.T) {
	f := newTree(t, 1, 0, 2)
	f.down = true
	f.run(time.Second)
	for _, id := range f.ids {
		f.restart(id)
		f.run(3 * time.Second)
		f.wantKnown("after the restart of "+string(id), "u0")
	}
}

// histories is the number of random histories; ALMONDSTEP_HISTORIES overrides it.
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

// Over random histories of outages, partitions, revoked leases, restarts and bursts: no
// daemon keeps a stale registry cache for longer than the bound while it can reach one
// that knows more, none goes back to an older state, and the registry isn't overloaded.
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
	maxStep      = 2500 * time.Millisecond
)

func playHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	f := newTree(t, 1+rng.IntN(4), rng.IntN(3), 1+rng.IntN(4))
	f.page = 20
	j := &checker{f: f, seed: seed, knew: map[almondstep.DaemonID]knowledge{}, newest: map[int]time.Duration{}}
	started := f.calls
	for step := range historySteps {
		f.injectFault(rng, step)
		j.watch(time.Duration(rng.Int64N(int64(maxStep))))
	}
	clear(f.unreachable)
	clear(f.cutOff)
	f.down = false
	f.write("last", false)
	f.run(2 * watcher.DefaultMaxAge)
	f.wantKnown(fmt.Sprintf("seed %d: at the end", seed), "last")
	// Each daemon may send at most two calls per second, however long the outage.
	if got, limit := f.calls-started, int(f.now.Seconds())*2*len(f.ids); got > limit {
		t.Errorf("seed %d: got %d calls, want at most %d", seed, got, limit)
	}
}

// injectFault makes one random change to the registry, the network or a daemon.
func (f *fleet) injectFault(rng *rand.Rand, step int) {
	id := f.ids[rng.IntN(len(f.ids))]
	switch rng.IntN(8) {
	case 0:
		f.unreachable[id] = !f.unreachable[id]
	case 1:
		f.cutOff[id] = !f.cutOff[id]
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
				f.cutOff[other] = true
				f.revoke(other)
			}
		}
	case 6:
		f.restart(id)
	case 7:
		clear(f.cutOff)
	}
}

// knowledge is how many changes a daemon knew, in which of its starts, and for how
// long it has been able to reach a source.
type knowledge struct {
	epoch, changes int
	reachableFor   time.Duration
}

// checker compares what the daemons know.
type checker struct {
	f    *fleet
	seed uint64
	knew map[almondstep.DaemonID]knowledge
	// newest has when a reachable daemon first knew a number of changes.
	newest map[int]time.Duration
}

// watch advances the time and compares the daemons at intervals.
func (j *checker) watch(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		j.f.run(every)
		j.compare(every)
	}
}

func (j *checker) compare(passed time.Duration) {
	f := j.f
	maxChanges := 0
	for _, id := range f.ids {
		n := f.nodes[id]
		changes := known(n)
		was := j.knew[id]
		now := knowledge{epoch: n.epoch, changes: changes}
		if !f.unreachable[id] && was.epoch == n.epoch && !j.isolated(id) {
			now.reachableFor = was.reachableFor + passed
		}
		if was.epoch == n.epoch && changes < was.changes {
			f.t.Errorf("seed %d: %s went back from %d to %d", j.seed, id, was.changes, changes)
		}
		j.knew[id] = now
		if now.reachableFor > watcher.DefaultMaxAge {
			maxChanges = max(maxChanges, changes)
		}
	}
	if _, ok := j.newest[maxChanges]; !ok {
		j.newest[maxChanges] = f.now
	}
	for _, id := range f.ids {
		k := j.knew[id]
		if k.reachableFor <= 2*watcher.DefaultMaxAge || k.changes >= maxChanges {
			continue
		}
		if behind := f.now - j.newest[maxChanges]; behind > watcher.DefaultMaxAge {
			f.t.Errorf("seed %d: at %v %s knows %d changes, others %d for %v", j.seed, f.now, id, k.changes, maxChanges, behind)
		}
	}
}

// isolated reports whether a daemon can reach no source: it has started while neither
// the registry nor a seed with a registry cache answers.
func (j *checker) isolated(id almondstep.DaemonID) bool {
	if j.knew[id].changes > 0 || !j.f.down && !j.f.cutOff[id] {
		return false
	}
	for _, addr := range j.f.seeds {
		seed := almondstep.DaemonID(addr)
		if j.f.nodes[seed] != nil && seed != id && !j.f.unreachable[seed] && j.knew[seed].changes > 0 {
			return false
		}
	}
	return true
}

// known is the revision up to which a daemon knows the registry, as it reports to others.
func known(n *node) int {
	e := &almondstep.RegistryUpdateRequested{Call: 1 << 40}
	for _, eff := range n.w.Reduce(0, e, nil) {
		if r, ok := eff.(*almondstep.ReplyRegistryUpdate); ok {
			return int(r.Update.Revision)
		}
	}
	return 0
}

// A daemon that starts rejects a stale registry cache while another daemon may have a
// fresher one: otherwise it would send requests to servers that have since left.
func TestStartRejectsStaleUpdate(t *testing.T) {
	f := newTree(t, 1, 2, 3)
	started := almondstep.DaemonID("z0-s1")
	parent := f.ids[0]
	f.unreachable[parent], f.cutOff[parent] = true, true
	f.run(3 * watcher.DefaultMaxAge)
	f.write("u1", false)
	f.write("u0", true)
	f.run(watcher.DefaultMaxAge)
	// The parent is reachable again at the moment at which the other daemon restarts.
	f.unreachable[parent], f.cutOff[parent] = false, false
	f.restart(started)
	for range 100 {
		f.run(10 * time.Millisecond)
		if slices.Contains(f.upstreams(started), "u0") {
			t.Fatal("got an upstream in use that has left")
		}
	}
	f.run(watcher.DefaultMaxAge)
	f.wantKnown("after the start", "u1")
}
