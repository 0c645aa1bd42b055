package limiter_test

import (
	"math"
	"time"

	"almondstep"
	"almondstep/scheduler"
)

// This file is a simulation in virtual time of daemons, with the real limiter or a
// naive one, that send requests to one small server.

// decider is a limiter, the real one or a naive one.
type decider interface {
	Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect
}

// model runs one server and the daemons that send to it.
type model struct {
	random  splitmix
	now     almondstep.Instant
	events  scheduler.Queue[almondstep.Instant]
	daemons []decider
	view    *almondstep.View
	server  server

	// open has a function for each call in flight, by start number, that ends the
	// call when the server restarts.
	open map[int]func()

	queries   almondstep.QueryID
	deadlines map[almondstep.QueryID]almondstep.Instant
	// good counts the items done in time in each goodputBucket.
	good   []int
	starts int
	// itemTimeout is each item's time until its deadline.
	itemTimeout time.Duration
}

// server slows down when it runs more requests than its capacity, and crashes
// when it is cold and runs more than crashFactor times its capacity. A cold start
// begins with the capacity for one request, which rises by one after each round.
type server struct {
	slots     int
	service   time.Duration
	cold      bool
	capacity  int
	done      int
	boot      int
	downUntil almondstep.Instant
	running   int
	// peakOver is the maximum by which the running requests exceeded the
	// capacity while the server was cold; crashes counts its crashes from
	// overload.
	peakOver int
	crashes  int
	warmAt   almondstep.Instant
	// round is how many answers raise the capacity of a cold server by one,
	// restartTime how long a restart takes, and reportsCold whether its answers
	// show that it is cold.
	round       int
	restartTime time.Duration
	reportsCold bool
}

const (
	// crashFactor is the multiple of its capacity above which a cold server
	// crashes.
	crashFactor   = 3
	goodputBucket = 100 * time.Millisecond
)

