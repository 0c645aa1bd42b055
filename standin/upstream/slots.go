package upstream

import (
	"context"
	"time"
)

// beginResult is the result of begin.
type beginResult uint8

const (
	beginRun beginResult = iota
	// beginShed means that no slot and no place in the queue is free, or that the
	// request's context ended before a slot was free.
	beginShed
	// beginWrongVersion means that the requested snapshot isn't served.
	beginWrongVersion
	// beginRefused means that the server has been drained.
	beginRefused
	// beginCrashed means that the server crashed, perhaps by this request, before the
	// request got a slot.
	beginCrashed
)

// activeRequest is one request in flight, waiting or running.
type activeRequest struct {
	boot    int
	crashed <-chan struct{}
	slots   chan struct{}
	cold    bool
	number  int
}

// begin takes a slot, waiting in the queue if necessary. A cold server crashes if the
// requests in flight exceed its capacity. The caller must call end after beginRun only.
func (s *Server) begin(ctx context.Context, q *callRequest) (*activeRequest, beginResult) {
	s.mu.Lock()
	if v := s.admit(q); v != beginRun {
		s.mu.Unlock()
		return nil, v
	}
	s.state.inFlight++
	s.counters.PeakInFlight = max(s.counters.PeakInFlight, s.state.inFlight)
	t := &activeRequest{boot: s.state.boot, crashed: s.state.crashed, slots: s.state.slots, cold: s.state.cold}
	if over := s.state.inFlight - s.coldCapacity(); s.state.cold && over > 0 {
		s.counters.Overruns++
		s.counters.PeakOverCold = max(s.counters.PeakOverCold, over)
		s.mu.Unlock()
		s.crash(t.boot, s.CrashDowntime)
		return nil, beginCrashed
	}
	s.counters.Started++
	t.number = s.counters.Started
	s.mu.Unlock()
	return t, s.takeSlot(ctx, t)
}

// admit decides whether a request may take a slot or wait for one. The caller
// holds mu.
func (s *Server) admit(q *callRequest) beginResult {
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

// takeSlot waits until a slot is free, the server crashes or ctx ends.
func (s *Server) takeSlot(ctx context.Context, t *activeRequest) beginResult {
	select {
	case t.slots <- struct{}{}:
		return beginRun
	case <-t.crashed:
		return beginCrashed
	case <-ctx.Done():
		s.removeInFlight(t)
		s.updateCounters(func(c *Counters) { c.Shed++ })
		return beginShed
	}
}

// coldCapacity is the number of requests in flight that a cold server can take.
// The caller holds mu.
func (s *Server) coldCapacity() int {
	return 1 + s.state.served/max(1, s.WarmAfter)
}

// simulateWork waits for the request's latency. It reports whether the request
// ran to its end.
func (s *Server) simulateWork(ctx context.Context, t *activeRequest) bool {
	d := s.Latency.forRequest(t.number)
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

// end releases the slot. Each request that had a slot, answered or not, counts towards
// the warm-up of a cold server.
func (s *Server) end(t *activeRequest) {
	<-t.slots
	s.mu.Lock()
	if s.state.boot == t.boot {
		s.state.served++
		if s.state.cold && s.coldCapacity() > s.Slots {
			s.state.cold = false
		}
	}
	s.mu.Unlock()
	s.removeInFlight(t)
}

func (s *Server) removeInFlight(t *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.boot == t.boot {
		s.state.inFlight--
	}
}
