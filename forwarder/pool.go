package forwarder

import (
	"time"

	"almondstep"
)

const (
	// delegateBackoff is how long a delegate that failed or refused gets no requests;
	// the time doubles with each consecutive failure, up to maxDelegateBackoff.
	delegateBackoff    = 500 * time.Millisecond
	maxDelegateBackoff = 4 * time.Second
	// delegateOverdue is how long a delegate may hold a request before it is
	// considered stalled and gets no more.
	delegateOverdue = 400 * time.Millisecond
)

// delegatePool distributes requests over the delegates in proportion to the free part of the
// CPU cores of their VMs, and skips those that don't answer or are overloaded.
type delegatePool struct {
	// zone is that of this daemon.
	zone almondstep.ZoneName
	all  map[almondstep.DaemonID]*delegateState
}

// delegateState holds this daemon's observations of one delegate.
type delegateState struct {
	// credit is the delegate's current weight in the round robin.
	credit float64
	// openCalls holds the pending calls and when they were sent.
	openCalls    map[almondstep.CallID]almondstep.Instant
	backoff      time.Duration
	backoffUntil almondstep.Instant
	// rtt is the round-trip time to a regional delegate as of measuredAt; 0 if
	// unknown. measuring is set while a measurement is pending.
	rtt        time.Duration
	measuredAt almondstep.Instant
	measuring  bool
	load       delegateLoad
}

const (
	// rttMaxAge is how long a measured round-trip time is valid, and rttRetryDelay
	// the time after a failure before it is measured again.
	rttMaxAge     = time.Minute
	rttRetryDelay = 2 * time.Second
)

// rttKnown reports whether a valid round-trip time is known.
func (s *delegateState) rttKnown(now almondstep.Instant) bool {
	return s.rtt > 0 && now.Sub(s.measuredAt) < rttMaxAge
}

// needsRTT reports whether the round-trip time must be measured now.
func (s *delegateState) needsRTT(now almondstep.Instant) bool {
	failed := s.measuredAt != 0 && s.rtt == 0 && now.Sub(s.measuredAt) < rttRetryDelay
	return !s.rttKnown(now) && !s.measuring && !failed
}

// setRTT records a measured round-trip time; 0 if the measurement failed.
func (s *delegateState) setRTT(now almondstep.Instant, rtt time.Duration) {
	s.measuring = false
	s.measuredAt = now
	s.rtt = rtt
}

// state returns the state of a delegate, creating it if necessary.
func (m *delegatePool) state(id almondstep.DaemonID) *delegateState {
	if m.all == nil {
		m.all = make(map[almondstep.DaemonID]*delegateState)
	}
	s, ok := m.all[id]
	if !ok {
		s = &delegateState{openCalls: make(map[almondstep.CallID]almondstep.Instant)}
		m.all[id] = s
	}
	return s
}

// usable reports whether a delegate may get one more request.
func (s *delegateState) usable(now almondstep.Instant) bool {
	if now < s.backoffUntil || s.recovering() {
		return false
	}
	for _, at := range s.openCalls {
		if now.Sub(at) > delegateOverdue {
			return false
		}
	}
	return true
}

// pick chooses one of the delegates that usable allows and that aren't in backoff, stalled
// or overloaded (smooth weighted round robin); it returns false if there is none.
func (m *delegatePool) pick(now almondstep.Instant, among []almondstep.Delegate, usable func(almondstep.DaemonID) bool) (almondstep.Delegate, bool) {
	var best almondstep.Delegate
	var chosen *delegateState
	sum := 0.0
	for _, d := range m.candidates(now, among, usable) {
		s := m.state(d.ID)
		weight := s.load.weight(now, d)
		sum += weight
		s.credit += weight
		if chosen == nil || s.credit > chosen.credit {
			best, chosen = d, s
		}
	}
	if chosen == nil {
		return best, false
	}
	chosen.credit -= sum
	return best, true
}

// sent records a call that is sent to a delegate.
func (m *delegatePool) sent(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID) {
	m.state(id).openCalls[call] = now
}

// ended records that a call to a delegate ended, and whether with a reply. It returns
// the backoff that starts now; 0 if none does.
func (m *delegatePool) ended(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID, answered bool) time.Duration {
	s := m.state(id)
	delete(s.openCalls, call)
	if answered {
		s.backoff, s.backoffUntil = 0, 0
		return 0
	}
	// A regional delegate gets no request until its round-trip time has been
	// measured again, which shows that it answers.
	s.rtt, s.measuredAt = 0, now
	s.backoff = min(max(delegateBackoff, 2*s.backoff), maxDelegateBackoff)
	s.backoffUntil = now.Add(s.backoff)
	return s.backoff
}

// canceled records that a call to a delegate was canceled, which counts as a failure
// if the call was overdue. It returns the backoff that starts now; 0 if none does.
func (m *delegatePool) canceled(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID) time.Duration {
	s := m.state(id)
	if now.Sub(s.openCalls[call]) > delegateOverdue {
		return m.ended(now, id, call, false)
	}
	delete(s.openCalls, call)
	return 0
}

// retain removes the state of daemons that are no longer listed as delegates and have
// no pending calls.
func (m *delegatePool) retain(d *almondstep.Directory) {
	listed := make(map[almondstep.DaemonID]bool)
	for _, delegate := range d.Delegates() {
		listed[delegate.ID] = true
	}
	for _, regional := range d.RegionalDelegatesByRegion() {
		for _, delegate := range regional {
			listed[delegate.ID] = true
		}
	}
	for id, s := range m.all {
		if !listed[id] && len(s.openCalls) == 0 {
			delete(m.all, id)
		}
	}
}
