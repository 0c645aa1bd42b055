package forwarder

import (
	"cmp"
	"time"

	"almondstep"
)

const (
	// delegateLoadMaxAge is how long a delegate's reported load is used.
	delegateLoadMaxAge = 500 * time.Millisecond
	// overloadedShare is the share of a delegate's capacity in use from which on it gets no
	// requests. The rest is for what it has got from other daemons since its report.
	overloadedShare = 0.9
	// minFreeShare bounds the effect of a reported load on the distribution.
	minFreeShare = 0.1
	// unknownCores is assumed for a delegate of unknown size: that of a small VM.
	unknownCores = 0.2
	// A delegate is doubted if it holds a request for longer than the mean of its replies
	// plus doubtDeviations deviations, at least minDoubtTime, and hasn't replied since.
	doubtDeviations = 4
	minDoubtTime    = 60 * time.Millisecond
	// A reply time has the weight 1/replyTimeDivisor in the mean and the deviation.
	replyTimeDivisor = 8
)

// delegateLoad holds the load that a delegate last reported, and its usual reply time.
type delegateLoad struct {
	// load is the share of the delegate's capacity in use, as reported at loadAt.
	load   float64
	loadAt almondstep.Instant
	// mean and deviation are those of the time to a reply; 0 if there was none. repliedAt
	// is when the last one came.
	mean, deviation time.Duration
	repliedAt       almondstep.Instant
}

// observeReply records a reply that took some time and reports a load; 0 is unknown.
func (l *delegateLoad) observeReply(now almondstep.Instant, took time.Duration, load float64) {
	l.repliedAt = now
	if load > 0 {
		l.load, l.loadAt = load, now
	}
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	delta := took - l.mean
	l.mean += delta / replyTimeDivisor
	l.deviation += (delta.Abs() - l.deviation) / replyTimeDivisor
}

// observeRefusal treats a delegate that refused a request for lack of capacity, or since it
// stops, as overloaded.
func (l *delegateLoad) observeRefusal(now almondstep.Instant, code almondstep.RefusalCode) {
	l.repliedAt = now
	switch code {
	case almondstep.CodeOverload, almondstep.CodeShed, almondstep.CodeStopping:
		l.load, l.loadAt = 1, now
	default:
	}
}

// currentLoad returns the reported load; 0 if it is unknown or too old.
func (l *delegateLoad) currentLoad(now almondstep.Instant) float64 {
	if l.loadAt == 0 || now.Sub(l.loadAt) > delegateLoadMaxAge {
		return 0
	}
	return l.load
}

func (l *delegateLoad) overloaded(now almondstep.Instant) bool {
	return l.currentLoad(now) >= overloadedShare
}

// weight returns the delegate's free capacity, in cores.
func (l *delegateLoad) weight(now almondstep.Instant, d almondstep.Delegate) float64 {
	return cmp.Or(d.Cores, unknownCores) * max(minFreeShare, 1-l.currentLoad(now))
}

// doubtAfter returns for how long the delegate may hold a request before it is doubted.
func (l *delegateLoad) doubtAfter() time.Duration {
	if l.mean == 0 {
		return delegateOverdue
	}
	return min(delegateOverdue, max(minDoubtTime, l.mean+doubtDeviations*l.deviation))
}

// doubted reports whether the delegate holds a request unusually long and hasn't replied to
// any since it got that one. It gets requests only if no other delegate is available.
func (s *delegateState) doubted(now almondstep.Instant) bool {
	limit := s.load.doubtAfter()
	for _, at := range s.openCalls {
		if now.Sub(at) > limit && s.load.repliedAt <= at {
			return true
		}
	}
	return false
}

// recovering reports whether the delegate has failed and not replied since, and already holds
// a request: it gets one at a time until it replies.
func (s *delegateState) recovering() bool { return s.backoff > 0 && len(s.openCalls) > 0 }

// candidates returns the delegates that may get one more request: those that aren't overloaded
// and, if there is one, aren't doubted. Those of this daemon's own zone come before others, since
// their replies don't take the way between zones.
func (m *delegatePool) candidates(now almondstep.Instant, among []almondstep.Delegate, usable func(almondstep.DaemonID) bool) []almondstep.Delegate {
	var near, trusted, doubted []almondstep.Delegate
	for _, d := range among {
		s := m.state(d.ID)
		switch {
		case !s.usable(now) || !usable(d.ID) || s.load.overloaded(now):
		case s.doubted(now):
			doubted = append(doubted, d)
		case m.zone != "" && d.Zone == m.zone:
			near = append(near, d)
		default:
			trusted = append(trusted, d)
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(trusted) > 0:
		return trusted
	}
	return doubted
}

// overloadReport returns the log line for a delegate that reports for the first time in a
// while that it is overloaded.
func overloadReport(to almondstep.DaemonID, r *request) *almondstep.Report {
	return &almondstep.Report{
		Level: almondstep.ReportInfo, Message: "delegate overloaded", Subject: string(to),
		Cause: "its reply to request " + r.message.Key,
	}
}