func newModel(seed uint64, daemons []decider, slots int, service time.Duration) *model {
	m := &model{
		random: splitmix(seed), daemons: daemons, itemTimeout: 50 * time.Millisecond,
		open:      map[int]func(){},
		deadlines: map[almondstep.QueryID]almondstep.Instant{},
		server:    server{slots: slots, service: service, capacity: slots},
		view: almondstep.NewView(almondstep.ViewSpec{
			Self: "d1",
			Owned: map[almondstep.Address]almondstep.OwnedUpstream{
				addr: almondstep.NewOwnedUpstream(vm("boot0"), slots, 25, almondstep.GrantFull, almondstep.Cold),
			},
		}),
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.events.Add(m.now.Add(d), do)
}

func (m *model) runUntil(end almondstep.Instant) {
	for at, do, ok := m.events.Next(end); ok; at, do, ok = m.events.Next(end) {
		m.now = at
		do()
	}
	m.now = end
}

// offer schedules items at a mean rate per second, from now for d, each at a
// random daemon.
func (m *model) offer(rate float64, d time.Duration) {
	end := m.now.Add(d)
	var next func()
	next = func() {
		if m.now >= end {
			return
		}
		m.arrive(m.daemons[m.random.below(len(m.daemons))])
		gap := -math.Log(1-float64(m.random.next()>>11)/(1<<53)) / rate
		m.after(time.Duration(gap*float64(time.Second)), next)
	}
	m.after(0, next)
}

func (m *model) arrive(d decider) {
	m.queries++
	w := &almondstep.Work{Query: m.queries, Attempt: 1, Version: 7, Remaining: m.itemTimeout}
	deadline := m.now.Add(m.itemTimeout)
	m.deadlines[w.Query] = deadline
	m.reduce(d, &almondstep.ItemArrived{Item: item(), Work: w, Deadline: deadline})
}

func (m *model) reduce(d decider, e almondstep.Event) {
	for _, f := range d.Reduce(m.now, m.view, e, nil) {
		switch f := f.(type) {
		case *almondstep.StartAttempt:
			m.start(d, f)
		case *almondstep.ItemFinished:
			m.finish(f)
		case *almondstep.SetUpstreamTimer:
			m.after(f.After, func() { m.reduce(d, &almondstep.UpstreamTimer{Addr: addr}) })
		}
	}
}

func (m *model) finish(f *almondstep.ItemFinished) {
	deadline := m.deadlines[f.ID]
	delete(m.deadlines, f.ID)
	if f.Answer.Outcome != almondstep.ItemDone || m.now > deadline {
		return
	}
	for len(m.good) <= int(time.Duration(m.now)/goodputBucket) {
		m.good = append(m.good, 0)
	}
	m.good[int(time.Duration(m.now)/goodputBucket)]++
}

// wasted returns the number of starts without an answer in time.
func (m *model) wasted() int {
	wasted := m.starts
	for _, n := range m.good {
		wasted -= n
	}
	return wasted
}

// goodput returns the items done in time per second between two instants.
func (m *model) goodput(from, to time.Duration) float64 {
	sum := 0
	for i := int(from / goodputBucket); i < int(to/goodputBucket) && i < len(m.good); i++ {
		sum += m.good[i]
	}
	return float64(sum) / (to - from).Seconds()
}

// start runs a request at the server. There is no cancellation: a request that
// the server has accepted runs to its end, also when the daemon no longer waits
// for it.
func (m *model) start(d decider, f *almondstep.StartAttempt) {
	s := &m.server
	m.starts++
	if m.now < s.downUntil {
		m.after(0, func() { m.end(d, f, almondstep.CallRefused, 0) })
		return
	}
	s.running++
	if s.cold {
		s.peakOver = max(s.peakOver, s.running-s.capacity)
		if s.running > crashFactor*s.capacity {
			m.crash()
		}
	}
	slow := max(1, float64(s.running)/float64(s.capacity))
	took := time.Duration(float64(s.service) * slow * (0.5 + float64(m.random.below(1000))/1000))
	boot := s.boot
	m.after(took, func() { m.requestEnded(boot) })
	id := m.starts
	m.open[id] = func() { m.end(d, f, almondstep.CallBroken, 0) }
	m.after(min(took, f.Timeout), func() {
		if m.open[id] == nil {
			return
		}
		delete(m.open, id)
		result := almondstep.CallDone
		if took > f.Timeout {
			result = almondstep.CallTimeout
		}
		m.end(d, f, result, min(took, f.Timeout))
	})
}

func (m *model) requestEnded(boot int) {
	s := &m.server
	if boot != s.boot {
		return
	}
	s.running--
	s.done++
	if s.cold && s.done >= s.round {
		s.done = 0
		s.capacity++
		if s.capacity >= s.slots {
			s.cold = false
			s.warmAt = m.now
		}
	}
}

func (m *model) end(d decider, f *almondstep.StartAttempt, r almondstep.CallResult, took time.Duration) {
	e := &almondstep.AttemptEnded{Addr: addr, Call: f.Call, Result: r, Took: took, Version: 7}
	if r == almondstep.CallDone {
		e.Cold = m.server.cold && m.server.reportsCold
		e.Boot = almondstep.BootID("boot" + string(rune('0'+m.server.boot%10)))
	}
	m.reduce(d, e)
}

// crash restarts the server because of overload.
func (m *model) crash() {
	m.server.crashes++
	m.restart()
}

// restart restarts the server cold and breaks the calls in flight.
func (m *model) restart() {
	s := &m.server
	s.boot++
	s.cold = true
	s.capacity = 1
	s.done = 0
	s.running = 0
	s.warmAt = 0
	s.downUntil = m.now.Add(s.restartTime)
	for id := range m.starts + 1 {
		if broken := m.open[id]; broken != nil {
			delete(m.open, id)
			m.after(0, broken)
		}
	}
}

// fixedLimiter is a naive limiter: a fixed number of requests at a time and a
// queue in order of arrival.
type fixedLimiter struct {
	limit    int
	inFlight map[almondstep.CallID]*almondstep.ItemArrived
	queue    []*almondstep.ItemArrived
	next     almondstep.CallID
}

func newFixedLimiter(limit int) *fixedLimiter {
	return &fixedLimiter{limit: limit, inFlight: map[almondstep.CallID]*almondstep.ItemArrived{}}
}

// Reduce implements decider.
func (s *fixedLimiter) Reduce(_ almondstep.Instant, _ *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.ItemArrived:
		s.queue = append(s.queue, e)
	case *almondstep.AttemptEnded:
		a := s.inFlight[e.Call]
		delete(s.inFlight, e.Call)
		f := &almondstep.ItemFinished{ID: a.Work.Query, Attempt: 1, Answer: almondstep.ItemAnswer{Item: a.Item}}
		if e.Result != almondstep.CallDone {
			f.Answer.Outcome = almondstep.ItemFailed
		}
		out = append(out, f)
	}
	for len(s.inFlight) < s.limit && len(s.queue) > 0 {
		s.next++
		s.inFlight[s.next] = s.queue[0]
		out = append(out, &almondstep.StartAttempt{Addr: addr, Call: s.next, Timeout: time.Minute})
		s.queue = s.queue[1:]
	}
	return out
}
