// Package pauser keeps the pauses that upstreams ask for.
//
// An upstream that turns a call away may say for how long it wants none from this daemon. It gets
// none until then. After it, it gets one call at a time, and twice as many with each answer, so that
// the daemons don't fill it in the same instant.
//
//	p := &pauser.Pauser{}
//	p.Begin(now, upstream, upstream.Run(), 2*time.Second)
//	wait := p.Wait(now, upstream.ID) // 2 s, and a random part of up to half a second
//
// The package has no clock and does no I/O.
package pauser

import (
	"maps"
	"time"

	"almondstep"
)

const (
	// spreadDivisor is the part of a pause by which its end is delayed at random, and maxSpread the
	// longest such delay: upstreams that asked all daemons at the same time don't get all calls back at
	// the same time.
	spreadDivisor = 4
	maxSpread     = time.Second
	// maxReturning is the number of calls in flight to an upstream from which on it no longer counts as
	// one that returns from a pause.
	maxReturning = 16
	// retention is how long after the end of a pause it is remembered if no call is answered.
	retention = time.Minute
	// fillingRetention is how long after a pause the service of the upstream counts as one that fills up.
	fillingRetention = 30 * time.Second
	// listingLag is how long a new run of an upstream, under the same ID, may answer before the directory
	// lists it.
	listingLag = 1500 * time.Millisecond
	// MinWait is the delay after which a caller may retry if an upstream that returns from a pause has as
	// many calls as it may have.
	MinWait = 50 * time.Millisecond
)

// Pauser holds the upstreams that have asked this daemon to send them nothing for a time. Set the field
// before the first method call.
//
// Example: an upstream turns a call away at 0 s and asks for a pause of 2 s. From 2.0 to 2.5 s on it
// gets one call; once this is answered two at the same time, then four.
type Pauser struct {
	// Random is the source of the random delays.
	Random almondstep.Random

	upstreams map[almondstep.UpstreamID]*pause
	// filling has until when services count as ones that fill up.
	filling map[almondstep.ServiceName]almondstep.Instant
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

// Begin records that a run of an upstream asks for a pause from now on, and returns its end. A
// pause that ends later stays.
func (p *Pauser) Begin(now almondstep.Instant, u *almondstep.Upstream, run almondstep.UpstreamRun, after time.Duration) almondstep.Instant {
	if p.upstreams == nil {
		p.upstreams = make(map[almondstep.UpstreamID]*pause)
		p.filling = make(map[almondstep.ServiceName]almondstep.Instant)
	}
	p.filling[u.Service] = now.Add(fillingRetention)
	held := p.upstreams[u.ID]
	if held == nil {
		held = &pause{}
		p.upstreams[u.ID] = held
	}
	held.run, held.askedAt, held.allowed = run, now, 1
	held.until = max(held.until, now.Add(after+p.Spread(after)))
	return held.until
}

// Spread returns a random delay beyond a time, of up to a quarter of it.
func (p *Pauser) Spread(after time.Duration) time.Duration {
	longest := min(after/spreadDivisor, maxSpread)
	return time.Duration(p.Random.Next() % uint64(longest+1))
}

// Wait returns how long an upstream may get no call, at least; 0 if it may get one now.
func (p *Pauser) Wait(now almondstep.Instant, u almondstep.UpstreamID) time.Duration {
	held := p.upstreams[u]
	switch {
	case held == nil:
		return 0
	case now < held.until:
		return held.until.Sub(now)
	case held.returning >= held.allowed:
		return MinWait
	}
	return 0
}

// FillsUp reports whether upstreams of a service have asked for pauses lately. The others should get
// no more than they can work on, since the calls that the paused ones would have got fill them too.
func (p *Pauser) FillsUp(now almondstep.Instant, s almondstep.ServiceName) bool {
	until, known := p.filling[s]
	return known && now < until
}

// Sent records a call, and reports whether it is one to an upstream that returns from a pause. Pass
// the end of such a call to Ended.
func (p *Pauser) Sent(u almondstep.UpstreamID) bool {
	held := p.upstreams[u]
	if held == nil {
		return false
	}
	held.returning++
	return true
}

// Ended records the end of a call to an upstream that returned from a pause when it was sent.
func (p *Pauser) Ended(now almondstep.Instant, u almondstep.UpstreamID, result almondstep.CallResult) {
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

// AddOdd records that a run of an upstream has stated an odd time, and reports whether that is new.
func (p *Pauser) AddOdd(u almondstep.UpstreamID, run almondstep.UpstreamRun) bool {
	if p.odd[u] == run {
		return false
	}
	if p.odd == nil {
		p.odd = make(map[almondstep.UpstreamID]almondstep.UpstreamRun)
	}
	p.odd[u] = run
	return true
}

// Retain forgets what is long over, and the pauses of upstreams that have started anew.
func (p *Pauser) Retain(now almondstep.Instant, d *almondstep.Directory) {
	maps.DeleteFunc(p.upstreams, func(_ almondstep.UpstreamID, held *pause) bool { return now > held.until.Add(retention) })
	maps.DeleteFunc(p.filling, func(_ almondstep.ServiceName, until almondstep.Instant) bool { return now >= until })
	if len(p.upstreams)+len(p.odd) == 0 {
		return
	}
	listed := d.UpstreamsByID()
	for id := range p.upstreams {
		if u := listed[id]; u != nil {
			p.retainRun(now, u)
		}
	}
	maps.DeleteFunc(p.odd, func(id almondstep.UpstreamID, _ almondstep.UpstreamRun) bool { return listed[id] == nil })
}

// retainRun forgets the pause of an upstream that has started anew, unless the new run may be the one
// that has asked for it.
func (p *Pauser) retainRun(now almondstep.Instant, u *almondstep.Upstream) {
	held := p.upstreams[u.ID]
	switch {
	case held.run == u.Run():
	case now.Sub(held.askedAt) <= listingLag:
		held.run = u.Run()
	default:
		delete(p.upstreams, u.ID)
	}
}

// Copy returns a pauser with the same state, which shares nothing with p that either changes.
func (p *Pauser) Copy() Pauser {
	n := *p
	n.filling, n.odd = maps.Clone(p.filling), maps.Clone(p.odd)
	n.upstreams = make(map[almondstep.UpstreamID]*pause, len(p.upstreams))
	for id, held := range p.upstreams {
		c := *held
		n.upstreams[id] = &c
	}
	return n
}
