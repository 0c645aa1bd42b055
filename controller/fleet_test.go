package controller_test

import (
	"encoding/json"
	"fmt"
	"time"

	"almondstep"
	"almondstep/controller"
	"almondstep/scheduler"
)

// fleet runs several Control reducers in virtual time and delivers each one's effects
// to the others. It simulates the runner, the network and the platform.
type fleet struct {
	now     time.Duration
	events  scheduler.Queue[time.Duration]
	random  uint64
	nodes   map[almondstep.DaemonID]*node
	ids     []almondstep.DaemonID
	cut     map[link]bool
	loss    float64
	latency time.Duration

	list    almondstep.Fleet
	listDoc almondstep.Document
	config  almondstep.Document
	outage  bool
	lease   map[almondstep.ZoneName]leaseHolder
	reads   int
	boots   uint32
	// onPublish is called after each new view of a daemon, if set.
	onPublish func(*node)
}

type leaseHolder struct {
	id    almondstep.DaemonID
	until time.Duration
}

// link is one direction between two daemons, or from one to the platform.
type link struct{ from, to almondstep.DaemonID }

const platform = almondstep.DaemonID("platform")

// node is one daemon of the fleet.
type node struct {
	id          almondstep.DaemonID
	addr        almondstep.Address
	zone        almondstep.ZoneName
	control     *controller.Control
	started     time.Duration
	dead        bool
	pausedUntil time.Duration
	view        *almondstep.View
	calls       map[almondstep.CallID]func(almondstep.Effect)
	call        almondstep.CallID
	bytes       int
	probes      int
	cpu         time.Duration
	events      int
}

const configText = `{"schemes": ["plant"], "zones": [%s],
"classes": [{"name": "urgent", "priority": 0, "hardDeadline": "50ms"}],
"tenants": [{"name": "roastery", "share": 1, "maxOpen": 10}],
"services": [{"name": "lots", "names": {"plant": "lots"}, "slots": 2, "connections": 25, "serversPerInstance": 2, "dialTime": "6ms"}]}`

func newFleet(seed uint64) *fleet {
	f := &fleet{
		random:  seed,
		nodes:   make(map[almondstep.DaemonID]*node),
		cut:     make(map[link]bool),
		latency: time.Millisecond,
		lease:   make(map[almondstep.ZoneName]leaseHolder),
	}
	f.list.Revision = 1
	return f
}

