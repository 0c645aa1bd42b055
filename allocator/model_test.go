package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstep"
	"almondstep/allocator"
	"almondstep/scheduler"
)

// model runs the allocators of a fleet in virtual time, with a network that loses messages and
// clocks of different speeds.
type model struct {
	t     *testing.T
	rng   *rand.Rand
	cfg   allocator.Config
	now   time.Duration
	queue scheduler.Queue[time.Duration]
	nodes []*node
	loss  float64
	// members are the daemons that haven't left, changes counts those that have.
	members []almondstep.Member
	changes int
	// viewOf returns a view of some daemons at one whose start the registry listed some.
	viewOf func(members []almondstep.Member, atStart int) *almondstep.View
	// cut holds, for each pair of nodes, whether no message passes.
	cut func(a, b *node) bool
	// returns is the probability that a granted request isn't sent, and its quota returned.
	returns float64
	// lender is the daemon that was asked last.
	lender *node
	// coordinator is the daemon that a report went to last, reporters are those that report.
	coordinator *node
	reporters   map[almondstep.DaemonID]bool
	lastID      almondstep.QueryID
	granted     map[almondstep.OrganisationName][]time.Duration
	refused     int
	unknown     int
	messages    map[string]int
	// reference, if set, decides on each request too; lost counts those of the admissible ones
	// that the allocators don't grant.
	reference        *reference
	admissible, lost int
}

// node is one daemon; epoch counts its processes.
type node struct {
	member    almondstep.Member
	allocator *allocator.Allocator
	view      *almondstep.View
	epoch     uint64
	down      bool
	// speed is that of its clock.
	speed float64
	// changes is the number of changes of the fleet that its view has.
	changes int
	// granted counts the requests granted to its clients.
	granted int
}

