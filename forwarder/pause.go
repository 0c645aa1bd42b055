package forwarder

import (
	"strconv"
	"time"

	"almondstep"
	"almondstep/pauser"
)

// maxQueuedPerSlot is the number of requests in an upstream's queue, per slot, up to which it gets
// calls while its service fills up.
const maxQueuedPerSlot = 1

// observePause begins the pause that an upstream asks for in a response, and logs it once. An odd
// value is logged once for each run.
func (f *Forwarder) observePause(now almondstep.Instant, request string, u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	if e.RetryAfter == 0 && e.OddRetryAfter == "" {
		return out
	}
	run := f.listedRun(u)
	isNew := e.RetryAfter > 0 && f.pauses.Wait(now, u.ID) == 0
	if e.RetryAfter > 0 {
		f.gate.Pause(u.ID, f.pauses.Begin(now, u, run, e.RetryAfter))
	}
	cause := "for " + e.RetryAfter.Round(time.Millisecond).String() + ", in an answer to request " + request
	if e.OddRetryAfter != "" && f.pauses.AddOdd(u.ID, run) {
		isNew = true
		cause += "; it states " + strconv.Quote(e.OddRetryAfter)
	}
	if !isNew {
		return out
	}
	return append(out, &almondstep.Report{Level: almondstep.ReportInfo, Message: "upstream asks for a pause", Subject: string(u.ID), Cause: cause})
}

// pauseWait returns how long an upstream may get no call because of its pause, or because it is
// likely to ask for one; 0 if it may get one now.
func (f *Forwarder) pauseWait(now almondstep.Instant, u *almondstep.Upstream) time.Duration {
	wait := f.pauses.Wait(now, u.ID)
	if wait == 0 && f.pauses.FillsUp(now, u.Service) && f.picker.QueuedPerSlot(now, u) > maxQueuedPerSlot {
		return pauser.MinWait
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
