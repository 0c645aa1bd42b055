package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
	"almondstep/scheduler"
	"almondstep/watcher"
)

const (
	// The servers renew their entries so that these are removed entryTTL after their last
	// sign of life; crashDowntime is how long a crashed one is away.
	entryTTL      = 3600 * time.Millisecond
	crashDowntime = 4900 * time.Millisecond
	// registryDelay is how long a change of the registry takes to the daemons, or a crash
	// that a daemon reports to the others.
	registryDelay = 400 * time.Millisecond
	// From stability after the third crash on, a request may crash mayFollow servers more.
	stability = 5 * time.Second
	mayFollow = 3
	// One request has the seconds of simTime to crash servers, in each of which it comes once.
	simTime    = 40 * time.Second
	crashPath  = "/one/crash"
	simDaemons = 3
	simZones   = 3
	simPerZone = 2
)

// sim simulates, in virtual time, daemons that send requests to the servers of one service,
// while faults befall the servers. The daemons share one control thread.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	now     almondstep.Instant
	queue   scheduler.Queue[almondstep.Instant]
	control *watcher.Watcher
	view    *almondstep.View
	nextID  almondstep.QueryID
	daemons []*simDaemon
	servers []*simServer
	// revision is that of the registry.
	revision uint64
	// crashes has the times at which the crashing request began to run at a server that it
	// crashed.
	crashes []almondstep.Instant
	served  int
	// refusedLate counts the requests that observe has found refused later than at once.
	refusedLate int
	// refused has the times at which sound requests were refused as those that crash servers;
	// such a refusal is a failure if none may be refused at all.
	refused    []almondstep.Instant
	mayRefuse  bool
	loud       bool
	claimed    map[almondstep.CrashRecord]bool
	lastDownAt almondstep.Instant
	// answers, if set, lets a server answer a call that has arrived in another way than usual, and
	// reports whether it does.
	answers func(d *simDaemon, c *almondstep.SendCall, server *simServer, sentAt almondstep.Instant) bool
	// arrivals has the times at which calls arrived at each server.
	arrivals map[*simServer][]almondstep.Instant
}

// simDaemon is one daemon's traffic thread.
type simDaemon struct {
	f *forwarder.Forwarder
	// open has the pending calls, and waiting what becomes of a request's reply.
	open    map[almondstep.CallID]*almondstep.SendCall
	waiting map[almondstep.QueryID]func(*almondstep.Reply)
}

// simServer is a server of the service.
type simServer struct {
	upstream almondstep.Upstream
	// run counts its runs; silent is whether the present one answers nothing, for good or
	// until silentUntil.
	run         int
	silent      bool
	silentUntil almondstep.Instant
	// work is how long it works on a request.
	work time.Duration
}

func newSim(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 32)), now: almondstep.Instant(time.Second), claimed: map[almondstep.CrashRecord]bool{}, arrivals: map[*simServer][]almondstep.Instant{},
		control: watcher.New(watcher.Config{Self: "a", Zone: "z0", MaxAge: time.Hour}), view: almondstep.NewView(almondstep.ViewSpec{}),
	}
	for i := range simZones * simPerZone {
		server := &simServer{work: 8 * time.Millisecond, upstream: almondstep.Upstream{
			ID: almondstep.UpstreamID(fmt.Sprintf("i%d", i)), Service: shardName(0), Slots: 4, Region: near,
			Zone: almondstep.ZoneName(fmt.Sprintf("z%d", i%simZones)), Started: time.UnixMilli(int64(1000 + i)),
		}}
		s.servers = append(s.servers, server)
	}
	for i := range simDaemons {
		cfg := crashConfig()
		cfg.RenewInterval = entryTTL / 3
		cfg.Zone, cfg.Seed = almondstep.ZoneName(fmt.Sprintf("z%d", i)), seed+uint64(i)
		s.daemons = append(s.daemons, &simDaemon{
			f:       forwarder.New(cfg),
			open:    map[almondstep.CallID]*almondstep.SendCall{},
			waiting: map[almondstep.QueryID]func(*almondstep.Reply){},
		})
	}
	routes := directory(t, 1, func(spec *almondstep.RouteSpec) { spec.Attempts = 3 }).Routes()
	s.revision++
	changes := &almondstep.RegistryChanges{Revision: s.revision, Routes: routes}
	for _, server := range s.servers {
		changes.Upstreams = append(changes.Upstreams, s.entry(server))
	}
	s.reduceControl(&almondstep.RegistryRead{Full: true, Changes: changes})
	return s
}

