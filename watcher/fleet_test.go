package watcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/patcher"
	"almondstep/watcher"
)

const (
	// way is a message's time between two daemons or to the registry.
	way = 2 * time.Millisecond
	// patience is how long an asker waits beyond the wait it asked for.
	patience = 500 * time.Millisecond
)

// fleet is a few watchers that ask each other and a registry, in virtual time.
type fleet struct {
	t      *testing.T
	now    time.Duration
	queue  events
	serial int
	nodes  map[almondstep.DaemonID]*node
	ids    []almondstep.DaemonID

	revision uint64
	entries  map[string]almondstep.RegistryEntry
	log      []almondstep.RegistryEntry
	watches  map[int]func()
	calls    int
	// whole counts the readings of all among the calls.
	whole int
	down  bool
	// cut has the daemons that can't reach the registry, deaf those that nobody
	// reaches.
	cut  map[almondstep.DaemonID]bool
	deaf map[almondstep.DaemonID]bool
	// seeds are addresses that all daemons are told.
	seeds []almondstep.Address
	// page is the most that one watch brings; 0 is all.
	page int
}

type node struct {
	// epoch tells the starts of a daemon apart.
	epoch int
	id    almondstep.DaemonID
	w     *watcher.Watcher
	view  *almondstep.View
	open  map[almondstep.CallID]func(almondstep.RegistryUpdate)
	calls almondstep.CallID
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newFleet starts so many daemons in one zone.
func newFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, nodes: map[almondstep.DaemonID]*node{}, entries: map[string]almondstep.RegistryEntry{},
		watches: map[int]func(){}, cut: map[almondstep.DaemonID]bool{}, deaf: map[almondstep.DaemonID]bool{},
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

// restart starts a daemon, or starts one anew that knows nothing then.
func (f *fleet) restart(id almondstep.DaemonID) {
	cfg := watcher.Config{Self: id, Zone: zoneOf(string(id)), Cores: coresOf(string(id)), Seeds: f.seeds}
	n := &node{id: id, w: watcher.New(cfg), open: map[almondstep.CallID]func(almondstep.RegistryUpdate){}}
	if former := f.nodes[id]; former != nil {
		n.epoch = former.epoch + 1
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
	f.serial++
	heap.Push(&f.queue, event{at: f.now + d, serial: f.serial, run: run})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
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
			if reply := n.open[eff.Call]; reply != nil {
				delete(n.open, eff.Call)
				reply(eff.Update)
			}
		case *almondstep.AnnounceDaemon:
			f.announce(n)
		}
	}
}

func (f *fleet) announce(n *node) {
	f.after(way, func() {
		e := &almondstep.DaemonAnnounced{}
		if f.down || f.cut[n.id] {
			e.Err = "no answer"
		} else if _, known := f.entries["daemon/"+string(n.id)]; !known {
			f.write("daemon/"+string(n.id), false)
		}
		f.deliver(n, e)
	})
}

// write changes an entry and ends the watches.
func (f *fleet) write(key string, removed bool) {
	f.revision++
	e := almondstep.RegistryEntry{Key: key, Revision: f.revision, Removed: removed}
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
		f.whole++
	}
	answer := func() {
		f.after(way, func() {
			if f.down || f.cut[n.id] {
				f.deliver(n, &almondstep.RegistryRead{Err: "no answer"})
				return
			}
			f.deliver(n, &almondstep.RegistryRead{Full: r.After == 0, Changes: f.since(r.After)})
		})
	}
	if r.After == 0 || r.After < f.revision || r.Wait == 0 || f.down || f.cut[n.id] {
		answer()
		return
	}
	f.serial++
	id := f.serial
	f.watches[id] = answer
	f.after(r.Wait, func() {
		if end := f.watches[id]; end != nil {
			delete(f.watches, id)
			end()
		}
	})
}

// list answers with the daemons alone.
func (f *fleet) list(n *node) {
	f.after(way, func() {
		if f.down || f.cut[n.id] {
			f.deliver(n, &almondstep.RegistryRead{Daemons: true, Err: "no answer"})
			return
		}
		all := f.since(0)
		f.deliver(n, &almondstep.RegistryRead{Daemons: true, Changes: &almondstep.RegistryChanges{Revision: all.Revision, Daemons: all.Daemons}})
	})
}

// since makes changes of what was written after a revision.
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

// zoneOf is the zone of a daemon: what its id says before a dash, else z.
func zoneOf(id string) almondstep.ZoneName {
	zone, _, ok := strings.Cut(id, "-")
	if !ok {
		return "z"
	}
	return almondstep.ZoneName(zone)
}

// coresOf is the size of a daemon: L in its id marks a large one.
func coresOf(id string) float64 {
	if strings.Contains(id, "L") {
		return 0.8
	}
	return 0.2
}

// changesOf decodes entries as a registry would: upstreams, daemons and routes.
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
		u := almondstep.UpstreamChange{Key: e.Key, Revision: e.Revision}
		if !e.Removed {
			u.Upstream = &almondstep.Upstream{ID: almondstep.UpstreamID(e.Key), Service: "s", Zone: "z"}
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	c.Routes = table(t, 1)
	return c
}

