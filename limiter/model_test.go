package limiter_test

import (
	"container/heap"
	"math"
	"time"

	"almondstep"
)

// A closed model in virtual time: daemons decide with a real limiter or a naive
// one, and one small server runs what they start.

// decider is a limiter, ours or a naive one.
type decider interface {
	Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect
}

type occurrence struct {
	at  almondstep.Instant
	seq int
	do  func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }

func (a *agenda) Pop() any {
	last := len(*a) - 1
	o := (*a)[last]
	*a = (*a)[:last]
	return o
}

// model runs one server and the daemons that send to it.
type model struct {
	random  splitmix
	now     almondstep.Instant
	agenda  agenda
	seq     int
	daemons []decider
	view    *almondstep.View
	server  server

	// open ends the calls at the server, for when it restarts.
	open map[int]func()

	queries   almondstep.QueryID
	deadlines map[almondstep.QueryID]almondstep.Instant
	// good counts the items done in time in each tenth of a second.
	good   []int
	starts int
	budget time.Duration
}

// server slows down when it runs more than it bears, and falls over at far
// more. Cold, it bears one request, and one more after each round.
type server struct {
	slots   int
	service time.Duration
	cold    bool
	bears   int
	done    int
	boot    int
	downTil almondstep.Instant
	running int
	// peakOver is the most that ran over what it bears while it was cold, and
	// falls how often it fell over.
	peakOver int
	falls    int
	warmAt   almondstep.Instant
	// round is how many answers make it bear one request more when cold, away
	// how long a restart takes, and tells whether its answers say it is cold.
	round int
	away  time.Duration
	tells bool
}

const (
	// fallsAt is how many times what it bears makes a cold server fall over.
	fallsAt = 3
	tenth   = 100 * time.Millisecond
)

func newModel(seed uint64, daemons []decider, slots int, service time.Duration) *model {
	m := &model{
		random: splitmix(seed), daemons: daemons, budget: 50 * time.Millisecond,
		open:      map[int]func(){},
		deadlines: map[almondstep.QueryID]almondstep.Instant{},
		server:    server{slots: slots, service: service, bears: slots},
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
	m.seq++
	heap.Push(&m.agenda, occurrence{at: m.now.Add(d), seq: m.seq, do: do})
}

func (m *model) runUntil(end almondstep.Instant) {
	for len(m.agenda) > 0 && m.agenda[0].at <= end {
		o := heap.Pop(&m.agenda).(occurrence)
		m.now = o.at
		o.do()
	}
	m.now = end
}

// offer sends items at a rate per second, from now for d.
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
	w := &almondstep.Work{Query: m.queries, Attempt: 1, Version: 7, Remaining: m.budget}
	deadline := m.now.Add(m.budget)
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
	for len(m.good) <= int(time.Duration(m.now)/tenth) {
		m.good = append(m.good, 0)
	}
	m.good[int(time.Duration(m.now)/tenth)]++
}

// wasted counts the starts that led to no answer in time.
func (m *model) wasted() int {
	wasted := m.starts
	for _, n := range m.good {
		wasted -= n
	}
	return wasted
}

// goodput is the items done in time per second between two instants.
func (m *model) goodput(from, to time.Duration) float64 {
	sum := 0
	for i := int(from / tenth); i < int(to/tenth) && i < len(m.good); i++ {
		sum += m.good[i]
	}
	return float64(sum) / (to - from).Seconds()
}

// start runs a request at the server. It has no cancellation: what it has taken
// runs to its end, also when the daemon has given up.
func (m *model) start(d decider, f *almondstep.StartAttempt) {
	s := &m.server
	m.starts++
	if m.now < s.downTil {
		m.after(0, func() { m.end(d, f, almondstep.CallRefused, 0) })
		return
	}
	s.running++
	if s.cold {
		s.peakOver = max(s.peakOver, s.running-s.bears)
		if s.running > fallsAt*s.bears {
			m.fall()
		}
	}
	slow := max(1, float64(s.running)/float64(s.bears))
	took := time.Duration(float64(s.service) * slow * (0.5 + float64(m.random.below(1000))/1000))
	boot := s.boot
	m.after(took, func() { m.leave(boot) })
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

func (m *model) leave(boot int) {
	s := &m.server
	if boot != s.boot {
		return
	}
	s.running--
	s.done++
	if s.cold && s.done >= s.round {
		s.done = 0
		s.bears++
		if s.bears >= s.slots {
			s.cold = false
			s.warmAt = m.now
		}
	}
}

func (m *model) end(d decider, f *almondstep.StartAttempt, r almondstep.CallResult, took time.Duration) {
	e := &almondstep.AttemptEnded{Addr: addr, Call: f.Call, Result: r, Took: took, Version: 7}
	if r == almondstep.CallDone {
		e.Cold = m.server.cold && m.server.tells
		e.Boot = almondstep.BootID("boot" + string(rune('0'+m.server.boot%10)))
	}
	m.reduce(d, e)
}

// fall is a restart for want of strength, restart one for another reason.
func (m *model) fall() {
	m.server.falls++
	m.restart()
}

func (m *model) restart() {
	s := &m.server
	s.boot++
	s.cold = true
	s.bears = 1
	s.done = 0
	s.running = 0
	s.warmAt = 0
	s.downTil = m.now.Add(s.away)
	for id := range m.starts + 1 {
		if broken := m.open[id]; broken != nil {
			delete(m.open, id)
			m.after(0, broken)
		}
	}
}

// split is the naive limiter: a fixed number of requests at a time, a queue in
// order of arrival, and no other thought.
type split struct {
	limit    int
	inFlight map[almondstep.CallID]*almondstep.ItemArrived
	queue    []*almondstep.ItemArrived
	next     almondstep.CallID
}

func newSplit(limit int) *split {
	return &split{limit: limit, inFlight: map[almondstep.CallID]*almondstep.ItemArrived{}}
}

// Reduce is the decider's.
func (s *split) Reduce(_ almondstep.Instant, _ *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
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
