package forwarder

import (
	"maps"
	"strconv"
	"time"

	"almondstep"
)

const (
	// pauseSpread is the part of a pause, as its divisor, by which its end is delayed at random, and
	// maxPauseSpread the longest such delay: upstreams that asked all daemons at the same time don't get
	// all calls back at the same time.
	pauseSpread    = 4
	maxPauseSpread = time.Second
	// maxReturning is the number of calls in flight to an upstream from which on it no longer counts as
	// one that returns from a pause.
	maxReturning = 16
	// pauseRetention is how long after the end of a pause it is remembered if no call is answered.
	pauseRetention = time.Minute
	// listingLag is how long a new run of an upstream, under the same ID, may answer before the directory
	// lists it.
	listingLag = 1500 * time.Millisecond
	// maxQueuedPerSlot is the number of requests in an upstream's queue, per slot, up to which it gets
	// calls while its service fills up, and fullRetention how long that is after a pause.
	maxQueuedPerSlot = 1
	fullRetention    = 30 * time.Second
	// minReturnWait is the delay after which a caller may retry if an upstream that returns from a pause
	// has as many calls as it may have.
	minReturnWait = 50 * time.Millisecond
)

// pauses holds the upstreams that have asked this daemon to send them nothing for a time. After it,
// an upstream gets one call at a time, and twice as many with each answer.
//
// Example: an upstream turns a call away at 0 s and asks for a pause of 2 s. From 2.0 to 2.5 s on it
// gets one call; once this is answered two at the same time, then four.
type pauses struct {
	random    almondstep.Random
	upstreams map[almondstep.UpstreamID]*pause
	// full has until when services count as ones that fill up, after a pause of an upstream.
	full map[almondstep.ServiceName]almondstep.Instant
	// odd has the last run of each upstream that has stated an odd time.
	odd map[almondstep.UpstreamID]almondstep.UpstreamRun
}

// pause is the pause of a run of an upstream.
type pause struct {
	// run is the run that was listed at askedAt, when the upstream last asked.
	run     almondstep.UpstreamRun
	askedAt almondstep.Instant
	until   almondstep.Instant
	// allowed is the number of calls that may be in flight after the pause, and returning the
	// number of those that are.
	allowed   int
	returning int
}

// fillsUp reports whether upstreams of a service have asked for pauses lately, so that the others get no
// more than they can work on: they would soon ask for one too.
func (p *pauses) fillsUp(now almondstep.Instant, s almondstep.ServiceName) bool {
	until, known := p.full[s]
	return known && now < until
}

// begin records that a run of an upstream asks for a pause from now on. A pause that ends later
// stays.
func (p *pauses) begin(now almondstep.Instant, u *almondstep.Upstream, run almondstep.UpstreamRun, after time.Duration) {
	if p.upstreams == nil {
		p.upstreams = make(map[almondstep.UpstreamID]*pause)
		p.full = make(map[almondstep.ServiceName]almondstep.Instant)
	}
	p.full[u.Service] = now.Add(fullRetention)
	spread := p.spread(after)
	held := p.upstreams[u.ID]
	if held == nil {
		held = &pause{run: run}
		p.upstreams[u.ID] = held
	}
	held.run, held.askedAt, held.allowed = run, now, 1
	held.until = max(held.until, now.Add(after+spread))
}

// spread returns the random delay by which the end of a pause is delayed.
func (p *pauses) spread(after time.Duration) time.Duration {
	longest := min(after/pauseSpread, maxPauseSpread)
	return time.Duration(p.random.Next() % uint64(longest+1))
}

// wait returns how long an upstream may get no call, at least; 0 if it may get one now.
func (p *pauses) wait(now almondstep.Instant, u almondstep.UpstreamID) time.Duration {
	held := p.upstreams[u]
	switch {
	case held == nil:
		return 0
	case now < held.until:
		return held.until.Sub(now)
	case held.returning >= held.allowed:
		return minReturnWait
	}
	return 0
}

// sent records a call, and reports whether it is one to an upstream that returns from a pause.
func (p *pauses) sent(u almondstep.UpstreamID) bool {
	held := p.upstreams[u]
	if held == nil {
		return false
	}
	held.returning++
	return true
}

