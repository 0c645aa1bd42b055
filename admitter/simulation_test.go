package admitter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"almondstep"
	"almondstep/admitter"
)

const (
	target   = 150 * time.Millisecond
	deadline = time.Second
	// lateBenefit is what an answer after the latency target is worth to its caller.
	lateBenefit = 0.1
	daemons     = 3
	tick        = time.Millisecond
)

// server simulates an upstream: a FIFO queue, from which calls that are too late are dropped.
type server struct {
	upstream *almondstep.Upstream
	queue    []*callModel
	running  []*callModel
	// factor multiplies the service time.
	factor int
}

// callModel is one call of a request.
type callModel struct {
	id      almondstep.CallID
	request *caller
	daemon  int
	server  *server
	sentAt  almondstep.Instant
	endsAt  almondstep.Instant
}

// caller is a client's request, with its retry if it is refused.
type caller struct {
	id       almondstep.QueryID
	route    *almondstep.Route
	class    int
	org      almondstep.OrganisationName
	daemon   int
	sentAt   almondstep.Instant
	tryAt    almondstep.Instant
	checkAt  almondstep.Instant
	waiting  bool
	retried  bool
	pending  int
	failed   bool
	work     int
	refusals []time.Duration
	// refusedFree counts the refusals while an upstream of each service had a free slot.
	refusedFree int
	// benefit is what the caller got.
	benefit float64
	ended   bool
}

// world simulates clients, daemons and upstreams. Without gates the daemons send each
// request at once: first come, first served.
type world struct {
	t        *testing.T
	now      almondstep.Instant
	random   almondstep.Random
	services map[almondstep.ServiceName][]*server
	order    []*server
	gates    []*admitter.Gate
	// silent is set if the upstreams don't report their load.
	silent   bool
	known    []map[*server]*observed
	callers  map[almondstep.QueryID]*caller
	all      []*caller
	retries  []*caller
	waiting  []*caller
	lastCall almondstep.CallID
}

// observed is what a daemon knows of a server for choosing one.
type observed struct {
	inFlight int
	latency  time.Duration
}

func newWorld(t *testing.T, d *almondstep.Directory, gated bool) *world {
	w := &world{
		t: t, now: almondstep.Instant(time.Second), random: almondstep.NewRandom(1),
		services: map[almondstep.ServiceName][]*server{}, callers: map[almondstep.QueryID]*caller{},
	}
	for i := range daemons {
		w.known = append(w.known, map[*server]*observed{})
		if gated {
			w.gates = append(w.gates, admitter.NewGate(uint64(i)))
			w.gates[i].UpdateDirectory(d)
		}
	}
	for i := range len(d.AllUpstreams()) {
		s := serviceName(i)
		for _, u := range d.Upstreams(s) {
			sv := &server{upstream: u, factor: 1}
			w.services[s] = append(w.services[s], sv)
			w.order = append(w.order, sv)
			for _, k := range w.known {
				k[sv] = &observed{latency: 10 * time.Millisecond}
			}
		}
	}
	return w
}

func serviceName(i int) almondstep.ServiceName { return almondstep.ServiceName(fmt.Sprint("s", i)) }

