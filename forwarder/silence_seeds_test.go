package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

// inZone lists the servers of a random zone.
func (s *sim) inZone() []*simServer {
	zone := s.rng.IntN(simZones)
	var list []*simServer
	for i, server := range s.servers {
		if i%simZones == zone {
			list = append(list, server)
		}
	}
	return list
}

// fault lets something befall the servers that isn't due to any request.
func (s *sim) fault() {
	one := s.servers[s.rng.IntN(len(s.servers))]
	switch s.rng.IntN(6) {
	case 0: // slow
		one.work = 400 * time.Millisecond
		s.after(6*time.Second, func() { one.work = 8 * time.Millisecond })
	case 1: // a pause
		s.freeze(one, 2*time.Second)
	case 2: // a cut between the zone and all others, or a freeze of the zone
		for _, server := range s.inZone() {
			s.freeze(server, 6*time.Second)
		}
	case 3: // a zone loses power
		for _, server := range s.inZone() {
			if !server.silent {
				s.crash(server, s.rng.IntN(2) == 0)
			}
		}
	case 4: // one machine loses power
		if !one.silent {
			s.crash(one, true)
		}
	case 5: // a server leaves, and serves on for a while
		if !one.silent {
			s.unlist(one.upstream.ID)
			s.after(6*time.Second, func() {
				if !one.silent {
					s.crash(one, false)
				}
			})
		}
	}
}

// attempt sends a request to a daemon, and what fails again to the next ones, as clients do.
func (s *sim) attempt(target string, daemon, tries int) {
	d := s.daemons[daemon%len(s.daemons)]
	id := s.request(d, "GET", target, func(r *almondstep.Reply) {
		switch {
		case r.Code == almondstep.CodeQuarantined && target != crashPath:
			s.refused = append(s.refused, s.now)
			if !s.mayRefuse {
				s.t.Errorf("%v: sound request %s is refused as one that crashes upstreams", time.Duration(s.now), target)
			}
		case r.Outcome == almondstep.OutcomeComplete:
			s.served++
		case tries > 1 && target != crashPath:
			s.after(50*time.Millisecond, func() { s.attempt(target, daemon+1, tries-1) })
		}
	})
	if s.rng.IntN(20) == 0 {
		// The caller leaves early.
		s.after(30*time.Millisecond, func() {
			delete(d.waiting, id)
			s.reduce(d, &almondstep.RequesterGone{ID: id})
		})
	}
}

// target returns a target that is requested once, often, or every few seconds.
func (s *sim) target() string {
	prefix := []string{"/one/", "/one/", "/order/"}[s.rng.IntN(3)]
	switch s.rng.IntN(3) {
	case 0:
		return prefix + fmt.Sprint("once", s.nextID)
	case 1:
		return prefix + fmt.Sprint("often", s.rng.IntN(3))
	default:
		return prefix + fmt.Sprint("seldom", s.rng.IntN(200))
	}
}

// Guards against sound requests that are refused: whatever befalls servers and zones, none
// is. A request under which servers fall silent is refused in time, whether or not something
// else befalls them.
func TestSilentCrashesOverSeeds(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, seed)
			for at := time.Duration(0); at < simTime; at += 10 * time.Millisecond {
				s.after(at, func() { s.attempt(s.target(), s.rng.IntN(simDaemons), 3) })
			}
			s.tickFor(simTime)
			faults := seed%3 != 0
			for range 5 {
				if faults {
					s.after(time.Duration(s.rng.Int64N(int64(simTime))), s.fault)
				}
			}
			if seed%2 == 0 {
				for n := range int(simTime/time.Second) - 3 {
					s.after(time.Duration(n)*time.Second+3*time.Second, func() { s.attempt(crashPath, n, 1) })
				}
			}
			s.run(s.now.Add(simTime))
			if s.served == 0 {
				t.Fatal("no request was served")
			}
			s.checkCrashes()
		})
	}
}

// checkCrashes checks that the crashing request crashed no more servers than it may.
func (s *sim) checkCrashes() {
	s.t.Helper()
	const known = 3
	if len(s.crashes) < known {
		return
	}
	late := 0
	for _, at := range s.crashes {
		if at > s.crashes[known-1].Add(stability) {
			late++
		}
	}
	if late > mayFollow {
		s.t.Errorf("got %d crashes later than %v after the third, and %d in all; want at most %d", late, stability, len(s.crashes), mayFollow)
	}
}