// ask carries a question to another daemon and its answer back.
func (f *fleet) ask(n *node, r *almondstep.ReadRegistry) {
	done := false
	end := func(e *almondstep.RegistryRead) {
		if !done {
			done = true
			f.deliver(n, e)
		}
	}
	f.after(r.Wait+patience, func() { end(&almondstep.RegistryRead{From: r.From, Err: "no answer"}) })
	f.after(way, func() {
		peer := f.nodes[almondstep.DaemonID(r.Addr)]
		if peer == nil || f.deaf[peer.id] || f.deaf[n.id] {
			return
		}
		peer.calls++
		peer.open[peer.calls] = func(news almondstep.RegistryUpdate) {
			f.after(way, func() {
				if f.deaf[peer.id] || f.deaf[n.id] {
					return
				}
				news.Entries = slices.Clone(news.Entries)
				if err := patcher.ApplyEntries(r.PatchBases, news.Entries); err != nil {
					f.t.Errorf("%s asks %s: %v", n.id, r.From, err)
				}
				changes := changesOf(f.t, news.Revision, news.Entries, 0)
				end(&almondstep.RegistryRead{From: r.From, Full: news.Full, SourceUpdate: &news, Changes: changes})
			})
		}
		f.deliver(peer, &almondstep.RegistryUpdateRequested{Call: peer.calls, Request: r.RegistryUpdateRequest})
	})
}

// wantListed checks what each daemon that can be reached may send requests to.
func (f *fleet) wantListed(what string, want ...almondstep.UpstreamID) {
	f.t.Helper()
	for _, id := range f.ids {
		if f.deaf[id] {
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

// In calm times one daemon of a zone reads the registry, however many there are,
// and a change still reaches all of them within a watch's pause.
func TestOneDaemonReadsForItsZone(t *testing.T) {
	for _, daemons := range []int{1, 2, 13} {
		f := newFleet(t, daemons)
		before := f.calls
		f.run(20 * time.Second)
		if got, most := f.calls-before, 11; got > most {
			t.Errorf("%d daemons: got %d calls in 20 s, want at most %d", daemons, got, most)
		}
		f.write("u1", false)
		f.run(700 * time.Millisecond)
		f.wantListed(fmt.Sprintf("%d daemons", daemons), "u0", "u1")
		f.write("u0", true)
		f.run(700 * time.Millisecond)
		f.wantListed(fmt.Sprintf("%d daemons", daemons), "u1")
	}
}

// A daemon that reads for others may fall silent, or be cut off from the registry
// alone. The next one takes over, and news is late by a moment only: the least
// bound stated for news is 3 s.
func TestAnotherDaemonTakesOver(t *testing.T) {
	const within = 3 * time.Second
	for _, fault := range []string{"deaf", "cut"} {
		for i := range 5 {
			f := newFleet(t, 5)
			hit := f.ids[i]
			if fault == "deaf" {
				f.deaf[hit], f.cut[hit] = true, true
			} else {
				f.cut[hit] = true
			}
			f.write("u1", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s %s", hit, fault), "u0", "u1")
			f.write("u2", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s %s, later", hit, fault), "u0", "u1", "u2")
			f.deaf[hit], f.cut[hit] = false, false
			f.write("u3", false)
			f.run(within)
			f.wantListed(fmt.Sprintf("%s back", hit), "u0", "u1", "u2", "u3")
		}
	}
}

// While the registry is down everyone goes on, and few ask it. What lapsed
// meanwhile is kept for a moment by all daemons, also those that hear of it from
// another one.
func TestOutageOfAZone(t *testing.T) {
	f := newFleet(t, 13)
	f.down = true
	before := f.calls
	f.run(10 * time.Second)
	if got, most := f.calls-before, 100; got > most {
		t.Errorf("got %d calls in an outage of 10 s, want at most %d", got, most)
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

// Whatever was cut, silent or down: once it is over, all daemons know the newest
// state within 8 s, the time in which a word counts as old and a moment more, and
// one of them reads for all again.
func TestNewsOverRandomFailures(t *testing.T) {
	const histories, steps = 200, 12
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, 2+rng.IntN(5))
		for step := range steps {
			id := f.ids[rng.IntN(len(f.ids))]
			switch rng.IntN(5) {
			case 0:
				f.deaf[id] = !f.deaf[id]
			case 1:
				f.cut[id] = !f.cut[id]
			case 2:
				f.down = !f.down
			case 3:
				f.write(fmt.Sprintf("u%d", step), false)
			case 4:
				f.write(fmt.Sprintf("u%d", rng.IntN(step+1)), true)
			}
			f.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		}
		clear(f.deaf)
		clear(f.cut)
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
		if got, most := f.calls-before, 6; got > most {
			t.Errorf("seed %d: got %d calls in 10 s of calm, want at most %d", seed, got, most)
		}
		if t.Failed() {
			return
		}
	}
}
