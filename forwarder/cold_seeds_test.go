package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/forwarder"
)

const (
	// simColdRate is the configured rate of calls to a cold server, per second, and simColdBound
	// the calls that it may get in a second from all daemons, as crashConfig has it.
	simColdRate  = 5
	simColdBound = simColdRate*1.5 + 5
	coldSimTime  = 30 * time.Second
	// coldKnownAfter is the time after a change of a server's entry from which on it is in force.
	coldKnownAfter = registryDelay + 5*time.Millisecond
)

// coldSpan is a time for which a server is cold, as of which the daemons know it.
type coldSpan struct {
	server      *simServer
	from, until almondstep.Instant
}

// coldSim is a simulation with servers that become cold again while they run.
type coldSim struct {
	*sim
	spans []*coldSpan
}

func newColdSim(t *testing.T, seed uint64) *coldSim {
	t.Helper()
	s := &coldSim{sim: newSim(t, seed)}
	table := s.view.Directory().Routes()
	spec := almondstep.RouteTableSpec{Version: table.Version() + 1}
	for _, r := range table.Routes() {
		spec.Routes = append(spec.Routes, *r)
	}
	spec.Services = []almondstep.RoutedService{{Name: shardName(0), MaxConnections: 26, ColdPerSecond: simColdRate}}
	routes, err := almondstep.NewRouteTable(spec)
	if err != nil {
		t.Fatal(err)
	}
	s.revision++
	changes := &almondstep.RegistryChanges{Revision: s.revision, Routes: routes}
	for i := range simDaemons {
		changes.Daemons = append(changes.Daemons, almondstep.DaemonChange{
			Daemon: almondstep.DaemonID("abc"[i : i+1]), Alive: true, Addr: "127.0.0.1:1", Revision: s.revision,
		})
	}
	s.reduceControl(&almondstep.RegistryRead{Changes: changes})
	return s
}

// becomeCold makes a server cold for a time from now on, or warm if the time is 0, and writes its
// entry. The cold time of one that is cold already grows, shrinks or ends.
func (s *coldSim) becomeCold(server *simServer, d time.Duration) {
	span := &coldSpan{server: server, from: s.now.Add(coldKnownAfter)}
	for _, known := range s.spans {
		if known.server != server || known.until <= s.now {
			continue
		}
		if known.until > span.from && d > 0 {
			span = known
			break
		}
		known.until = s.now
	}
	if span.until == 0 {
		s.spans = append(s.spans, span)
	}
	span.until = s.now.Add(d)
	server.upstream.ColdFor = d
	s.list(server)
	server.upstream.ColdFor = 0
}

// order sends a request to a daemon, and observes when it is refused.
func (s *coldSim) order() {
	at := s.now
	s.request(s.anyDaemon(), "POST", fmt.Sprint("/order/", s.nextID), func(r *almondstep.Reply) { s.observe(at, r) })
}

// restart replaces a daemon's process by one that knows nothing of before.
func (s *coldSim) restart(d *simDaemon) {
	cfg := crashConfig()
	cfg.Zone, cfg.Seed = "z0", s.rng.Uint64()
	d.f = forwarder.New(cfg)
	clear(d.open)
	clear(d.waiting)
	s.reduce(d, &almondstep.ViewChanged{})
}

// checkCold checks that no server got more calls than a cold one may in any second for which it was
// known to be cold.
func (s *coldSim) checkCold() {
	s.t.Helper()
	for _, span := range s.spans {
		all := s.arrivals[span.server]
		for i, from := range all {
			if from < span.from || from.Add(time.Second) > span.until {
				continue
			}
			n := 0
			for _, at := range all[i:] {
				if at < from.Add(time.Second) {
					n++
				}
			}
			if float64(n) > simColdBound {
				s.t.Fatalf("%v: got %d calls in a second at cold server %s, want at most %.1f",
					time.Duration(from), n, span.server.upstream.ID, float64(simColdBound))
			}
		}
	}
}

// Guards against FAILBACK: a server becomes cold again while it runs, or its cold time grows, and it
// gets calls at its full rate; also if many servers begin at once, and if daemons restart meanwhile.
func TestServersThatAreColdAgainGetFullRateOverSeeds(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newColdSim(t, seed)
			for at := time.Duration(0); at < coldSimTime; at += 5 * time.Millisecond {
				s.after(at, s.order)
			}
			for range 25 {
				server := s.servers[s.rng.IntN(len(s.servers))]
				d := time.Duration(s.rng.IntN(6)) * time.Second
				s.after(time.Duration(s.rng.Int64N(int64(coldSimTime))), func() { s.becomeCold(server, d) })
			}
			if seed%2 == 0 {
				s.after(10*time.Second, func() { s.restart(s.daemons[0]) })
			}
			if seed%3 == 0 {
				s.after(20*time.Second, func() {
					for _, server := range s.servers {
						s.becomeCold(server, 3*time.Second)
					}
				})
			}
			s.run(s.now.Add(coldSimTime))
			s.checkCold()
			if s.refusedLate > 0 {
				t.Errorf("got %d requests that waited for their refusal, want none", s.refusedLate)
			}
		})
	}
}

// A group of servers that are all cold serves what it may get, and the rest is refused at once.
func TestAllServersColdServeWhatTheyMay(t *testing.T) {
	s := newColdSim(t, 1)
	for _, server := range s.servers {
		s.becomeCold(server, time.Minute)
	}
	s.run(s.now.Add(2 * time.Second))
	for at := time.Duration(0); at < coldSimTime; at += 5 * time.Millisecond {
		s.after(at, s.order)
	}
	s.run(s.now.Add(coldSimTime))
	s.checkCold()
	if got, want := s.served, int(simColdRate*coldSimTime.Seconds())*len(s.servers); got < want {
		t.Errorf("got %d requests served, want at least %d", got, want)
	}
	if s.refusedLate > 0 {
		t.Errorf("got %d requests that waited for their refusal, want none", s.refusedLate)
	}
}