// after runs a function after a time.
func (s *sim) after(d time.Duration, run func()) {
	s.queue.Add(s.now.Add(max(0, d)), run)
}

func (s *sim) run(until almondstep.Instant) {
	for at, run, ok := s.queue.Next(until); ok; at, run, ok = s.queue.Next(until) {
		s.now = at
		run()
	}
}

// entry returns the change that lists a server.
func (s *sim) entry(server *simServer) almondstep.UpstreamChange {
	u := server.upstream
	return almondstep.UpstreamChange{Key: string(u.ID), Revision: s.revision, Upstream: &u}
}

// list writes a server's entry; unlist removes it.
func (s *sim) list(server *simServer) {
	s.revision++
	c := s.entry(server)
	s.changed(&almondstep.RegistryChanges{Revision: s.revision, Upstreams: []almondstep.UpstreamChange{c}})
}

func (s *sim) unlist(id almondstep.UpstreamID) {
	s.revision++
	c := almondstep.UpstreamChange{Key: string(id), Revision: s.revision}
	s.changed(&almondstep.RegistryChanges{Revision: s.revision, Upstreams: []almondstep.UpstreamChange{c}})
}

func (s *sim) changed(c *almondstep.RegistryChanges) {
	s.after(registryDelay, func() { s.reduceControl(&almondstep.RegistryRead{Changes: c}) })
}

func (s *sim) reduceControl(e almondstep.Event) {
	before := s.view
	for _, effect := range s.control.Reduce(s.now, e, nil) {
		switch effect := effect.(type) {
		case *almondstep.PublishView:
			s.view = effect.View
		case *almondstep.RecordCrashes:
			for _, r := range effect.Remove {
				delete(s.claimed, r)
			}
			s.after(0, func() { s.reduceControl(&almondstep.CrashesRecorded{RecordCrashes: *effect}) })
		}
	}
	if s.view != before {
		for _, d := range s.daemons {
			s.reduce(d, &almondstep.ViewChanged{})
		}
	}
}

// reduce passes an event to a daemon, and performs the effects.
func (s *sim) reduce(d *simDaemon, e almondstep.Event) {
	for _, effect := range d.f.Reduce(s.now, s.view, e, nil) {
		switch effect := effect.(type) {
		case *almondstep.SendCall:
			s.send(d, effect)
		case *almondstep.CancelCall:
			s.after(effect.After, func() { s.end(d, effect.Call, almondstep.CallCanceled, s.now.Add(-effect.After)) })
		case *almondstep.SetRequestTimer:
			s.after(effect.After, func() { s.reduce(d, &almondstep.RequestTimer{ID: effect.ID}) })
		case *almondstep.RequestCrashed:
			s.after(registryDelay, func() { s.reduceControl(effect) })
		case *almondstep.RequestSurvived:
			s.after(registryDelay, func() { s.reduceControl(effect) })
		case *almondstep.RecheckBegan:
			s.after(registryDelay, func() { s.reduceControl(effect) })
		case *almondstep.RecheckReleased:
			s.after(registryDelay, func() { s.reduceControl(effect) })
		case *almondstep.ClaimRecheck:
			s.after(time.Millisecond, func() { s.claim(d, effect) })
		case *almondstep.ReplyRequest:
			if reply := d.waiting[effect.ID]; reply != nil {
				delete(d.waiting, effect.ID)
				reply(effect.Reply)
			}
		}
	}
}

// request sends a request to a daemon, with what becomes of its reply.
func (s *sim) request(d *simDaemon, method, target string, reply func(*almondstep.Reply)) almondstep.QueryID {
	s.nextID++
	id := s.nextID
	d.waiting[id] = reply
	s.reduce(d, &almondstep.RequestArrived{ID: id, Remaining: time.Second, Request: &almondstep.RequestMessage{
		Key: fmt.Sprint(id), Method: method, Target: target, Path: target, Host: "lots.example",
	}})
	return id
}

// tickFor lets the control thread tick each second for a time.
func (s *sim) tickFor(d time.Duration) {
	for at := time.Second; at < d; at += time.Second {
		s.after(at, func() { s.reduceControl(&almondstep.ControlTick{}) })
	}
}

// observe counts a reply to a request that was sent at an instant.
func (s *sim) observe(at almondstep.Instant, r *almondstep.Reply) {
	const atOnce = 50 * time.Millisecond
	switch {
	case r.Outcome == almondstep.OutcomeComplete:
		s.served++
	case r.Outcome == almondstep.OutcomeNotRun && s.now.Sub(at) > atOnce:
		s.refusedLate++
	}
}

