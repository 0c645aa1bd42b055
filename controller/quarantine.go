package controller

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// quarantineDuration is how long a request that crashes upstreams is refused.
	quarantineDuration = 10 * time.Minute
	// crashWindow is how long a crash counts against a request.
	crashWindow = 10 * time.Minute
	// crashLimit is the number of crashed upstreams at which a request is
	// quarantined.
	crashLimit = 2
	// maxQuarantineEntries bounds the table; the oldest entry is evicted.
	maxQuarantineEntries = 1024
)

// quarantine holds the requests that crashed upstreams.
type quarantine struct {
	// entries are sorted by the time of the first report, oldest first.
	entries       []*suspectRequest
	byFingerprint map[almondstep.Fingerprint]*suspectRequest
	// fingerprints is the set of requests in quarantine. Views share it, so it is
	// replaced and never modified.
	fingerprints map[almondstep.Fingerprint]struct{}
}

type suspectRequest struct {
	fingerprint almondstep.Fingerprint
	crashes     []crash
	// until is when the quarantine ends; 0 if the request has not been in quarantine.
	until almondstep.Instant
}

type crash struct {
	upstream almondstep.Address
	at       almondstep.Instant
}

// hasRecentCrash reports whether the request has never been in quarantine but has a
// crash within crashWindow.
func (s *suspectRequest) hasRecentCrash(now almondstep.Instant) bool {
	n := len(s.crashes)
	return s.until == 0 && n > 0 && now.Sub(s.crashes[n-1].at) <= crashWindow
}

func (q *quarantine) init() { q.byFingerprint = make(map[almondstep.Fingerprint]*suspectRequest) }

func (q *quarantine) ensure(f almondstep.Fingerprint) *suspectRequest {
	if s := q.byFingerprint[f]; s != nil {
		return s
	}
	if len(q.entries) == maxQuarantineEntries {
		delete(q.byFingerprint, q.entries[0].fingerprint)
		q.entries = q.entries[1:]
	}
	s := &suspectRequest{fingerprint: f}
	q.entries = append(q.entries, s)
	q.byFingerprint[f] = s
	return s
}

// report records a crash and returns the rumors to spread: the crash itself, since
// another daemon may observe the next one, and the quarantine if it begins.
func (q *quarantine) report(now almondstep.Instant, e *almondstep.ReportCrash) []almondstep.Rumor {
	r := almondstep.Rumor{Kind: almondstep.RumorQuarantine, Fingerprint: e.Fingerprint, Upstream: e.Upstream, Crashes: 1}
	if !q.receive(now, &r) {
		return nil
	}
	rumors := []almondstep.Rumor{r}
	if s := q.byFingerprint[e.Fingerprint]; s.until > now {
		rumors = append(rumors, almondstep.Rumor{
			Kind:        almondstep.RumorQuarantine,
			Fingerprint: e.Fingerprint,
			Remaining:   s.until.Sub(now),
			Crashes:     crashLimit,
		})
	}
	return rumors
}

// receive handles a rumor and reports whether it changed the state.
func (q *quarantine) receive(now almondstep.Instant, r *almondstep.Rumor) bool {
	s := q.ensure(r.Fingerprint)
	if r.Upstream == "" {
		wasActive := s.until > now
		s.until = max(s.until, now.Add(min(r.Remaining, quarantineDuration)))
		q.refresh(now)
		return !wasActive && s.until > now
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > crashWindow })
	if slices.ContainsFunc(s.crashes, func(c crash) bool { return c.upstream == r.Upstream }) || len(s.crashes) >= crashLimit {
		return false
	}
	s.crashes = append(s.crashes, crash{upstream: r.Upstream, at: now})
	if len(s.crashes) >= crashLimit {
		s.until = now.Add(quarantineDuration)
		q.refresh(now)
	}
	return true
}

// expire removes expired entries and reports whether a quarantine has ended.
func (q *quarantine) expire(now almondstep.Instant) bool {
	ended := false
	q.entries = slices.DeleteFunc(q.entries, func(s *suspectRequest) bool {
		if s.until > now || s.hasRecentCrash(now) {
			return false
		}
		ended = ended || s.until != 0
		delete(q.byFingerprint, s.fingerprint)
		return true
	})
	if ended {
		q.refresh(now)
	}
	return ended
}

// refresh rebuilds the set of quarantined requests for the next view.
func (q *quarantine) refresh(now almondstep.Instant) {
	fingerprints := make(map[almondstep.Fingerprint]struct{})
	for _, s := range q.entries {
		if s.until > now {
			fingerprints[s.fingerprint] = struct{}{}
		}
	}
	q.fingerprints = fingerprints
}
