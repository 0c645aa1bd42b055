package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/patcher"
	"almondstep/scheduler"
	"almondstep/watcher"
)

const (
	// oneWayLatency is the latency of a message between two daemons, or between a daemon
	// and the registry.
	oneWayLatency = 2 * time.Millisecond
	// replyTimeout is how long a requester waits for a reply after the wait it requested.
	replyTimeout = 500 * time.Millisecond
)

// fleet simulates, in virtual time, daemons that read from each other and a registry.
type fleet struct {
	t     *testing.T
	now   time.Duration
	queue scheduler.Queue[time.Duration]
	nodes map[almondstep.DaemonID]*node
	ids   []almondstep.DaemonID

	// revision, entries and log are the state of the registry; log has every write.
	revision uint64
	entries  map[string]almondstep.RegistryEntry
	log      []almondstep.RegistryEntry
	// watches has a function to end each pending watch of the registry, by a number that counts them.
	watches   map[int]func()
	lastWatch int
	// calls counts the calls to the registry.
	calls int
	// fullReads counts the full reads among the calls.
	fullReads int
	down      bool
	// cutOff has the daemons that get no answer from the registry; unreachable has those
	// that can't exchange messages with other daemons.
	cutOff      map[almondstep.DaemonID]bool
	unreachable map[almondstep.DaemonID]bool
	// seeds are the seed addresses of all daemons.
	seeds []almondstep.Address
	// page is the maximum number of revisions that one watch returns; 0 is all.
	page int
}

// node is a daemon of the fleet.
type node struct {
	// epoch counts the daemon's restarts.
	epoch   int
	id      almondstep.DaemonID
	w       *watcher.Watcher
	view    *almondstep.View
	pending map[almondstep.CallID]func(almondstep.RegistryUpdate)
	calls   almondstep.CallID
}

// newFleet starts a number of daemons in one zone.
func newFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, nodes: map[almondstep.DaemonID]*node{}, entries: map[string]almondstep.RegistryEntry{},
		watches: map[int]func(){}, cutOff: map[almondstep.DaemonID]bool{}, unreachable: map[almondstep.DaemonID]bool{},
	}
	f.write("u0", false)
	for i := range daemons {
		f.start(almondstep.DaemonID(fmt.Sprintf("d%d", i)))
	}
	f.run(5 * time.Second)
	return f
}

func (f *fleet) start(id almondstep.DaemonID) {
	f.ids = append(f.ids, id)
	f.restart(id)
}

// restart starts a daemon with an empty registry cache; it replaces a running one of the
// same id.
func (f *fleet) restart(id almondstep.DaemonID) {
	cfg := watcher.Config{Self: id, Zone: zoneOf(string(id)), Cores: coresOf(string(id)), Seeds: f.seeds}
	n := &node{id: id, w: watcher.New(cfg), pending: map[almondstep.CallID]func(almondstep.RegistryUpdate){}}
	if previous := f.nodes[id]; previous != nil {
		n.epoch = previous.epoch + 1
	}
	f.nodes[id] = n
	f.tick(n)
}

