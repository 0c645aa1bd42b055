package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

const (
	// outageSimTime is the time of a simulation of outages.
	outageSimTime = 100 * time.Second
	// servedAgainWithin is the time after the last server was lost within which no sound request is
	// refused any more: the servers are back after crashDowntime, and a recheck takes place after that.
	servedAgainWithin = 30 * time.Second
)

// outage loses all servers of the service at once, or one shortly after the other.
func (s *sim) outage() {
	apart := time.Duration(s.rng.IntN(2)) * 300 * time.Millisecond
	for i, server := range s.servers {
		s.after(time.Duration(i)*apart/time.Duration(len(s.servers)), func() {
			if !server.silent {
				s.crash(server, s.rng.IntN(2) == 0)
			}
		})
	}
}

// popularTarget returns one of a few targets that many callers request. The last one is requested
// only from the outage on, so that no server has ever answered it then.
func (s *sim) popularTarget(from almondstep.Instant) string {
	n := s.rng.IntN(4)
	if n == 3 && s.now < from {
		n = 0
	}
	return fmt.Sprint("/one/popular", n)
}

// Guards against CONFIG and BUDGET: a request that is in flight at all servers when they are lost
// is refused long after they are back, as if it had crashed them; or one that does crash them is
// sent on and on, because it is tried again and again.
func TestOutagesOverSeeds(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, seed)
			s.mayRefuse, s.loud = true, seed%2 == 0
			outageAt := s.now.Add(time.Duration(8+s.rng.IntN(8)) * time.Second)
			s.after(outageAt.Sub(s.now), s.outage)
			for at := time.Duration(0); at < outageSimTime; at += 5 * time.Millisecond {
				s.after(at, func() { s.attempt(s.popularTarget(outageAt.Add(-10*time.Millisecond)), s.rng.IntN(simDaemons), 1) })
			}
			s.tickFor(outageSimTime)
			if seed%4 >= 2 {
				for at := 20 * time.Second; at < outageSimTime; at += 400 * time.Millisecond {
					s.after(at, func() { s.attempt(crashPath, s.rng.IntN(simDaemons), 1) })
				}
			}
			s.run(s.now.Add(outageSimTime))
			s.checkCrashes()
			s.checkServedAgain()
		})
	}
}

// checkServedAgain checks that no sound request was refused long after the last server was lost.
func (s *sim) checkServedAgain() {
	s.t.Helper()
	late := 0
	for _, at := range s.refused {
		if at > s.lastDownAt.Add(servedAgainWithin) {
			late++
		}
	}
	if late > 0 {
		s.t.Errorf("got %d refusals of sound requests later than %v after the last server was lost, and %d in all; want none",
			late, servedAgainWithin, len(s.refused))
	}
	if s.served == 0 {
		s.t.Error("no request was served")
	}
}

// Guards against BUDGET and LOST: a request that crashes servers while others of the service run
// on is tried again although they would have answered a sound one, and takes the requests beside
// it along.
func TestRequestThatCrashesSomeServersIsNotTriedSoon(t *testing.T) {
	const seeds, crashTime = 10, 50 * time.Second
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, seed)
			s.loud = true
			for at := time.Duration(0); at < crashTime; at += 4 * time.Millisecond {
				s.after(at, func() { s.attempt(s.target(), s.rng.IntN(simDaemons), 3) })
			}
			s.tickFor(crashTime)
			for at := 10 * time.Second; at < crashTime; at += time.Second {
				s.after(at, func() { s.attempt(crashPath, s.rng.IntN(simDaemons), 1) })
			}
			s.run(s.now.Add(crashTime))
			s.checkCrashes()
			if last := s.crashes[len(s.crashes)-1]; last > s.crashes[0].Add(12*time.Second) {
				t.Errorf("got a crash %v after the first, want none so late", last.Sub(s.crashes[0]))
			}
		})
	}
}
