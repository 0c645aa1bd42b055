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

// newTree starts a number of large and of small daemons in each of some zones.
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

// revoke ends the leases of daemons, as a registry that rejects them does.
func (f *fleet) revoke(ids ...almondstep.DaemonID) {
	for _, id := range ids {
		if _, ok := f.entries["daemon/"+string(id)]; ok {
			f.write("daemon/"+string(id), true)
		}
	}
}

// wantEverywhere checks that all reachable daemons may send requests to an upstream.
func (f *fleet) wantEverywhere(what, upstream string) {
	f.t.Helper()
	for _, id := range f.ids {
		if !f.unreachable[id] && !slices.Contains(f.upstreams(id), upstream) {
			f.t.Errorf("%s: %s: got upstreams without %s, want it listed", what, id, upstream)
		}
	}
}

// Few daemons of a large fleet read the registry, at the start and afterwards, and
// changes reach all daemons within DefaultMaxAge.
func TestReadTreeSteadyState(t *testing.T) {
	const zones, large, small = 6, 3, 25
	f := newTree(t, zones, large, small)
	daemons := len(f.ids)
	// A few daemons of each zone do a full read of the registry; the other calls read the
	// list of daemons, which costs a tenth of a full read.
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
	f.wantEverywhere("a change", "u1")
	// Repartitioning of an index: thousands of changes at once.
	for i := range 3000 {
		f.write(fmt.Sprintf("n%d", i), false)
	}
	f.run(watcher.DefaultMaxAge)
	f.wantEverywhere("a burst", "n2999")
}

// The registry rejects the largest daemons of each zone and a third of the others, and
// ends their leases, during the repartitioning of an index. All changes still reach all
// daemons within DefaultMaxAge.
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
	f.wantEverywhere("while rejected", "n2999")
	f.run(5 * time.Second)
	f.write("last", false)
	f.run(watcher.DefaultMaxAge)
	f.wantEverywhere("later", "last")
}

// A daemon that restarts gets a change made at that moment.
func TestRestartLearnsLatestChange(t *testing.T) {
	f := newTree(t, 2, 1, 4)
	id := f.ids[3]
	f.restart(id)
	f.write("u1", false)
	f.run(3 * time.Second)
	f.wantEverywhere("after a restart", "u1")
}

// A daemon that restarts during an outage gets its earlier state back from a daemon that
// has been reading from it.
func TestRestartedDaemonLearnsFromFollower(t *testing.T) {
	f := newTree(t, 1, 0, 2)
	f.down = true
	f.run(time.Second)
	for _, id := range f.ids {
		f.restart(id)
		f.run(3 * time.Second)
		f.wantEverywhere("after the restart of "+string(id), "u0")
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

// During random histories of outages, network partitions, revoked leases, restarts and
// bursts of changes, no daemon stays behind a reachable one for longer than DefaultMaxAge,
// none goes back to an older revision, and the registry isn't overloaded.
func TestTreeOverRandomHistories(t *testing.T) {
	for seed := range histories(t, 300) {
		playHistory(t, seed, nil)
		if t.Failed() {
			return
		}
	}
}

const (
	historySteps = 14
	maxStep      = 2500 * time.Millisecond
)

// playHistory plays a random history. restore, if there is one, may restore the registry
// before each step.
func playHistory(t *testing.T, seed uint64, restore func(f *fleet, rng *rand.Rand)) *fleet {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	f := newTree(t, 1+rng.IntN(4), rng.IntN(3), 1+rng.IntN(4))
	f.page = 20
	c := &checker{f: f, seed: seed, last: map[almondstep.DaemonID]cacheState{}, firstSeenAt: map[int]time.Duration{}}
	started := f.calls
	for step := range historySteps {
		if restore != nil {
			restore(f, rng)
		}
		f.injectFault(rng, step)
		c.watch(time.Duration(rng.Int64N(int64(maxStep))))
	}
	clear(f.unreachable)
	clear(f.cutOff)
	f.down = false
	f.write("last", false)
	f.run(2 * watcher.DefaultMaxAge)
	f.wantEverywhere(fmt.Sprintf("seed %d: at the end", seed), "last")
	// Each daemon may send at most two calls per second, however long the outage.
	if got, limit := f.calls-started, int(f.now.Seconds())*2*len(f.ids); got > limit {
		t.Errorf("seed %d: got %d calls, want at most %d", seed, got, limit)
	}
	return f
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

// cacheState is the revision of a daemon's registry cache, the epoch of the daemon, and
// for how long it has been able to reach a source.
type cacheState struct {
	epoch, revision int
	reachableFor    time.Duration
}

// checker compares the registry caches of the daemons.
type checker struct {
	f    *fleet
	seed uint64
	// last has the state of each daemon at the last comparison.
	last map[almondstep.DaemonID]cacheState
	// firstSeenAt is when a revision was first the highest among the reachable daemons.
	firstSeenAt map[int]time.Duration
}

// watch advances the time and compares the daemons at intervals.
func (c *checker) watch(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		c.f.run(every)
		c.compare(every)
	}
}

func (c *checker) compare(passed time.Duration) {
	f := c.f
	maxRevision := 0
	for _, id := range f.ids {
		n := f.nodes[id]
		revision := cachedRevision(n)
		before := c.last[id]
		now := cacheState{epoch: n.epoch, revision: revision}
		if !f.unreachable[id] && before.epoch == n.epoch && !c.isolated(id) {
			now.reachableFor = before.reachableFor + passed
		}
		if before.epoch == n.epoch && revision < before.revision {
			f.t.Errorf("seed %d: %s went back from revision %d to %d", c.seed, id, before.revision, revision)
		}
		c.last[id] = now
		if now.reachableFor > watcher.DefaultMaxAge {
			maxRevision = max(maxRevision, revision)
		}
	}
	if _, ok := c.firstSeenAt[maxRevision]; !ok {
		c.firstSeenAt[maxRevision] = f.now
	}
	for _, id := range f.ids {
		state := c.last[id]
		if state.reachableFor <= 2*watcher.DefaultMaxAge || state.revision >= maxRevision {
			continue
		}
		if behind := f.now - c.firstSeenAt[maxRevision]; behind > watcher.DefaultMaxAge {
			f.t.Errorf("seed %d: at %v %s: got revision %d, want %d, which others have had for %v", c.seed, f.now, id, state.revision, maxRevision, behind)
		}
	}
}

// isolated reports whether a daemon can reach no source: it has started while neither
// the registry nor a seed with a registry cache answers.
func (c *checker) isolated(id almondstep.DaemonID) bool {
	if c.last[id].revision > 0 || !c.f.down && !c.f.cutOff[id] {
		return false
	}
	for _, addr := range c.f.seeds {
		seed := almondstep.DaemonID(addr)
		if c.f.nodes[seed] != nil && seed != id && !c.f.unreachable[seed] && c.last[seed].revision > 0 {
			return false
		}
	}
	return true
}

// cachedRevision is the revision of a daemon's registry cache, as it reports to others.
func cachedRevision(n *node) int {
	e := &almondstep.RegistryUpdateRequested{Call: 1 << 40}
	for _, eff := range n.w.Reduce(0, e, nil) {
		if r, ok := eff.(*almondstep.ReplyRegistryUpdate); ok {
			return int(r.Update.Revision)
		}
	}
	return 0
}

// A daemon that starts rejects a stale update while another daemon may have a fresher
// one: otherwise it would send requests to upstreams that have since left.
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
	f.wantEverywhere("after the start", "u1")
}