func (f *fleet) tick(n *node) {
	if f.nodes[n.id] != n {
		return
	}
	f.deliver(n, &almondstep.ControlTick{})
	f.after(almondstep.TickInterval, func() { f.tick(n) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.queue.Add(f.now+d, run)
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for at, run, ok := f.queue.Next(end); ok; at, run, ok = f.queue.Next(end) {
		f.now = at
		run()
	}
	f.now = end
}

func (f *fleet) deliver(n *node, e almondstep.Event) {
	if f.nodes[n.id] != n {
		return
	}
	for _, eff := range n.w.Reduce(almondstep.Instant(f.now+time.Second), e, nil) {
		switch eff := eff.(type) {
		case *almondstep.PublishView:
			n.view = eff.View
		case *almondstep.ReadRegistry:
			f.read(n, eff)
		case *almondstep.ReplyRegistryUpdate:
			if reply := n.pending[eff.Call]; reply != nil {
				delete(n.pending, eff.Call)
				reply(eff.Update)
			}
		case *almondstep.AnnounceDaemon:
			f.announce(n)
		case *almondstep.RecordCrashes:
			f.recordCrashes(n, eff)
		}
	}
}

func (f *fleet) announce(n *node) {
	f.after(oneWayLatency, func() {
		e := &almondstep.DaemonAnnounced{}
		if f.down || f.cutOff[n.id] {
			e.Err = "no answer"
		} else if _, known := f.entries["daemon/"+string(n.id)]; !known {
			f.write("daemon/"+string(n.id), false)
		}
		f.deliver(n, e)
	})
}

// write writes or removes an entry of the registry and ends the pending watches.
func (f *fleet) write(key string, removed bool) {
	f.revision++
	// Values differ, as those of servers do: an equal one at the revision of one that was lost in
	// a restore is taken for it.
	e := almondstep.RegistryEntry{Key: key, Revision: f.revision, Removed: removed, Value: fmt.Sprint(f.now, f.revision)}
	f.entries[key] = e
	if removed {
		delete(f.entries, key)
	}
	f.log = append(f.log, e)
	for id, end := range f.watches {
		delete(f.watches, id)
		end()
	}
}

func (f *fleet) read(n *node, r *almondstep.ReadRegistry) {
	if r.From != "" {
		f.ask(n, r)
		return
	}
	f.calls++
	if r.Daemons {
		f.list(n)
		return
	}
	if r.After == 0 {
		f.fullReads++
	}
	answer := func() {
		f.after(oneWayLatency, func() {
			if f.down || f.cutOff[n.id] {
				f.deliver(n, &almondstep.RegistryRead{Err: "no answer"})
				return
			}
			if r.After != 0 && almondstep.EraOf(r.After) != almondstep.EraOf(f.revision) {
				f.deliver(n, &almondstep.RegistryRead{Compacted: true, Err: "restored"})
				return
			}
			f.deliver(n, &almondstep.RegistryRead{Full: r.After == 0, Changes: f.since(r.After)})
		})
	}
	if r.After == 0 || r.After < f.revision || r.Wait == 0 || f.down || f.cutOff[n.id] {
		answer()
		return
	}
	f.lastWatch++
	id := f.lastWatch
	f.watches[id] = answer
	f.after(r.Wait, func() {
		if end := f.watches[id]; end != nil {
			delete(f.watches, id)
			end()
		}
	})
}

// list answers a read of the list of daemons.
func (f *fleet) list(n *node) {
	f.after(oneWayLatency, func() {
		if f.down || f.cutOff[n.id] {
			f.deliver(n, &almondstep.RegistryRead{Daemons: true, Err: "no answer"})
			return
		}
		all := f.since(0)
		f.deliver(n, &almondstep.RegistryRead{Daemons: true, Changes: &almondstep.RegistryChanges{Revision: all.Revision, Daemons: all.Daemons}})
	})
}

// since returns the changes after a revision, at most a page of them; all entries if the
// revision is 0.
func (f *fleet) since(after uint64) *almondstep.RegistryChanges {
	entries := f.log
	if after == 0 {
		entries = nil
		for _, e := range f.entries {
			entries = append(entries, e)
		}
	}
	revision := f.revision
	if f.page > 0 && after > 0 && revision > after+uint64(f.page) {
		revision = after + uint64(f.page)
		entries = slices.DeleteFunc(slices.Clone(entries), func(e almondstep.RegistryEntry) bool { return e.Revision > revision })
	}
	c := changesOf(f.t, revision, entries, after)
	c.More = revision < f.revision
	return c
}

// zoneOf is the zone of a daemon: the part of its id before a dash; z without one.
func zoneOf(id string) almondstep.ZoneName {
	zone, _, ok := strings.Cut(id, "-")
	if !ok {
		return "z"
	}
	return almondstep.ZoneName(zone)
}

// coresOf is the number of cores of a daemon's VM: L in its id marks a large one.
func coresOf(id string) float64 {
	if strings.Contains(id, "L") {
		return 0.8
	}
	return 0.2
}

// changesOf decodes the entries after a revision as a registry client does.
func changesOf(t *testing.T, revision uint64, entries []almondstep.RegistryEntry, after uint64) *almondstep.RegistryChanges {
	c := &almondstep.RegistryChanges{Revision: revision}
	for _, e := range entries {
		if e.Revision <= after {
			continue
		}
		if zone, ok := strings.CutPrefix(e.Key, "out/"); ok {
			c.Entries = append(c.Entries, e)
			c.DrainedZones = append(c.DrainedZones, almondstep.ZoneChange{Zone: almondstep.ZoneName(zone), Drained: !e.Removed, Revision: e.Revision})
			continue
		}
		c.Entries = append(c.Entries, e)
		if id, ok := strings.CutPrefix(e.Key, "daemon/"); ok {
			c.Daemons = append(c.Daemons, almondstep.DaemonChange{
				Daemon: almondstep.DaemonID(id), Alive: !e.Removed, Zone: zoneOf(id), Addr: almondstep.Address(id), Cores: coresOf(id), Revision: e.Revision,
			})
			continue
		}
		if addCrash(e, c) {
			continue
		}
		u := almondstep.UpstreamChange{Key: e.Key, Revision: e.Revision}
		if !e.Removed {
			u.Upstream = &almondstep.Upstream{ID: almondstep.UpstreamID(e.Key), Service: "s", Zone: "z"}
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	c.Routes = table(t, 1)
	return c
}

// ask delivers a request to another daemon, and its reply or a timeout to the requester.
func (f *fleet) ask(n *node, r *almondstep.ReadRegistry) {
	done := false
	end := func(e *almondstep.RegistryRead) {
		if !done {
			done = true
			f.deliver(n, e)
		}
	}
	f.after(r.Wait+replyTimeout, func() { end(&almondstep.RegistryRead{From: r.From, Err: "no answer"}) })
	f.after(oneWayLatency, func() {
		peer := f.nodes[almondstep.DaemonID(r.Addr)]
		if peer == nil || f.unreachable[peer.id] || f.unreachable[n.id] {
			return
		}
		peer.calls++
		peer.pending[peer.calls] = func(update almondstep.RegistryUpdate) {
			f.after(oneWayLatency, func() {
				if f.unreachable[peer.id] || f.unreachable[n.id] {
					return
				}
				update.Entries = slices.Clone(update.Entries)
				if err := patcher.ApplyEntries(r.PatchBases, update.Entries); err != nil {
					f.t.Errorf("%s asks %s: %v", n.id, r.From, err)
				}
				changes := changesOf(f.t, update.Revision, update.Entries, 0)
				end(&almondstep.RegistryRead{From: r.From, Full: update.Full, SourceUpdate: &update, Changes: changes})
			})
		}
		f.deliver(peer, &almondstep.RegistryUpdateRequested{Call: peer.calls, Request: r.RegistryUpdateRequest})
	})
}

// wantListed checks that each reachable daemon may send requests to just these upstreams.
func (f *fleet) wantListed(what string, want ...almondstep.UpstreamID) {
	f.t.Helper()
	for _, id := range f.ids {
		if f.unreachable[id] {
			continue
		}
		var got []almondstep.UpstreamID
		for _, u := range f.nodes[id].view.Directory().Upstreams("s") {
			got = append(got, u.ID)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			f.t.Errorf("%s: %s: got %v, want %v", what, id, got, want)
		}
	}
}

// In normal operation one daemon of a zone reads the registry, however many there are,
// and a change reaches all of them soon after the delay between two watches.
func TestOneDaemonReadsForItsZone(t *testing.T) {
	for _, daemons := range []int{1, 2, 13} {
		f := newFleet(t, daemons)
		before := f.calls
		f.run(20 * time.Second)
		if got, limit := f.calls-before, 11; got > limit {
			t.Errorf("%d daemons: got %d calls in 20 s, want at most %d", daemons, got, limit)
		}
		f.write("u1", false)
		f.run(700 * time.Millisecond)
		f.wantListed(fmt.Sprintf("%d daemons", daemons), "u0", "u1")
		f.write("u0", true)
		f.run(700 * time.Millisecond)
		f.wantListed(fmt.Sprintf("%d daemons", daemons), "u1")
	}
}

// A daemon that reads the registry for others may become unreachable, or lose only its
// connection to the registry. Another one then reads the registry, and updates arrive
// within 3 s: the smallest bound stated for them.
func TestAnotherDaemonTakesOver(t *testing.T) {
	const within = 3 * time.Second
	for _, fault := range []string{"deaf", "cut"} {
		for i := range 5 {
			f := newFleet(t, 5)
			faulty := f.ids[i]
			if fault == "deaf" {
				f.unreachable[faulty], f.cutOff[faulty] = true, true
			} else {
				f.cutOff[faulty] = true
			}
			f.write("u1", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s %s", faulty, fault), "u0", "u1")
			f.write("u2", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s %s, later", faulty, fault), "u0", "u1", "u2")
			f.unreachable[faulty], f.cutOff[faulty] = false, false
			f.write("u3", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s back", faulty), "u0", "u1", "u2", "u3")
		}
	}
}

// While the registry is down all daemons continue, and few of them call it. Entries
// whose leases expire meanwhile are kept for a short time after the outage by all
// daemons, including those that read from other daemons.
func TestRegistryOutage(t *testing.T) {
	f := newFleet(t, 13)
	f.down = true
	before := f.calls
	f.run(10 * time.Second)
	if got, limit := f.calls-before, 100; got > limit {
		t.Errorf("got %d calls in an outage of 10 s, want at most %d", got, limit)
	}
	f.wantListed("outage", "u0")
	f.write("u0", true)
	f.down = false
	f.run(1500 * time.Millisecond)
	f.wantListed("just back", "u0")
	f.write("u1", false)
	f.run(watcher.LapseGrace + 2*time.Second)
	f.wantListed("later", "u1")
}

// Once random failures are over, all daemons have the newest state within 8 s, twice
// DefaultMaxAge, and one of them reads the registry for all again.
func TestUpdatesOverRandomFailures(t *testing.T) {
	const histories, steps = 200, 12
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, 2+rng.IntN(5))
		for step := range steps {
			id := f.ids[rng.IntN(len(f.ids))]
			switch rng.IntN(5) {
			case 0:
				f.unreachable[id] = !f.unreachable[id]
			case 1:
				f.cutOff[id] = !f.cutOff[id]
			case 2:
				f.down = !f.down
			case 3:
				f.write(fmt.Sprintf("u%d", step), false)
			case 4:
				f.write(fmt.Sprintf("u%d", rng.IntN(step+1)), true)
			}
			f.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		}
		clear(f.unreachable)
		clear(f.cutOff)
		f.down = false
		f.write("last", false)
		f.run(8 * time.Second)
		var want []almondstep.UpstreamID
		for key := range f.entries {
			if _, daemon := strings.CutPrefix(key, "daemon/"); !daemon {
				want = append(want, almondstep.UpstreamID(key))
			}
		}
		slices.Sort(want)
		f.wantListed(fmt.Sprintf("seed %d", seed), want...)
		before := f.calls
		f.run(10 * time.Second)
		if got, limit := f.calls-before, 6; got > limit {
			t.Errorf("seed %d: got %d calls in 10 s of normal operation, want at most %d", seed, got, limit)
		}
		if t.Failed() {
			return
		}
	}
}