func (f *fleet) intn(n int) int {
	f.random += 0x9e3779b97f4a7c15
	z := f.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

// setConfig publishes a configuration with the given drained zones.
func (f *fleet) setConfig(zones, drained []almondstep.ZoneName) {
	var text []byte
	for i, z := range zones {
		if i > 0 {
			text = append(text, ',')
		}
		isDrained := false
		for _, o := range drained {
			isDrained = isDrained || o == z
		}
		text = fmt.Appendf(text, `{"name": %q, "region": "r", "out": %v}`, z, isDrained)
	}
	body := fmt.Appendf(nil, configText, text)
	f.config = almondstep.Document{
		Name: almondstep.DocumentConfig, Revision: f.config.Revision + 1,
		Hash: almondstep.HashOf(body), Body: body,
	}
}

// addUpstreams adds n upstreams of a zone to the list, each holding one shard of n.
func (f *fleet) addUpstreams(zone almondstep.ZoneName, n int) {
	for i := range n {
		f.list.Upstreams = append(f.list.Upstreams, almondstep.UpstreamVM{
			Addr: almondstep.Address(fmt.Sprintf("%s-%d:80", zone, i)), Service: "lots", Zone: zone,
			Boot: "boot-1", State: almondstep.VMLive,
			Holdings: []almondstep.Holding{{Version: 1, Of: uint32(n), Shards: []uint32{uint32(i)}}},
		})
	}
	f.list.Revision++
}

// start adds a daemon to the list and starts it.
func (f *fleet) start(id almondstep.DaemonID, zone almondstep.ZoneName) *node {
	addr := almondstep.Address(id + ":1")
	f.list.Daemons = append(f.list.Daemons, almondstep.DaemonVM{ID: id, Addr: addr, Zone: zone, State: almondstep.VMLive})
	f.list.Revision++
	f.ids = append(f.ids, id)
	return f.boot(id, addr, zone)
}

// boot starts the process of a listed daemon, with a higher epoch each time.
func (f *fleet) boot(id almondstep.DaemonID, addr almondstep.Address, zone almondstep.ZoneName) *node {
	f.boots++
	n := &node{id: id, addr: addr, zone: zone, started: f.now, calls: make(map[almondstep.CallID]func(almondstep.Effect))}
	n.control = controller.New(controller.Config{
		Self: id, Addr: addr, Zone: zone, Epoch: f.boots, Seed: uint64(f.intn(1 << 30)),
	})
	f.nodes[id] = n
	f.after(time.Duration(f.intn(int(almondstep.TickInterval))), func() { f.tick(n) })
	return n
}

// unlist removes a stopped daemon from the platform's list.
func (f *fleet) unlist(id almondstep.DaemonID) {
	kept := f.list.Daemons[:0:0]
	for _, vm := range f.list.Daemons {
		if vm.ID != id {
			kept = append(kept, vm)
		}
	}
	f.list.Daemons = kept
	f.list.Revision++
}

func (f *fleet) tick(n *node) {
	if n.dead {
		return
	}
	f.deliver(n, &almondstep.ControlTick{})
	f.after(almondstep.TickInterval, func() { f.tick(n) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.events.Add(f.now+d, run)
}

// runFor advances the virtual clock by d and runs the events due.
func (f *fleet) runFor(d time.Duration) {
	end := f.now + d
	for at, run, ok := f.events.Next(end); ok; at, run, ok = f.events.Next(end) {
		f.now = at
		run()
	}
	f.now = end
}

func (f *fleet) instant(n *node) almondstep.Instant { return almondstep.Instant(f.now - n.started) }

// deliver delivers an event to a daemon, to a paused one when it resumes.
func (f *fleet) deliver(n *node, e almondstep.Event) {
	if n.dead {
		return
	}
	if n.pausedUntil > f.now {
		f.after(n.pausedUntil-f.now, func() { f.deliver(n, e) })
		return
	}
	began := time.Now()
	effects := n.control.Reduce(f.instant(n), e, nil)
	n.cpu += time.Since(began)
	n.events++
	for _, eff := range effects {
		f.perform(n, eff)
	}
}

func (f *fleet) reaches(from, to almondstep.DaemonID) bool {
	if f.cut[link{from, to}] {
		return false
	}
	return f.loss == 0 || float64(f.intn(1000)) >= f.loss*1000
}

func (f *fleet) perform(n *node, e almondstep.Effect) {
	switch e := e.(type) {
	case *almondstep.PublishView:
		n.view = e.View
		if f.onPublish != nil {
			f.onPublish(n)
		}
	case *almondstep.SendProbe:
		f.sendProbe(n, e)
	case *almondstep.ReplyProbe:
		n.bytes += digestBytes(&e.Digest) + responseOverhead
		f.reply(n, e.Call, e)
	case *almondstep.SendPull:
		f.sendPull(n, e)
	case *almondstep.ReplyPull:
		f.reply(n, e.Call, e)
	case *almondstep.ReadDocument:
		f.read(n, e)
	case *almondstep.TakeZoneLease:
		f.takeLease(n, e)
	}
}

func (f *fleet) reply(n *node, call almondstep.CallID, e almondstep.Effect) {
	if r := n.calls[call]; r != nil {
		delete(n.calls, call)
		r(e)
	}
}

// callPeer sends a request and passes the reply to done, or nil at the timeout.
func (f *fleet) callPeer(n *node, to almondstep.DaemonID, timeout time.Duration,
	request func(almondstep.CallID) almondstep.Event, done func(almondstep.Effect),
) {
	ended := false
	end := func(e almondstep.Effect) {
		if !ended {
			ended = true
			done(e)
		}
	}
	f.after(timeout, func() { end(nil) })
	peer := f.nodes[to]
	if peer == nil || !f.reaches(n.id, to) {
		return
	}
	f.after(f.latency, func() {
		peer.call++
		call := peer.call
		peer.calls[call] = func(e almondstep.Effect) {
			if f.reaches(to, n.id) {
				f.after(f.latency, func() { end(e) })
			}
		}
		f.deliver(peer, request(call))
	})
}

func (f *fleet) sendProbe(n *node, e *almondstep.SendProbe) {
	n.probes++
	n.bytes += digestBytes(&e.Digest) + requestOverhead
	request := func(call almondstep.CallID) almondstep.Event {
		return &almondstep.ProbeArrived{Call: call, Digest: e.Digest, Target: e.Target}
	}
	f.callPeer(n, e.To, e.Timeout, request, func(r almondstep.Effect) {
		ended := &almondstep.ProbeEnded{To: e.To, Target: e.Target}
		if reply, ok := r.(*almondstep.ReplyProbe); ok {
			ended.OK = reply.OK
			ended.Digest = &reply.Digest
		}
		f.deliver(n, ended)
	})
}

func (f *fleet) sendPull(n *node, e *almondstep.SendPull) {
	request := func(call almondstep.CallID) almondstep.Event {
		return &almondstep.PullArrived{Call: call, From: n.id, Have: e.Have}
	}
	f.callPeer(n, e.To, time.Second, request, func(r almondstep.Effect) {
		ended := &almondstep.PullEnded{From: e.To, Name: e.Have.Name}
		if reply, ok := r.(*almondstep.ReplyPull); ok {
			ended.Patch = reply.Patch
		}
		f.deliver(n, ended)
	})
}

func (f *fleet) platformReachable(n *node) bool {
	return !f.outage && !f.cut[link{n.id, platform}]
}

func (f *fleet) read(n *node, e *almondstep.ReadDocument) {
	f.reads++
	if !f.platformReachable(n) {
		f.after(time.Second, func() {
			f.deliver(n, &almondstep.DocumentRead{Name: e.Name, Err: "no answer", RequestedAt: e.RequestedAt})
		})
		return
	}
	doc := f.document(e.Name)
	wait := f.latency
	if doc.Revision <= e.After {
		wait = max(e.Wait, f.latency)
	}
	f.after(wait, func() {
		if !f.platformReachable(n) {
			f.deliver(n, &almondstep.DocumentRead{Name: e.Name, Err: "no answer", RequestedAt: e.RequestedAt})
			return
		}
		newest := f.document(e.Name)
		read := &almondstep.DocumentRead{Name: e.Name, RequestedAt: e.RequestedAt, Unchanged: newest.Revision == e.After}
		if !read.Unchanged {
			read.Document = &newest
		}
		f.deliver(n, read)
	})
}

func (f *fleet) document(name almondstep.DocumentName) almondstep.Document {
	if name == almondstep.DocumentConfig {
		return f.config
	}
	if f.listDoc.Revision != f.list.Revision {
		body, _ := json.Marshal(f.list)
		f.listDoc = almondstep.Document{Name: name, Revision: f.list.Revision, Hash: almondstep.HashOf(body), Body: body}
	}
	return f.listDoc
}

func (f *fleet) takeLease(n *node, e *almondstep.TakeZoneLease) {
	if !f.platformReachable(n) {
		f.after(time.Second, func() { f.deliver(n, &almondstep.ZoneLeaseRead{Err: "no answer"}) })
		return
	}
	requestedAt := f.now
	f.after(f.latency, func() {
		held := f.lease[e.Zone]
		if held.id != n.id && held.until > f.now {
			f.deliver(n, &almondstep.ZoneLeaseRead{})
			return
		}
		f.lease[e.Zone] = leaseHolder{id: n.id, until: f.now + e.TTL}
		f.after(f.latency, func() {
			f.deliver(n, &almondstep.ZoneLeaseRead{Held: true, Remaining: e.TTL - (f.now - requestedAt)})
		})
	})
}

const (
	// requestOverhead and responseOverhead are the bytes of HTTP headers around
	// a protobuf digest.
	requestOverhead  = 230
	responseOverhead = 110
)

// digestBytes estimates a digest's size in protobuf.
func digestBytes(d *almondstep.Digest) int {
	n := 12 + len(d.From) + len(d.Addr) + len(d.Zone)
	for _, s := range d.Documents {
		n += 2 + 2 + len(s.Name) + 4 + 2 + len(s.Hash) + 7
	}
	for _, r := range d.Rumors {
		n += 24 + len(r.Daemon) + len(r.Addr) + len(r.Zone) + len(r.Upstream) + len(r.Boot)
	}
	for _, g := range d.ExpiredLeases {
		n += 10 + len(g.Daemon)
	}
	for _, z := range d.Zones {
		n += 10 + len(z.Zone)
	}
	return n
}
