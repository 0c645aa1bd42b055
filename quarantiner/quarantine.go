// Package quarantiner decides which requests are refused because they crash the
// upstreams that run them.
//
// A request that was running on an upstream when that crashed is a suspect, but not yet
// the cause: the requests beside it are suspects as well, and the upstream may have been
// stopped from outside. The more different upstreams crash under one request, without any
// that answers it, the likelier it is the cause. At a limit it is quarantined, unless another
// request explains the crashes: one under which more upstreams crashed, these among them.
//
//	q := &quarantiner.Quarantine{Limit: 3, Duration: 10 * time.Minute, MaxRequests: 1024}
//	q.Add(now, f, "i7@1700000000000", almondstep.CrashEvidence{})
//	_, refused := q.Requests()[f]
//
// The package has no clock and does no I/O.
package quarantiner

import (
	"slices"
	"time"

	"almondstep"
)

// Quarantine counts the upstreams that crashed under each request. Set the exported
// fields before the first method call.
type Quarantine struct {
	// Limit is the number of crashed upstreams at which a request is quarantined.
	Limit int
	// MaxCrashes bounds the crashes that are counted for one request; 0 means Limit.
	MaxCrashes int
	// Duration is how long a crash counts, and how long a quarantine lasts.
	Duration time.Duration
	// MaxRequests bounds the requests that are remembered; the oldest is dropped, one in
	// quarantine only if all are.
	MaxRequests int

	// suspects are in the order of their first crash, oldest first.
	suspects      []*suspect
	byFingerprint map[almondstep.Fingerprint]*suspect
	// requests and crashes are shared with views, so they are replaced and never modified.
	requests map[almondstep.Fingerprint]struct{}
	crashes  map[almondstep.Fingerprint]int
}

// suspect is a request under which upstreams crashed.
type suspect struct {
	fingerprint almondstep.Fingerprint
	crashes     []crash
	// attempts lists the first attempts that met silent crashes, at most minAttempts.
	attempts []uint64
	// until is when the quarantine because of the crashes ends, and imposedUntil when one that
	// another daemon imposed does; 0 if there is none.
	until        almondstep.Instant
	imposedUntil almondstep.Instant
}

// end is when the request's quarantine ends; 0 if it isn't in quarantine.
func (s *suspect) end() almondstep.Instant { return max(s.until, s.imposedUntil) }

// maxKeptPerAttempt bounds the silent crashes of one attempt that are kept, so that a request
// over many shards leaves room for those of its next attempt.
const maxKeptPerAttempt = 4

type crash struct {
	upstream almondstep.UpstreamRun
	at       almondstep.Instant
	evidence almondstep.CrashEvidence
}

// Requests is the set of quarantined requests. The caller must not change it.
func (q *Quarantine) Requests() map[almondstep.Fingerprint]struct{} { return q.requests }

// Crashes is the number of crashed upstreams of each suspect, at most MaxCrashes. The
// caller must not change it.
func (q *Quarantine) Crashes() map[almondstep.Fingerprint]int { return q.crashes }

// Remaining is how much longer a request is in quarantine; 0 if it isn't.
func (q *Quarantine) Remaining(now almondstep.Instant, f almondstep.Fingerprint) time.Duration {
	s := q.byFingerprint[f]
	if s == nil {
		return 0
	}
	return max(0, s.end().Sub(now))
}

// Add records that an upstream crashed under a request. It reports whether that is new
// and counts. Of the crashes beyond MaxCrashes, and of the silent ones of one attempt beyond
// a few, none does; a silent crash that another attempt has met too may count for that.
func (q *Quarantine) Add(now almondstep.Instant, f almondstep.Fingerprint, upstream almondstep.UpstreamRun, evidence almondstep.CrashEvidence) bool {
	s := q.ensure(f)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > q.Duration })
	isNewAttempt := s.addAttempt(evidence)
	isFull := len(s.crashes) >= max(q.Limit, q.MaxCrashes) || evidence.Silent() && s.crashesOf(evidence.Attempt) >= maxKeptPerAttempt
	isNew := !isFull && !s.crashedUnder(upstream)
	if !isNew && !isNewAttempt {
		return false
	}
	if isNew {
		s.crashes = append(s.crashes, crash{upstream: upstream, at: now, evidence: evidence})
	}
	if len(s.crashes) >= q.Limit {
		q.judge(now)
	}
	q.refresh(now)
	return true
}

