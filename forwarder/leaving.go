package forwarder

import (
	"time"

	"almondstep"
)

// leavingRetention is how long it is remembered that a run of an upstream leaves after
// the directory no longer lists it: an outage of the registry, or an outdated registry
// update, may bring its entry back.
const leavingRetention = 5 * time.Minute

// leavingRuns holds the runs of upstreams that have said in an answer that they leave, to
// this daemon or to a delegate of it. They get no more calls, whatever the registry says
// of them. The zero value is empty.
type leavingRuns struct {
	runs map[almondstep.UpstreamRun]*leavingRun
}

// leavingRun is what is known of a run that leaves.
type leavingRun struct {
	// startUnknown is whether the upstream doesn't state when it started, so that a restart
	// under the same ID can't be distinguished from the run that leaves.
	startUnknown bool
	// listed is whether the last directory has the run; otherwise it was last listed, or
	// heard of, at listedAt.
	listed   bool
	listedAt almondstep.Instant
}

// add records that a run leaves, and reports whether that is new.
func (l *leavingRuns) add(now almondstep.Instant, run almondstep.UpstreamRun) bool {
	if _, known := l.runs[run]; known {
		return false
	}
	if l.runs == nil {
		l.runs = make(map[almondstep.UpstreamRun]*leavingRun)
	}
	l.runs[run] = &leavingRun{listedAt: now}
	return true
}

// has reports whether the present run of an upstream leaves.
func (l *leavingRuns) has(u *almondstep.Upstream) bool {
	return len(l.runs) > 0 && l.hasRun(u.Run())
}

// hasRun reports whether a run leaves.
func (l *leavingRuns) hasRun(run almondstep.UpstreamRun) bool {
	_, leaving := l.runs[run]
	return leaving
}

// retain forgets the runs that the directory hasn't listed for leavingRetention. A run
// whose start is unknown is forgotten once it isn't listed any more: an entry that comes
// back is then taken for a new run.
func (l *leavingRuns) retain(now almondstep.Instant, d *almondstep.Directory) {
	if len(l.runs) == 0 {
		return
	}
	wasListed := make(map[almondstep.UpstreamRun]bool)
	for run, r := range l.runs {
		wasListed[run] = r.listed
		r.listed = false
	}
	for _, all := range d.AllUpstreams() {
		for _, u := range all {
			if r, leaving := l.runs[u.Run()]; leaving {
				r.listed, r.listedAt, r.startUnknown = true, now, u.Started.IsZero()
			}
		}
	}
	for run, r := range l.runs {
		expired := now.Sub(r.listedAt) > leavingRetention
		restarted := r.startUnknown && wasListed[run]
		if !r.listed && (expired || restarted) {
			delete(l.runs, run)
		}
	}
}

// markLeaving records that upstreams have said that they leave, in answers to r that this
// daemon has received itself or through a delegate, and has the trace pass it on.
func (f *Forwarder) markLeaving(now almondstep.Instant, r *request, runs []almondstep.UpstreamRun, out []almondstep.Effect) []almondstep.Effect {
	r.trace.Leaving = append(r.trace.Leaving, runs...)
	for _, run := range runs {
		out = f.addLeaving(now, run, r.message.Key, out)
	}
	return out
}

// addLeaving records that a run leaves, as it says in an answer to a request, and logs it once.
func (f *Forwarder) addLeaving(now almondstep.Instant, run almondstep.UpstreamRun, request string, out []almondstep.Effect) []almondstep.Effect {
	if !f.leaving.add(now, run) {
		return out
	}
	return append(out, &almondstep.Report{
		Level:   almondstep.ReportInfo,
		Message: "upstream says that it leaves; it gets no more requests",
		Subject: string(run),
		Cause:   "answer to request " + request,
	})
}
