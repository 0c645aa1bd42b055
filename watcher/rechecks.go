package watcher

import (
	"time"

	"almondstep"
)

const (
	// maxRechecks is the number of rechecks of a quarantined request: each may crash an upstream.
	maxRechecks = 3
	// recheckDelay is the time from the last crash, or recheck, to the next recheck of a request whose
	// crashes may be those of an outage of its upstreams. It doubles with each recheck.
	recheckDelay = 8 * time.Second
	// unlikelyRecheckDelay is that of a request under which upstreams crashed while others of the
	// same service ran on: they would have answered a request that isn't the cause.
	unlikelyRecheckDelay = time.Minute
	// outageSpan is the time within which the crashes of one outage are observed.
	outageSpan = 4 * time.Second
)

// crashHistory is what the records of a quarantined request say together.
type crashHistory struct {
	runs     map[almondstep.UpstreamRun]bool
	services map[almondstep.ServiceName]bool
	rechecks int
	// lastAt is when this daemon learned of the last crash or recheck, and lastCrashAt of the last
	// crash.
	lastAt      almondstep.Instant
	lastCrashAt almondstep.Instant
}

func (h *crashHistory) add(r almondstep.CrashRecord, o observation) {
	h.lastAt = max(h.lastAt, o.at)
	if r.IsRecheck() {
		h.rechecks++
		return
	}
	h.lastCrashAt = max(h.lastCrashAt, o.at)
	h.runs[r.Upstream] = true
	if o.service != "" {
		h.services[o.service] = true
	}
}

// rechecks returns the next rechecks of the quarantined requests that have one left. A request that
// was in flight when all upstreams of its service were lost looks like one that crashes them, and
// as long as it is refused no upstream can answer it: a recheck shows which it is.
//
// Example: three upstreams crash under a request, and the service has no others. 8 s later one
// daemon sends it once. If it is answered, all daemons serve it again; if not, the next recheck
// begins 16 s later.
func (w *Watcher) rechecks() map[almondstep.Fingerprint]almondstep.Recheck {
	histories := w.crashes.histories()
	if len(histories) == 0 {
		return nil
	}
	rechecks := make(map[almondstep.Fingerprint]almondstep.Recheck, len(histories))
	for f, h := range histories {
		if h.rechecks >= maxRechecks {
			continue
		}
		delay := recheckDelay
		if w.othersRanOn(h) {
			delay = unlikelyRecheckDelay
		}
		rechecks[f] = almondstep.Recheck{Number: h.rechecks + 1, At: h.lastAt.Add(delay << h.rechecks)}
	}
	return rechecks
}

// histories returns the histories of the quarantined requests.
func (l *crashLog) histories() map[almondstep.Fingerprint]*crashHistory {
	quarantined := l.quarantine.Requests()
	if len(quarantined) == 0 {
		return nil
	}
	all := make(map[almondstep.Fingerprint]*crashHistory, len(quarantined))
	for r, o := range l.observed {
		if _, ok := quarantined[r.Fingerprint]; !ok {
			continue
		}
		if all[r.Fingerprint] == nil {
			all[r.Fingerprint] = &crashHistory{runs: make(map[almondstep.UpstreamRun]bool), services: make(map[almondstep.ServiceName]bool)}
		}
		all[r.Fingerprint].add(r, o)
	}
	return all
}

// othersRanOn reports whether an upstream of the services whose upstreams crashed under a request
// has run since before the crashes, and not crashed under it.
func (w *Watcher) othersRanOn(h *crashHistory) bool {
	for service := range h.services {
		for key := range w.listing.keys[service] {
			e := w.listing.entries[key]
			if e.runSince.Add(outageSpan) < h.lastCrashAt && !h.runs[e.run] {
				return true
			}
		}
	}
	return false
}

// listedSince returns the time since which a run that is listed now counts as listed: 0, which is
// before all crashes, in the first listing.
func (w *Watcher) listedSince(now almondstep.Instant) almondstep.Instant {
	if w.directory == nil {
		return 0
	}
	return now
}

// observation returns what is known now of a run that has crashed.
func (w *Watcher) observation(now almondstep.Instant, run almondstep.UpstreamRun) observation {
	service, listed := w.listing.runs[run]
	if !listed {
		service = w.ended.runs[run].Service
	}
	return observation{at: now, service: service}
}

// recheckBegan counts a recheck of this daemon, whose record the registry has.
func (w *Watcher) recheckBegan(now almondstep.Instant, e *almondstep.RecheckBegan, out []almondstep.Effect) []almondstep.Effect {
	l := &w.crashes
	l.hold(observation{at: now}, e.Record)
	l.quarantine.Add(now, e.Record.Fingerprint, e.Record.Upstream, almondstep.CrashEvidence{})
	out = append(out, w.report("refused request is tried", e.Record.Fingerprint.String(), string(e.Record.Upstream), w.revision))
	return w.publishAge(out)
}

// recheckReleased removes the record of a recheck that has reached no upstream.
func (w *Watcher) recheckReleased(now almondstep.Instant, e *almondstep.RecheckReleased, out []almondstep.Effect) []almondstep.Effect {
	w.crashes.takeBack(now, e.Record)
	out = append(out, w.report("refused request couldn't be tried", e.Record.Fingerprint.String(), string(e.Record.Upstream), w.revision))
	return w.recordCrashes(now, w.publishAge(out))
}