// addAttempt adds the attempt of a silent crash, and reports whether it is a new one of the
// first minAttempts.
func (s *suspect) addAttempt(evidence almondstep.CrashEvidence) bool {
	if !evidence.Silent() || len(s.attempts) >= minAttempts || slices.Contains(s.attempts, evidence.Attempt) {
		return false
	}
	s.attempts = append(s.attempts, evidence.Attempt)
	return true
}

// crashesOf counts the silent crashes of an attempt.
func (s *suspect) crashesOf(attempt uint64) int {
	n := 0
	for _, c := range s.crashes {
		if c.evidence.Attempt == attempt {
			n++
		}
	}
	return n
}

// crashedUnder reports whether an upstream crashed under the request.
func (s *suspect) crashedUnder(upstream almondstep.UpstreamRun) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.upstream == upstream })
}

// Impose quarantines a request, for at most Duration, because another daemon has. It
// reports whether the quarantine begins now.
func (q *Quarantine) Impose(now almondstep.Instant, f almondstep.Fingerprint, remaining time.Duration) bool {
	s := q.ensure(f)
	wasActive := s.end() > now
	s.imposedUntil = max(s.imposedUntil, now.Add(min(remaining, q.Duration)))
	q.refresh(now)
	return !wasActive && s.end() > now
}

// Remove takes back that an upstream crashed under a request. Below Limit, the request's
// quarantine ends.
func (q *Quarantine) Remove(now almondstep.Instant, f almondstep.Fingerprint, upstream almondstep.UpstreamRun) {
	s := q.byFingerprint[f]
	if s == nil {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.upstream == upstream })
	if len(s.crashes) < q.Limit {
		s.until, s.imposedUntil = 0, 0
	}
	if len(s.crashes) == 0 {
		q.drop(f)
	}
	q.refresh(now)
}

// Expire drops the requests that are neither in quarantine nor have a crash that still
// counts, and reports whether a quarantine has ended.
func (q *Quarantine) Expire(now almondstep.Instant) bool {
	ended := false
	before := len(q.suspects)
	q.suspects = slices.DeleteFunc(q.suspects, func(s *suspect) bool {
		if s.end() > now || s.end() == 0 && s.hasRecentCrash(now, q.Duration) {
			return false
		}
		ended = ended || s.end() != 0
		delete(q.byFingerprint, s.fingerprint)
		return true
	})
	if len(q.suspects) < before {
		q.refresh(now)
	}
	return ended
}

// hasRecentCrash reports whether the last crash still counts.
func (s *suspect) hasRecentCrash(now almondstep.Instant, duration time.Duration) bool {
	n := len(s.crashes)
	return n > 0 && now.Sub(s.crashes[n-1].at) <= duration
}

// ensure returns a request's suspect, adding one if there is none.
func (q *Quarantine) ensure(f almondstep.Fingerprint) *suspect {
	if s := q.byFingerprint[f]; s != nil {
		return s
	}
	if q.byFingerprint == nil {
		q.byFingerprint = make(map[almondstep.Fingerprint]*suspect)
	}
	if len(q.suspects) >= q.MaxRequests {
		free := slices.IndexFunc(q.suspects, func(s *suspect) bool { return s.end() == 0 })
		q.drop(q.suspects[max(0, free)].fingerprint)
	}
	s := &suspect{fingerprint: f}
	q.suspects = append(q.suspects, s)
	q.byFingerprint[f] = s
	return s
}

func (q *Quarantine) drop(f almondstep.Fingerprint) {
	delete(q.byFingerprint, f)
	q.suspects = slices.DeleteFunc(q.suspects, func(s *suspect) bool { return s.fingerprint == f })
}

// refresh rebuilds what views share.
func (q *Quarantine) refresh(now almondstep.Instant) {
	q.requests = make(map[almondstep.Fingerprint]struct{})
	q.crashes = make(map[almondstep.Fingerprint]int, len(q.suspects))
	for _, s := range q.suspects {
		if s.end() > now {
			q.requests[s.fingerprint] = struct{}{}
		}
		q.crashes[s.fingerprint] = len(s.crashes)
	}
}
