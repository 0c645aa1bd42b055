package upstream

import (
	"context"
	"time"
)

// verdict says whether a request may run.
type verdict uint8

const (
	beginRun verdict = iota
	// beginShed has no slot and no place to wait.
	beginShed
	// beginWrongVersion asks for a snapshot that isn't held.
	beginWrongVersion
	// beginRefused comes after the end of a drain.
	beginRefused
	// beginFell was in flight when the server fell over.
	beginFell
)

// ticket is one request in flight.
type ticket struct {
	boot    int
	crashed <-chan struct{}
	slots   chan struct{}
	cold    bool
	number  int
}

// begin takes a slot, waiting for one within the queue. A cold server that is
// given more in flight than it bears falls over.
func (s *Server) begin(ctx context.Context, q *callRequest) (*ticket, verdict) {
	s.mu.Lock()
	if v := s.admit(q); v != beginRun {
		s.mu.Unlock()
		return nil, v
	}
	s.state.inFlight++
	s.counters.PeakInFlight = max(s.counters.PeakInFlight, s.state.inFlight)
	t := &ticket{boot: s.state.boot, crashed: s.state.crashed, slots: s.state.slots, cold: s.state.cold}
	if over := s.state.inFlight - s.bearable(); s.state.cold && over > 0 {
		s.counters.Overruns++
		s.counters.PeakOverCold = max(s.counters.PeakOverCold, over)
		s.mu.Unlock()
		s.crash(t.boot, s.CrashDowntime)
		return nil, beginFell
	}
	s.counters.Started++
	t.number = s.counters.Started
	s.mu.Unlock()
	return t, s.takeSlot(ctx, t)
}

// admit says whether a request may take a slot or wait for one. The caller
// holds mu.
func (s *Server) admit(q *callRequest) verdict {
	switch {
	case s.state.refusing:
		s.counters.Refused++
		return beginRefused
	case !s.holds(q):
		s.counters.WrongVersion++
		return beginWrongVersion
	case !s.state.cold && s.state.inFlight >= s.Slots+s.Queue:
		s.counters.Shed++
		return beginShed
	default:
		return beginRun
	}
}

func (s *Server) takeSlot(ctx context.Context, t *ticket) verdict {
	select {
	case t.slots <- struct{}{}:
		return beginRun
	case <-t.crashed:
		return beginFell
	case <-ctx.Done():
		s.leave(t)
		s.count(func(c *Counters) { c.Shed++ })
		return beginShed
	}
}

// bearable is what a cold server bears in flight. The caller holds mu.
func (s *Server) bearable() int {
	return 1 + s.state.served/max(1, s.WarmAfter)
}

// work takes the request's time. It says whether the request ran to its end.
func (s *Server) work(ctx context.Context, t *ticket) bool {
	d := s.Latency.of(t.number)
	if t.cold && s.ColdFactor > 0 {
		d = time.Duration(float64(d) * s.ColdFactor)
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.crashed:
		return false
	case <-ctx.Done():
		return false
	}
}

// end gives the slot back. Answers warm a cold server.
func (s *Server) end(t *ticket) {
	<-t.slots
	s.mu.Lock()
	if s.state.boot == t.boot {
		s.state.served++
		if s.state.cold && s.bearable() > s.Slots {
			s.state.cold = false
		}
	}
	s.mu.Unlock()
	s.leave(t)
}

func (s *Server) leave(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.boot == t.boot {
		s.state.inFlight--
	}
}
