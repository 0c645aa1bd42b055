package picker

import (
	"time"

	"almondstep"
)

const (
	// firstBackoff and mostBackoff bound how long an upstream that couldn't be
	// reached is left alone; the time doubles with each failure in a row.
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = 2 * time.Second
	// goneBackoff is how long an address at which another upstream answers is
	// left alone; by then its entry has been removed.
	goneBackoff = 5 * time.Second
	// silentLimit is the number of calls in a row without an answer after which
	// an upstream counts as unreachable.
	silentLimit = 4
)

// upstream is what this daemon has seen of one upstream.
type upstream struct {
	estimate
	started   time.Time
	prior     time.Duration
	kin       *kin
	slots     int
	out       map[almondstep.CallID]almondstep.Instant
	backoff   time.Duration
	downUntil almondstep.Instant
	silent    int
	coldUntil almondstep.Instant
	listed    bool
}

// unreachable leaves the upstream alone for a while.
func (u *upstream) unreachable(now almondstep.Instant) {
	u.backoff = min(max(firstBackoff, 2*u.backoff), mostBackoff)
	u.downUntil = now.Add(u.backoff)
}

func (u *upstream) reached() {
	u.backoff = 0
	u.downUntil = 0
	u.silent = 0
}

// unanswered counts a call that brought no answer.
func (u *upstream) unanswered(now almondstep.Instant) {
	u.silent++
	u.outcome(now, true)
	if u.silent >= silentLimit {
		u.unreachable(now)
	}
}

// overdue is how long the oldest call out is beyond the usual time; 0 if it
// isn't.
func (u *upstream) overdue(now almondstep.Instant) time.Duration {
	if !u.compared(now) {
		return 0
	}
	usual := u.usual(now)
	most := time.Duration(0)
	for _, at := range u.out {
		most = max(most, now.Sub(at)-usual)
	}
	return most
}

// usual is the time by which nearly all answers come.
func (u *upstream) usual(now almondstep.Instant) time.Duration {
	mean, deviation := u.expects(now)
	return mean + usualDeviations*deviation
}

// compared says that something was seen of the upstream lately or of its kin, so
// that it can be called late.
func (u *upstream) compared(now almondstep.Instant) bool { return u.known(now) || u.kin.seen }

// expects gives the mean and deviation of the next latency: by the upstream's own
// lately, else by its kin's, else by how far away it is.
func (u *upstream) expects(now almondstep.Instant) (mean, deviation time.Duration) {
	switch {
	case u.known(now):
		return u.mean, u.deviation
	case u.kin.seen:
		return u.kin.mean, u.kin.deviation
	default:
		return u.prior, u.prior / priorSpread
	}
}