// directory returns services with the given numbers of upstreams, and a route: over all of
// them as shards, or to the only one.
func directory(t *testing.T, upstreams ...int) (*almondstep.Directory, [3]*almondstep.Route) {
	t.Helper()
	spec := almondstep.RouteTableSpec{Version: 1}
	listed := map[almondstep.ServiceName][]*almondstep.Upstream{}
	route := almondstep.RouteSpec{Host: "h", Idempotent: true, Timeout: deadline, LatencyTarget: target, MinCoverage: 1, Records: 1}
	for i, n := range upstreams {
		s := serviceName(i)
		spec.Services = append(spec.Services, almondstep.RoutedService{Name: s, MaxConnections: 56})
		route.Shards = append(route.Shards, s)
		for j := range n {
			listed[s] = append(listed[s], &almondstep.Upstream{ID: almondstep.UpstreamID(fmt.Sprint(s, "-", j)), Service: s, Slots: 2})
		}
	}
	if len(upstreams) == 1 {
		route.Targets, route.Shards = []almondstep.RouteTarget{{Service: "s0", Weight: 1}}, nil
	}
	var routes [3]*almondstep.Route
	for class := range routes {
		route.Name, route.Prefix, route.Priority = almondstep.RouteName(fmt.Sprint(class)), fmt.Sprintf("/%d/", class), class
		r, err := almondstep.NewRoute(route)
		if err != nil {
			t.Fatal(err)
		}
		routes[class] = &r
		spec.Routes = append(spec.Routes, r)
	}
	table, err := almondstep.NewRouteTable(spec)
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewDirectory(almondstep.DirectorySpec{Routes: table, Upstreams: listed, Daemons: daemons}), routes
}

func (w *world) float() float64 { return float64(w.random.Next()>>11) / (1 << 53) }

// arrivals adds the requests of one tick of a class and organisation at a rate per second.
func (w *world) arrivals(r *almondstep.Route, org almondstep.OrganisationName, perSecond float64) {
	for n := perSecond * tick.Seconds(); n > 0; n-- {
		if w.float() >= n {
			continue
		}
		c := &caller{
			id: almondstep.QueryID(len(w.all) + 1), route: r, class: r.Priority(), org: org,
			daemon: int(w.random.Next() % daemons), sentAt: w.now,
		}
		w.all = append(w.all, c)
		w.try(c)
	}
}

// try sends the request to its daemon.
func (w *world) try(c *caller) {
	c.tryAt = w.now
	w.callers[c.id] = c
	if w.gates == nil {
		w.dispatch(c)
		return
	}
	g := w.gates[c.daemon]
	a := admitter.Ask{
		ID: c.id, Route: c.route, Service: "s0", Local: true, Priority: c.class, Organisation: c.org,
		Work: max(1, len(c.route.Shards())), ArrivedAt: w.now,
		AnswerBy: w.now.Add(target - 5*time.Millisecond), Deadline: c.sentAt.Add(deadline),
	}
	c.work = a.Work
	v := g.Offer(w.now, a)
	if v.Displaced != 0 {
		w.refuse(w.callers[v.Displaced], v.DisplacedVerdict.RetryAfter)
	}
	switch v.Decision {
	case admitter.Pass:
		w.dispatch(c)
	case admitter.Refuse:
		w.refuse(c, v.RetryAfter)
	default:
		c.waiting, c.checkAt = true, v.CheckAt
		w.waiting = append(w.waiting, c)
		w.startWaiting(c.daemon)
	}
}

// refuse refuses a request. Its client retries once at another daemon if the Retry-After is
// at most a third of its time left.
func (w *world) refuse(c *caller, after time.Duration) {
	c.waiting = false
	c.refusals = append(c.refusals, w.now.Sub(c.tryAt))
	if w.hasFreeSlots() {
		c.refusedFree++
	}
	if left := c.sentAt.Add(deadline).Sub(w.now); c.retried || after > left/3 {
		c.ended = true
		return
	}
	c.retried, c.daemon, c.tryAt = true, (c.daemon+1)%daemons, w.now.Add(after)
	w.retries = append(w.retries, c)
}

// hasFreeSlots reports whether each service has an upstream of the usual speed with a free
// slot.
func (w *world) hasFreeSlots() bool {
	for _, all := range w.services {
		free := false
		for _, sv := range all {
			free = free || sv.factor == 1 && len(sv.running)+len(sv.queue) < sv.upstream.Slots
		}
		if !free {
			return false
		}
	}
	return true
}

func (w *world) startWaiting(daemon int) {
	for {
		id, ok := w.gates[daemon].Next(w.now)
		if !ok {
			return
		}
		w.callers[id].waiting = false
		w.dispatch(w.callers[id])
	}
}

