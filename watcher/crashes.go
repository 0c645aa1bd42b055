package watcher

import (
	"strconv"

	"almondstep"
)

// requestCrashed counts the crashes that a traffic thread has observed, and has them
// recorded in the registry.
func (w *Watcher) requestCrashed(now almondstep.Instant, e *almondstep.RequestCrashed, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	for _, u := range e.Upstreams {
		r := almondstep.CrashRecord{Fingerprint: e.Fingerprint, Upstream: u}
		if !e.Silent() {
			r = l.recordOf(now, r)
		}
		if !l.quarantine.Add(now, r.Fingerprint, r.Upstream, e.CrashEvidence) {
			continue
		}
		l.add(w.observation(now, u), r, e.CrashEvidence)
		out = append(out, w.reportCrash(now, e.Fingerprint, crashCause(r.Upstream, e)))
	}
	return w.recordCrashes(now, w.publishAge(out))
}

// crashCause returns the evidence of a crash, for the log.
func crashCause(run almondstep.UpstreamRun, e *almondstep.RequestCrashed) string {
	if e.Silent() {
		return "upstream " + string(run) + " has ended and left it unanswered, sent " + e.SentAgo.String() + " before"
	}
	cause := "upstream " + string(run) + " crashed under it"
	if e.AnsweredAgo > 0 {
		cause += ", " + e.AnsweredAgo.String() + " after it was last answered here"
	}
	return cause
}

// requestSurvived clears a request that an upstream has answered.
func (w *Watcher) requestSurvived(now almondstep.Instant, e *almondstep.RequestSurvived, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	if l.quarantine.Crashes()[e.Fingerprint] == 0 {
		return out
	}
	for _, r := range l.of(e.Fingerprint) {
		l.takeBack(now, r)
	}
	out = append(out, w.report("request cleared", e.Fingerprint.String(), "an upstream answered it", w.revision))
	return w.recordCrashes(now, w.publishAge(out))
}

// recordCrashes writes what is queued, in batches.
func (w *Watcher) recordCrashes(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	if l.writing || now < l.nextAt || len(l.toAdd)+len(l.toRemove) == 0 {
		return out
	}
	f := &almondstep.RecordCrashes{}
	f.Add, l.toAdd = takeFirst(l.toAdd, recordBatch)
	f.Remove, l.toRemove = takeFirst(l.toRemove, recordBatch)
	l.writing = true
	l.nextAt = now.Add(recordInterval)
	return append(out, f)
}

// crashesRecorded queues again what couldn't be written.
func (w *Watcher) crashesRecorded(now almondstep.Instant, e *almondstep.CrashesRecorded, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	l.writing = false
	if e.Err == "" {
		l.retry = minAnnounceRetry
		return out
	}
	for _, c := range e.Add {
		if l.isOwn(c.CrashRecord) {
			l.toAdd = append(l.toAdd, c)
		}
	}
	l.toRemove = append(l.toRemove, e.Remove...)
	l.nextAt = now.Add(l.retry)
	l.retry = min(2*l.retry, maxAnnounceRetry)
	return out
}

// applyCrashes applies changes of the records, and reports whether there were any.
func (w *Watcher) applyCrashes(now almondstep.Instant, e *almondstep.RegistryRead, changes []almondstep.CrashChange, out []almondstep.Effect) (bool, []almondstep.Effect) {
	l := &w.crashes
	if e.Full {
		changes = l.withUnlisted(changes, e.Changes.Crashes, e.Changes.Revision, w.restored)
	}
	changed := false
	for _, c := range changes {
		held, known := l.records[c.CrashRecord]
		if known && c.Revision < held.revision || !known && c.Removed {
			continue
		}
		changed = true
		if c.Removed {
			delete(l.records, c.CrashRecord)
			l.forget(c.CrashRecord)
			l.quarantine.Remove(now, c.Fingerprint, c.Upstream)
			continue
		}
		if !known {
			held.removeAt = now.Add(CrashMemory)
			l.observe(w.observation(now, c.Upstream), c.CrashRecord)
		}
		held.revision = c.Revision
		l.records[c.CrashRecord] = held
		if l.quarantine.Add(now, c.Fingerprint, c.Upstream, c.CrashEvidence) {
			out = append(out, w.reportCrash(now, c.Fingerprint, "the registry has that upstream "+string(c.Upstream)+" crashed under it"))
		}
	}
	return changed, out
}

// expireCrashes forgets crashes older than CrashMemory. The daemons that read the registry
// itself remove the records.
func (w *Watcher) expireCrashes(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	if w.readsRegistry() {
		l.removeExpired(now)
	}
	if l.quarantine.Expire(now) {
		return w.publishAge(out)
	}
	return out
}

// reportCrash logs that a crash counts against a request, as a warning if the request is
// refused from now on.
func (w *Watcher) reportCrash(now almondstep.Instant, f almondstep.Fingerprint, cause string) *almondstep.Report {
	n := strconv.Itoa(w.crashes.quarantine.Crashes()[f])
	r := w.report("request is suspected of crashing upstreams", f.String(), cause+"; crashes: "+n, w.revision)
	if w.crashes.quarantine.Remaining(now, f) > 0 {
		r.Level = almondstep.ReportWarn
		r.Message = "request is refused because it crashes upstreams"
	}
	return r
}
