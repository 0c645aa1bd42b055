package forwarder

import (
	"slices"
	"time"

	"almondstep"
)

const (
	// silenceMemory is how long after an unanswered call the registry may show that the
	// upstream has ended: an entry is removed some seconds after its last renewal, and later
	// in an outage of the registry.
	silenceMemory = 15 * time.Second
	// aliveMargin is the time after the end of an unanswered call from which on an answer of
	// the upstream shows that it still ran at that end.
	aliveMargin = 200 * time.Millisecond
	// restartLag is how long a daemon may take the next run of an upstream, under the same
	// ID, for the one that has ended.
	restartLag = 4 * time.Second
	// An upstream whose entry is removed because it hasn't renewed it for three intervals was
	// silent for at least silentIntervals/silentIntervalsDen intervals before.
	silentIntervals    = 3
	silentIntervalsDen = 2
	// maxSilentAttempts bounds the attempts that are remembered.
	maxSilentAttempts = 4096
)

// silentUpstreams remembers which upstreams fell silent while they had a request that no
// upstream answered. Such an upstream may be slow, paused or behind a network partition: it
// counts as crashed once the registry shows that its run has ended, if it hasn't answered
// anything since. The zero value is empty.
type silentUpstreams struct {
	// renewInterval is that at which upstreams renew their entries; 0 if unknown.
	renewInterval time.Duration
	// runs holds the unanswered calls by the upstream's run.
	runs map[almondstep.UpstreamRun][]*silentCall
	// attempts holds the attempts with such calls by their requests, and queue lists them in
	// the order of their ends.
	attempts map[almondstep.Fingerprint][]*silentAttempt
	queue    []*silentAttempt
}

// silentAttempt is an attempt of a request that no upstream answered.
type silentAttempt struct {
	// id identifies the attempt among those of all daemons; it isn't 0.
	id          uint64
	fingerprint almondstep.Fingerprint
	endedAt     almondstep.Instant
	calls       []unansweredCall
	// cleared is set once an upstream has answered another attempt of the request.
	cleared bool
}

// silentCall is an unanswered call and its attempt.
type silentCall struct {
	attempt *silentAttempt
	sentAt  almondstep.Instant
	// aliveAt is when the upstream answered another call after the end of the attempt; 0 if
	// it hasn't.
	aliveAt almondstep.Instant
}

// empty reports whether there are no unanswered calls.
func (s *silentUpstreams) empty() bool { return len(s.queue) == 0 }

// add remembers an attempt that ended now, and its unanswered calls.
func (s *silentUpstreams) add(now almondstep.Instant, r *request, calls []unansweredCall) {
	s.expire(now)
	if s.runs == nil {
		s.runs = make(map[almondstep.UpstreamRun][]*silentCall)
		s.attempts = make(map[almondstep.Fingerprint][]*silentAttempt)
	}
	if len(s.queue) >= maxSilentAttempts {
		s.dropFirst()
	}
	f := r.fingerprint()
	a := &silentAttempt{id: max(1, uint64(almondstep.FingerprintOf(r.message.Key))), fingerprint: f, endedAt: now, calls: calls}
	s.queue = append(s.queue, a)
	s.attempts[f] = append(s.attempts[f], a)
	for _, c := range calls {
		s.runs[c.run] = append(s.runs[c.run], &silentCall{attempt: a, sentAt: c.sentAt})
	}
}

// expire forgets the attempts that ended longer than silenceMemory ago.
func (s *silentUpstreams) expire(now almondstep.Instant) {
	for len(s.queue) > 0 && now.Sub(s.queue[0].endedAt) > silenceMemory {
		s.dropFirst()
	}
}

// dropFirst forgets the oldest attempt.
func (s *silentUpstreams) dropFirst() {
	a := s.queue[0]
	s.queue = s.queue[1:]
	for _, call := range a.calls {
		run := call.run
		s.runs[run] = slices.DeleteFunc(s.runs[run], func(c *silentCall) bool { return c.attempt == a })
		if len(s.runs[run]) == 0 {
			delete(s.runs, run)
		}
	}
	s.attempts[a.fingerprint] = slices.DeleteFunc(s.attempts[a.fingerprint], func(o *silentAttempt) bool { return o == a })
	if len(s.attempts[a.fingerprint]) == 0 {
		delete(s.attempts, a.fingerprint)
	}
}

// clear forgets the attempts of a request that an upstream has answered.
func (s *silentUpstreams) clear(f almondstep.Fingerprint) {
	for _, a := range s.attempts[f] {
		a.cleared = true
	}
}

// answered records that an upstream has answered a call now: the earlier calls that it left
// unanswered haven't crashed it. As the answer may be that of its next run, this counts only
// after restartLag if the registry then shows another run.
func (s *silentUpstreams) answered(now almondstep.Instant, u *almondstep.Upstream) {
	if s.empty() {
		return
	}
	for _, c := range s.runs[u.Run()] {
		if c.aliveAt == 0 && now.Sub(c.attempt.endedAt) >= aliveMargin {
			c.aliveAt = now
		}
	}
}

// takeCrashed returns the crashes that a run that has ended counts as, in the order in which
// the attempts ended, and forgets the run's calls.
func (s *silentUpstreams) takeCrashed(now almondstep.Instant, run almondstep.UpstreamRun, end almondstep.RunEnd) []*almondstep.RequestCrashed {
	var crashed []*almondstep.RequestCrashed
	for _, c := range s.runs[run] {
		a := c.attempt
		expired := now.Sub(a.endedAt) > silenceMemory
		if expired || a.cleared || c.outlived(end) || s.sentAfterSilence(c, end) {
			continue
		}
		crashed = append(crashed, &almondstep.RequestCrashed{
			Fingerprint:   a.fingerprint,
			Upstreams:     []almondstep.UpstreamRun{run},
			CrashEvidence: almondstep.CrashEvidence{Attempt: a.id, SentAgo: max(0, end.At.Sub(c.sentAt))},
		})
	}
	delete(s.runs, run)
	return crashed
}

// outlived reports whether the run has answered another call after the attempt, so that its
// end has another cause.
func (c *silentCall) outlived(end almondstep.RunEnd) bool {
	return c.aliveAt != 0 && (!end.Replaced || end.At.Sub(c.aliveAt) > restartLag)
}

// sentAfterSilence reports whether the run was silent already when the call was sent: it had
// failed to renew its entry, which was removed therefore.
func (s *silentUpstreams) sentAfterSilence(c *silentCall, end almondstep.RunEnd) bool {
	if end.Replaced || s.renewInterval == 0 {
		return false
	}
	return c.sentAt > end.At.Add(-silentIntervals*s.renewInterval/silentIntervalsDen)
}

// endedWithCalls lists the runs among ended that have left calls unanswered, sorted.
func (s *silentUpstreams) endedWithCalls(ended map[almondstep.UpstreamRun]almondstep.RunEnd) []almondstep.UpstreamRun {
	var list []almondstep.UpstreamRun
	for run := range s.runs {
		if _, known := ended[run]; known {
			list = append(list, run)
		}
	}
	slices.Sort(list)
	return list
}