// dispatch sends a call to the server of each service that looks best to the daemon.
func (w *world) dispatch(c *caller) {
	names := c.route.Shards()
	if len(names) == 0 {
		names = []almondstep.ServiceName{"s0"}
	}
	c.pending = len(names)
	for _, s := range names {
		var best *server
		least := math.Inf(1)
		for _, sv := range w.services[s] {
			k := w.known[c.daemon][sv]
			if cost := float64(k.latency) * (1 + float64(k.inFlight)/2) * (1 + w.float()/10); cost < least {
				best, least = sv, cost
			}
		}
		w.known[c.daemon][best].inFlight++
		if w.gates != nil {
			w.gates[c.daemon].Sent(w.now, best.upstream.ID)
		}
		w.lastCall++
		best.queue = append(best.queue, &callModel{id: w.lastCall, request: c, daemon: c.daemon, server: best, sentAt: w.now})
	}
}

// step advances the servers by one tick.
func (w *world) step() {
	for _, sv := range w.order {
		left := sv.running[:0:0]
		for _, call := range sv.running {
			if call.endsAt > w.now {
				left = append(left, call)
				continue
			}
			sv.running = left
			w.end(call, almondstep.CallDone)
		}
		sv.running = left
		for len(sv.running) < sv.upstream.Slots && len(sv.queue) > 0 {
			call := sv.queue[0]
			sv.queue = sv.queue[1:]
			if call.request.ended || w.now > call.request.sentAt.Add(deadline) {
				w.end(call, almondstep.CallShed)
				continue
			}
			call.endsAt = w.now.Add(time.Duration(sv.factor) * (5*time.Millisecond + time.Duration(w.float()*float64(10*time.Millisecond))))
			sv.running = append(sv.running, call)
		}
	}
}

// end ends a call and, with the last one, the request.
func (w *world) end(call *callModel, result almondstep.CallResult) {
	c, sv := call.request, call.server
	took := w.now.Sub(call.sentAt)
	k := w.known[call.daemon][sv]
	k.inFlight--
	k.latency += (took - k.latency) / 4
	if w.gates != nil {
		e := &almondstep.CallEnded{Result: result, Took: took, Response: &almondstep.ResponseMessage{}}
		if !w.silent {
			e.Load = &almondstep.UpstreamLoad{Running: len(sv.running), Waiting: len(sv.queue), Slots: sv.upstream.Slots}
		}
		w.gates[call.daemon].CallEnded(w.now, sv.upstream.ID, took, e)
	}
	c.failed = c.failed || result != almondstep.CallDone
	c.pending--
	if c.pending > 0 {
		return
	}
	if w.gates != nil {
		w.gates[call.daemon].Ended(w.now, c.work)
		w.startWaiting(call.daemon)
	}
	c.ended = true
	switch took := w.now.Sub(c.sentAt); {
	case c.failed || took > deadline:
	case took > target:
		c.benefit = lateBenefit
	default:
		c.benefit = 1
	}
}

// run simulates a duration; offer adds the arrivals of each tick.
func (w *world) run(d time.Duration, offer func(elapsed time.Duration)) {
	began := w.now
	for w.now < began.Add(d) {
		offer(w.now.Sub(began))
		due := w.retries
		w.retries = nil
		for _, c := range due {
			if c.tryAt > w.now {
				w.retries = append(w.retries, c)
				continue
			}
			w.try(c)
		}
		w.step()
		w.check()
		w.now = w.now.Add(tick)
	}
}

// check performs the checks of waiting requests that are due.
func (w *world) check() {
	due := w.waiting
	w.waiting = nil
	for i := range w.gates {
		w.startWaiting(i)
	}
	for _, c := range due {
		if c.waiting && c.checkAt <= w.now {
			if v := w.gates[c.daemon].Check(w.now, c.id); v.Decision == admitter.Refuse {
				w.refuse(c, v.RetryAfter)
			} else {
				c.checkAt = v.CheckAt
			}
		}
		if c.waiting {
			w.waiting = append(w.waiting, c)
		}
	}
}