// anyDaemon returns a random daemon.
func (s *sim) anyDaemon() *simDaemon { return s.daemons[s.rng.IntN(len(s.daemons))] }

// claim writes the record of a recheck if there is none.
func (s *sim) claim(d *simDaemon, c *almondstep.ClaimRecheck) {
	e := &almondstep.RecheckClaimed{ID: c.ID, Record: c.Record}
	if s.claimed[c.Record] {
		e.Err = "another write came first"
	}
	s.claimed[c.Record] = true
	s.reduce(d, e)
}

// send delivers a call to the server, unless that is silent.
func (s *sim) send(d *simDaemon, c *almondstep.SendCall) {
	d.open[c.Call] = c
	sentAt := s.now
	s.after(c.Timeout, func() { s.end(d, c.Call, almondstep.CallTimeout, sentAt) })
	server := s.server(c.Upstream.ID)
	s.after(time.Millisecond, func() { s.arrive(d, c, server, sentAt) })
}

func (s *sim) server(id almondstep.UpstreamID) *simServer {
	i := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.upstream.ID == id })
	if i < 0 {
		return nil
	}
	return s.servers[i]
}

// arrive lets a server run a call. A silent one answers when it answers again, if it is in
// the same run then.
func (s *sim) arrive(d *simDaemon, c *almondstep.SendCall, server *simServer, sentAt almondstep.Instant) {
	if server == nil || server.silent && server.silentUntil == 0 {
		if s.loud {
			s.end(d, c.Call, almondstep.CallRefused, sentAt)
		}
		return
	}
	s.arrivals[server] = append(s.arrivals[server], s.now)
	if s.answers != nil && s.answers(d, c, server, sentAt) {
		return
	}
	run := server.run
	if c.Request.Target == crashPath && !server.silent {
		s.crashes = append(s.crashes, s.now)
		s.crash(server, s.rng.IntN(2) == 0)
		return
	}
	took := server.work + time.Duration(s.rng.IntN(8))*time.Millisecond
	if server.silent {
		took += server.silentUntil.Sub(s.now)
	}
	s.after(took, func() {
		if server.run == run && !server.silent {
			s.end(d, c.Call, almondstep.CallDone, sentAt)
		}
	})
}

// end ends a call, unless it has ended.
func (s *sim) end(d *simDaemon, id almondstep.CallID, result almondstep.CallResult, sentAt almondstep.Instant) {
	c := d.open[id]
	if c == nil {
		return
	}
	delete(d.open, id)
	e := &almondstep.CallEnded{ID: c.ID, Call: id, Result: result, Took: s.now.Sub(sentAt)}
	e.Disconnected = result == almondstep.CallBroken
	if result == almondstep.CallDone {
		e.Response = &almondstep.ResponseMessage{Status: 200, Signature: "s"}
	}
	s.reduce(d, e)
}

// crash ends a server's run silently. The next one has its ID or another.
func (s *sim) crash(server *simServer, keepsID bool) {
	old := server.upstream.ID
	s.lastDownAt = s.now
	if s.loud {
		s.disconnect(server)
	}
	server.run++
	run := server.run
	server.silent, server.silentUntil = true, 0
	s.after(entryTTL, func() { s.unlist(old) })
	s.after(crashDowntime, func() {
		if server.run != run {
			return
		}
		server.silent = false
		server.upstream.Started = time.UnixMilli(int64(time.Duration(s.now) / time.Millisecond))
		if !keepsID {
			server.upstream.ID = almondstep.UpstreamID(fmt.Sprintf("%s'", old))
		}
		s.list(server)
	})
}

// disconnect ends the calls that a server has, as a process that crashes does.
func (s *sim) disconnect(server *simServer) {
	for _, d := range s.daemons {
		var ended []almondstep.CallID
		for id, c := range d.open {
			if c.Upstream.ID == server.upstream.ID {
				ended = append(ended, id)
			}
		}
		slices.Sort(ended)
		for _, id := range ended {
			s.after(0, func() { s.end(d, id, almondstep.CallBroken, s.now) })
		}
	}
}

// freeze silences a server for a while, in one run. Its entry lapses if that takes longer
// than entryTTL.
func (s *sim) freeze(server *simServer, d time.Duration) {
	if server.silent {
		return
	}
	run := server.run
	server.silent, server.silentUntil = true, s.now.Add(d)
	if d > entryTTL {
		s.after(entryTTL, func() { s.unlist(server.upstream.ID) })
	}
	s.after(d, func() {
		if server.run == run {
			server.silent = false
			s.list(server)
		}
	})
}
