package forwarder

import (
	"time"

	"almondstep"
)

const (
	// mateBackoff is how long a delegate that failed or refused gets no requests;
	// the time doubles with each failure in a row, up to mostMateBackoff.
	mateBackoff     = 500 * time.Millisecond
	mostMateBackoff = 4 * time.Second
	// mateOverdue is how long a delegate may hold a request before others are
	// preferred: it may stand still.
	mateOverdue = 400 * time.Millisecond
)

// mates shares requests out among the delegates, by the processor time that their
// VMs have, and leaves alone those that don't answer.
type mates struct {
	all map[almondstep.DaemonID]*mate
}

// mate is what this daemon has seen of one delegate.
type mate struct {
	credit    float64
	out       map[almondstep.CallID]almondstep.Instant
	backoff   time.Duration
	downUntil almondstep.Instant
	// way is what a message to it and its answer need, as of measuredAt; 0 if that
	// isn't known. measuring says that it is being measured.
	way        time.Duration
	measuredAt almondstep.Instant
	measuring  bool
}

const (
	// wayHolds is how long what was measured of the way to a daemon counts, and
	// wayRetry how long after a failure it isn't measured again.
	wayHolds = time.Minute
	wayRetry = 2 * time.Second
)

// wayKnown says that the way to a daemon was measured not long ago.
func (s *mate) wayKnown(now almondstep.Instant) bool {
	return s.way > 0 && now.Sub(s.measuredAt) < wayHolds
}

// toMeasure says that the way to a daemon is to be measured.
func (s *mate) toMeasure(now almondstep.Instant) bool {
	failed := s.measuredAt != 0 && s.way == 0 && now.Sub(s.measuredAt) < wayRetry
	return !s.wayKnown(now) && !s.measuring && !failed
}

// measured takes in the way to a daemon, 0 if it gave no answer.
func (s *mate) measured(now almondstep.Instant, way time.Duration) {
	s.measuring = false
	s.measuredAt = now
	s.way = way
}

func (m *mates) seen(id almondstep.DaemonID) *mate {
	if m.all == nil {
		m.all = make(map[almondstep.DaemonID]*mate)
	}
	s, ok := m.all[id]
	if !ok {
		s = &mate{out: make(map[almondstep.CallID]almondstep.Instant)}
		m.all[id] = s
	}
	return s
}

// usable says that a delegate may get one more request.
func (s *mate) usable(now almondstep.Instant) bool {
	if now < s.downUntil {
		return false
	}
	for _, at := range s.out {
		if now.Sub(at) > mateOverdue {
			return false
		}
	}
	return true
}

// pick chooses a delegate that usable allows (smooth weighted round robin); false
// if there is none.
func (m *mates) pick(now almondstep.Instant, among []almondstep.Delegate, usable func(almondstep.DaemonID) bool) (almondstep.Delegate, bool) {
	var best almondstep.Delegate
	var chosen *mate
	sum := 0.0
	for _, d := range among {
		s := m.seen(d.ID)
		if !s.usable(now) || !usable(d.ID) {
			continue
		}
		sum += d.Cores
		s.credit += d.Cores
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

func (m *mates) sent(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID) {
	m.seen(id).out[call] = now
}

// ended notes how a delegate answered. If it is left alone from now on, it says for
// how long.
func (m *mates) ended(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID, answered bool) time.Duration {
	s := m.seen(id)
	delete(s.out, call)
	if answered {
		s.backoff, s.downUntil = 0, 0
		return 0
	}
	// Whether it lives is found before the next request.
	s.way, s.measuredAt = 0, now
	s.backoff = min(max(mateBackoff, 2*s.backoff), mostMateBackoff)
	s.downUntil = now.Add(s.backoff)
	return s.backoff
}

// dropped notes that a request to a delegate was given up.
func (m *mates) dropped(now almondstep.Instant, id almondstep.DaemonID, call almondstep.CallID) time.Duration {
	s := m.seen(id)
	if now.Sub(s.out[call]) > mateOverdue {
		return m.ended(now, id, call, false)
	}
	delete(s.out, call)
	return 0
}

// keep forgets the daemons to which nothing is handed any more.
func (m *mates) keep(d *almondstep.Directory) {
	listed := make(map[almondstep.DaemonID]bool)
	for _, mate := range d.Delegates() {
		listed[mate.ID] = true
	}
	for _, helpers := range d.RegionalDelegatesByRegion() {
		for _, mate := range helpers {
			listed[mate.ID] = true
		}
	}
	for id, s := range m.all {
		if !listed[id] && len(s.out) == 0 {
			delete(m.all, id)
		}
	}
}