// ended records the end of a call to an upstream that returned from a pause when it was sent.
func (p *pauses) ended(now almondstep.Instant, u almondstep.UpstreamID, result almondstep.CallResult) {
	held := p.upstreams[u]
	if held == nil {
		return
	}
	held.returning = max(0, held.returning-1)
	if now < held.until || result != almondstep.CallDone && result != almondstep.CallRejected {
		return
	}
	held.allowed *= 2
	if held.allowed >= maxReturning {
		delete(p.upstreams, u)
	}
}

// retain forgets the pauses that are long over, and those of upstreams that have started anew.
func (p *pauses) retain(now almondstep.Instant, d *almondstep.Directory) {
	for id, held := range p.upstreams {
		if now > held.until.Add(pauseRetention) {
			delete(p.upstreams, id)
		}
	}
	maps.DeleteFunc(p.full, func(_ almondstep.ServiceName, until almondstep.Instant) bool { return now >= until })
	if len(p.upstreams)+len(p.odd) == 0 {
		return
	}
	listed := make(map[almondstep.UpstreamID]bool)
	for _, all := range d.AllUpstreams() {
		for _, u := range all {
			p.retainRun(now, u)
			listed[u.ID] = true
		}
	}
	maps.DeleteFunc(p.odd, func(id almondstep.UpstreamID, _ almondstep.UpstreamRun) bool { return !listed[id] })
}

// retainRun forgets the pause of an upstream that has started anew, unless the new run may be the one
// that has asked for it.
func (p *pauses) retainRun(now almondstep.Instant, u *almondstep.Upstream) {
	held := p.upstreams[u.ID]
	switch {
	case held == nil || held.run == u.Run():
	case now.Sub(held.askedAt) <= listingLag:
		held.run = u.Run()
	default:
		delete(p.upstreams, u.ID)
	}
}

// observePause begins the pause that an upstream asks for in a response, and logs it once. An odd
// value is logged once for each run.
func (f *Forwarder) observePause(now almondstep.Instant, request string, u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	run := f.listedRun(u)
	isNew := e.RetryAfter > 0 && f.pauses.wait(now, u.ID) == 0
	if e.RetryAfter > 0 {
		f.pauses.begin(now, u, run, e.RetryAfter)
		f.gate.Pause(u.ID, now.Add(f.pauses.wait(now, u.ID)))
	}
	cause := "for " + e.RetryAfter.Round(time.Millisecond).String() + ", in an answer to request " + request
	if e.OddRetryAfter != "" && f.pauses.addOdd(u.ID, run) {
		isNew = true
		cause += "; it states " + strconv.Quote(e.OddRetryAfter)
	}
	if !isNew {
		return out
	}
	return append(out, &almondstep.Report{Level: almondstep.ReportInfo, Message: "upstream asks for a pause", Subject: string(u.ID), Cause: cause})
}

// addOdd records that a run of an upstream has stated an odd time, and reports whether that is new.
func (p *pauses) addOdd(u almondstep.UpstreamID, run almondstep.UpstreamRun) bool {
	if p.odd[u] == run {
		return false
	}
	if p.odd == nil {
		p.odd = make(map[almondstep.UpstreamID]almondstep.UpstreamRun)
	}
	p.odd[u] = run
	return true
}

// pauseWait returns how long an upstream may get no call because of its pause, or because it is
// likely to ask for one; 0 if it may get one now.
func (f *Forwarder) pauseWait(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	wait := f.pauses.wait(now, u.ID)
	if wait == 0 && f.pauses.fillsUp(now, u.Service) && f.picker.QueuedPerSlot(now, u) > maxQueuedPerSlot {
		return minReturnWait
	}
	return wait
}

// listedRun returns the run of an upstream that the newest directory lists, or that of u itself, which
// may be from an earlier directory.
func (f *Forwarder) listedRun(u *almondstep.Upstream) almondstep.UpstreamRun {
	if f.directory != nil {
		for _, listed := range f.directory.Upstreams(u.Service) {
			if listed.ID == u.ID {
				return listed.Run()
			}
		}
	}
	return u.Run()
}
