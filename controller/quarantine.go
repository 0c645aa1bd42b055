package controller

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// quarantineFor is how long a request that crashes upstreams is refused.
	quarantineFor = 10 * time.Minute
	// crashWindow is how long a crash counts against a request.
	crashWindow = 10 * time.Minute
	// crashLimit is how many upstreams a request may crash.
	crashLimit = 2
	// quarantineMax bounds the table; beyond it the oldest entry goes.
	quarantineMax = 1024
)

// quarantine has the requests that crashed upstreams, oldest first.
type quarantine struct {
	entries []*suspectRequest
	byPrint map[almondstep.Fingerprint]*suspectRequest
	// prints are the requests in quarantine, as the last view has them.
	prints map[almondstep.Fingerprint]struct{}
}

type suspectRequest struct {
	fingerprint almondstep.Fingerprint
	crashes     []crash
	until       almondstep.Instant
}

type crash struct {
	upstream almondstep.Address
	at       almondstep.Instant
}

// waiting says whether one more crash in time would bring a quarantine.
func (s *suspectRequest) waiting(now almondstep.Instant) bool {
	n := len(s.crashes)
	return s.until == 0 && n > 0 && now.Sub(s.crashes[n-1].at) <= crashWindow
}

func (q *quarantine) init() { q.byPrint = make(map[almondstep.Fingerprint]*suspectRequest) }

func (q *quarantine) ensure(f almondstep.Fingerprint) *suspectRequest {
	if s := q.byPrint[f]; s != nil {
		return s
	}
	if len(q.entries) == quarantineMax {
		delete(q.byPrint, q.entries[0].fingerprint)
		q.entries = q.entries[1:]
	}
	s := &suspectRequest{fingerprint: f}
	q.entries = append(q.entries, s)
	q.byPrint[f] = s
	return s
}

// report notes a crash and gives the rumors that spread it: the crash itself,
// since the resend may reach another daemon, and the quarantine if it is due.
func (q *quarantine) report(now almondstep.Instant, e *almondstep.ReportCrash) []almondstep.Rumor {
	r := almondstep.Rumor{Kind: almondstep.RumorQuarantine, Fingerprint: e.Fingerprint, Upstream: e.Upstream, Crashes: 1}
	if !q.hear(now, &r) {
		return nil
	}
	rumors := []almondstep.Rumor{r}
	if s := q.byPrint[e.Fingerprint]; s.until > now {
		rumors = append(rumors, almondstep.Rumor{
			Kind:        almondstep.RumorQuarantine,
			Fingerprint: e.Fingerprint,
			Remaining:   s.until.Sub(now),
			Crashes:     crashLimit,
		})
	}
	return rumors
}

// hear takes a rumor and says whether it was news.
func (q *quarantine) hear(now almondstep.Instant, r *almondstep.Rumor) bool {
	s := q.ensure(r.Fingerprint)
	if r.Upstream == "" {
		was := s.until > now
		s.until = max(s.until, now.Add(min(r.Remaining, quarantineFor)))
		q.refresh(now)
		return !was && s.until > now
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > crashWindow })
	if slices.ContainsFunc(s.crashes, func(c crash) bool { return c.upstream == r.Upstream }) || len(s.crashes) >= crashLimit {
		return false
	}
	s.crashes = append(s.crashes, crash{upstream: r.Upstream, at: now})
	if len(s.crashes) >= crashLimit {
		s.until = now.Add(quarantineFor)
		q.refresh(now)
	}
	return true
}

// expire drops what is over and says whether a quarantine has ended.
func (q *quarantine) expire(now almondstep.Instant) bool {
	ended := false
	q.entries = slices.DeleteFunc(q.entries, func(s *suspectRequest) bool {
		if s.until > now || s.waiting(now) {
			return false
		}
		ended = ended || s.until != 0
		delete(q.byPrint, s.fingerprint)
		return true
	})
	if ended {
		q.refresh(now)
	}
	return ended
}

// refresh lists the requests in quarantine anew, for the next view.
func (q *quarantine) refresh(now almondstep.Instant) {
	prints := make(map[almondstep.Fingerprint]struct{})
	for _, s := range q.entries {
		if s.until > now {
			prints[s.fingerprint] = struct{}{}
		}
	}
	q.prints = prints
}