// organisation returns an organisation with a limit.
func organisation(t *testing.T, name string, rate, burst float64) *almondstep.Organisation {
	t.Helper()
	o, err := almondstep.NewOrganisation(almondstep.OrganisationSpec{Name: almondstep.OrganisationName(name), Rate: rate, Burst: burst})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// newModel returns a model of daemons in three regions with two zones each.
func newModel(t *testing.T, seed uint64, daemons int, cfg allocator.Config, organisations ...*almondstep.Organisation) *model {
	t.Helper()
	routes, err := almondstep.NewRouteTable(almondstep.RouteTableSpec{Organisations: organisations})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, cut: func(*node, *node) bool { return false },
		granted: map[almondstep.OrganisationName][]time.Duration{}, messages: map[string]int{}, reporters: map[almondstep.DaemonID]bool{},
	}
	var members []almondstep.Member
	for i := range daemons {
		zone := fmt.Sprint(i % 6)
		members = append(members, almondstep.Member{
			ID: almondstep.DaemonID(fmt.Sprintf("d%d", i)), Addr: almondstep.Address(fmt.Sprint(i)), Cores: 0.2 + float64(m.rng.IntN(4))/10,
			Zone: almondstep.ZoneName(zone), Region: almondstep.RegionName(fmt.Sprint(i % 3)),
		})
	}
	m.viewOf = func(members []almondstep.Member, atStart int) *almondstep.View {
		return almondstep.NewView(almondstep.ViewSpec{
			Directory: almondstep.NewDirectory(almondstep.DirectorySpec{Routes: routes, Members: members, MembersAtStart: atStart, Daemons: len(members)}),
		})
	}
	m.members = members
	view := m.viewOf(members, len(members))
	for _, member := range members {
		n := &node{member: member, view: view, speed: 0.998 + 0.004*m.rng.Float64()}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	for _, n := range m.nodes {
		m.tick(n)
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.queue.Add(m.now+d, run)
}

func (m *model) run(d time.Duration) {
	until := m.now + d
	for at, run, ok := m.queue.Next(until); ok; at, run, ok = m.queue.Next(until) {
		m.now = at
		run()
	}
	m.now = until
}

// start starts a new process of a daemon.
func (m *model) start(n *node) {
	n.epoch++
	cfg := m.cfg
	cfg.Self, cfg.Epoch = n.member.ID, n.epoch*1000+uint64(len(m.nodes))+m.rng.Uint64N(1<<40)<<16
	n.allocator, n.down = allocator.New(cfg), false
}

func (m *model) tick(n *node) {
	m.reduce(n, &almondstep.ControlTick{})
	m.after(almondstep.TickInterval+time.Duration(m.rng.IntN(int(20*time.Millisecond))), func() { m.tick(n) })
}

// reduce passes an event to a daemon and performs the effects.
func (m *model) reduce(n *node, e almondstep.Event) {
	if n.down {
		return
	}
	now := almondstep.Instant(float64(m.now) * n.speed)
	for _, f := range n.allocator.Reduce(now, n.view, e, nil) {
		switch f := f.(type) {
		case *almondstep.QuotaDecided:
			m.decided(n, f)
		case *almondstep.SendQuotaAsk:
			m.messages["ask"]++
			m.lender = m.node(f.To)
			m.call(n, f.To, &almondstep.QuotaAsked{Ask: f.Ask}, f.Timeout, func(reply almondstep.Effect) almondstep.Event {
				e := &almondstep.QuotaAnswered{Call: f.Call, Err: "no answer"}
				if r, ok := reply.(*almondstep.ReplyQuotaAsk); ok {
					e.Answer = &r.Answer
				}
				return e
			})
		case *almondstep.SendQuotaReport:
			m.messages["report"]++
			m.coordinator, m.reporters[n.member.ID] = m.node(f.To), true
			m.call(n, f.To, &almondstep.QuotaReported{Report: f.Report}, f.Timeout, func(reply almondstep.Effect) almondstep.Event {
				e := &almondstep.QuotaLeased{Call: f.Call, Err: "no answer"}
				if r, ok := reply.(*almondstep.ReplyQuotaReport); ok {
					e.Lease = &r.Lease
				}
				return e
			})
		}
	}
}

// call sends a message and its reply; the caller gets one outcome, the reply or the timeout. The
// message arrives also if its sender has given up.
func (m *model) call(from *node, id almondstep.DaemonID, e almondstep.Event, timeout time.Duration, outcome func(almondstep.Effect) almondstep.Event) {
	to, epoch, ended := m.node(id), from.epoch, false
	end := func(reply almondstep.Effect) {
		if !ended && from.epoch == epoch {
			ended = true
			m.reduce(from, outcome(reply))
		}
	}
	m.after(timeout, func() { end(nil) })
	m.send(from, to, func() {
		if to.down {
			return
		}
		for _, reply := range to.allocator.Reduce(almondstep.Instant(float64(m.now)*to.speed), to.view, e, nil) {
			switch reply.(type) {
			case *almondstep.ReplyQuotaAsk, *almondstep.ReplyQuotaReport:
				m.send(to, from, func() { end(reply) })
			}
		}
	})
}

// send delivers a message after the latency between two daemons, and sometimes much later.
func (m *model) send(from, to *node, deliver func()) {
	if m.cut(from, to) || m.rng.Float64() < m.loss {
		return
	}
	latency := 20 * time.Millisecond
	if from.member.Region == to.member.Region {
		latency = 900 * time.Microsecond
	}
	if m.loss > 0 && m.rng.IntN(50) == 0 {
		latency += time.Duration(m.rng.Int64N(int64(2 * time.Second)))
	}
	m.after(latency, deliver)
}

func (m *model) node(id almondstep.DaemonID) *node {
	for _, n := range m.nodes {
		if n.member.ID == id {
			return n
		}
	}
	m.t.Fatalf("no daemon %q", id)
	return nil
}

func (m *model) decided(n *node, e *almondstep.QuotaDecided) {
	if m.reference != nil && m.reference.admits[e.ID] {
		m.admissible++
		if !e.Granted {
			m.lost++
		}
	}
	switch {
	case e.Granted && m.rng.Float64() < m.returns:
		m.reduce(n, &almondstep.ReturnQuota{Organisation: e.Organisation})
	case e.Granted:
		n.granted++
		m.granted[e.Organisation] = append(m.granted[e.Organisation], m.now)
	case e.Unknown:
		m.unknown++
	default:
		m.refused++
	}
}
