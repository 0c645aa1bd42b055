package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

const (
	// From pauseNoticed after an answer that asks a daemon for a pause on, a server may get
	// mayArriveInPause calls from it until the end of that time.
	pauseNoticed     = 500 * time.Millisecond
	mayArriveInPause = 2
	pauseSimTime     = 30 * time.Second
	// A server has busySlots, in each of which a call takes busyWork, and turns away calls above
	// busyCalls at a time.
	busySlots = 4
	busyCalls = 16
	busyWork  = 60 * time.Millisecond
)

// pauseSim is a simulation with servers that ask for a pause when they are full.
type pauseSim struct {
	*sim
	busy    map[*simServer]int
	freeAt  map[*simServer]*[busySlots]almondstep.Instant
	arrived map[pausePair][]almondstep.Instant
	asked   map[pausePair][]askedPause
	// oddRetry counts the requests that were refused for a time that isn't the rest of a pause.
	oddRetry int
}

type pausePair struct {
	daemon *simDaemon
	server *simServer
}

type askedPause struct{ at, until almondstep.Instant }

func newPauseSim(t *testing.T, seed uint64) *pauseSim {
	t.Helper()
	s := &pauseSim{
		sim: newSim(t, seed), busy: map[*simServer]int{}, freeAt: map[*simServer]*[busySlots]almondstep.Instant{},
		arrived: map[pausePair][]almondstep.Instant{}, asked: map[pausePair][]askedPause{},
	}
	s.answers = s.answer
	for _, server := range s.servers {
		s.freeAt[server] = &[busySlots]almondstep.Instant{}
	}
	return s
}

// answer lets a server work on a call or, if it is full, ask for a pause of a random time.
func (s *pauseSim) answer(d *simDaemon, c *almondstep.SendCall, server *simServer, sentAt almondstep.Instant) bool {
	pair, run := pausePair{d, server}, server.run
	s.arrived[pair] = append(s.arrived[pair], s.now)
	if s.busy[server] < busyCalls {
		s.busy[server]++
		free := &s.freeAt[server][0]
		for i := range s.freeAt[server] {
			if at := &s.freeAt[server][i]; *at < *free {
				free = at
			}
		}
		*free = max(*free, s.now).Add(busyWork)
		s.after(free.Sub(s.now), func() {
			if server.run == run {
				s.busy[server]--
				s.end(d, c.Call, almondstep.CallDone, sentAt)
			}
		})
		return true
	}
	after := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
	s.after(time.Millisecond, func() {
		open := d.open[c.Call]
		if open == nil {
			// The call was canceled before the answer came.
			return
		}
		delete(d.open, c.Call)
		s.asked[pair] = append(s.asked[pair], askedPause{at: s.now, until: s.now.Add(after)})
		s.reduce(d, &almondstep.CallEnded{
			ID: open.ID, Call: c.Call, Result: almondstep.CallShed, Took: s.now.Sub(sentAt), RetryAfter: after,
			Response: &almondstep.ResponseMessage{Status: 503},
		})
	})
	return true
}

// ask sends a request to a daemon, and observes how it is refused.
func (s *pauseSim) ask() {
	at := s.now
	s.request(s.anyDaemon(), "GET", fmt.Sprint("/one/", s.nextID), func(r *almondstep.Reply) {
		s.observe(at, r)
		if r.Code == almondstep.CodeLimited && (r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 6*time.Second) {
			s.oddRetry++
		}
	})
}

// restart ends a server's run and begins another one under the same ID, which knows of no pause.
func (s *pauseSim) restart(server *simServer) {
	server.run++
	s.busy[server], s.freeAt[server] = 0, &[busySlots]almondstep.Instant{}
	for pair := range s.asked {
		if pair.server == server {
			s.asked[pair] = nil
		}
	}
	server.upstream.Started = time.UnixMilli(int64(time.Duration(s.now) / time.Millisecond))
	s.list(server)
}

// Guards against BUDGET: a server that turns calls away and asks for a pause gets more from the same
// daemon, first calls, retries or hedges; and against daemons that never return, or whose callers wait.
func TestPausesOverSeeds(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newPauseSim(t, seed)
			for at := time.Duration(0); at < pauseSimTime; at += time.Millisecond {
				every := 6 * time.Millisecond
				if at > 5*time.Second && at < 9*time.Second {
					every = 2 * time.Millisecond
				}
				if at%every == 0 {
					s.after(at, s.ask)
				}
			}
			if seed%2 == 0 {
				s.after(7*time.Second, func() { s.restart(s.servers[0]) })
			}
			s.run(s.now.Add(pauseSimTime))
			s.checkPauses()
			if s.refusedLate > 0 || s.oddRetry > 0 {
				t.Errorf("got %d requests that waited for their refusal and %d with an odd Retry-After, want none", s.refusedLate, s.oddRetry)
			}
			if got, want := s.served, int(pauseSimTime/(6*time.Millisecond))*3/4; got < want {
				t.Errorf("got %d requests served, want at least %d", got, want)
			}
		})
	}
}

// checkPauses checks what each server got from each daemon that it had asked for a pause.
func (s *pauseSim) checkPauses() {
	s.t.Helper()
	pauses := 0
	for pair, asked := range s.asked {
		for _, p := range asked {
			pauses++
			n := 0
			for _, at := range s.arrived[pair] {
				if at > p.at.Add(pauseNoticed) && at < p.until {
					n++
				}
			}
			if n > mayArriveInPause {
				s.t.Fatalf("%v: got %d calls in a pause of %v, want at most %d", time.Duration(p.at), n, p.until.Sub(p.at), mayArriveInPause)
			}
		}
	}
	if pauses == 0 {
		s.t.Error("no server asked for a pause")
	}
}
