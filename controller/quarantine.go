package controller

import (
	"time"

	"almondstep"
	"almondstep/quarantiner"
)

const (
	// quarantineDuration is how long a crash counts against a request, and how long a
	// request that crashes upstreams is refused.
	quarantineDuration = 10 * time.Minute
	// crashLimit is the number of crashed upstreams at which a request is
	// quarantined.
	crashLimit = 2
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 1024
)

func newQuarantine() quarantiner.Quarantine {
	return quarantiner.Quarantine{Limit: crashLimit, Duration: quarantineDuration, MaxRequests: maxSuspects}
}

// quarantineRumors records a crash and returns the rumors to spread: the crash itself,
// since another daemon may observe the next one, and the quarantine if it begins.
func quarantineRumors(now almondstep.Instant, q *quarantiner.Quarantine, e *almondstep.ReportCrash) []almondstep.Rumor {
	r := almondstep.Rumor{Kind: almondstep.RumorQuarantine, Fingerprint: e.Fingerprint, Upstream: e.Upstream, Crashes: 1}
	if !receiveQuarantine(now, q, &r) {
		return nil
	}
	rumors := []almondstep.Rumor{r}
	if left := q.Remaining(now, e.Fingerprint); left > 0 {
		rumors = append(rumors, almondstep.Rumor{
			Kind:        almondstep.RumorQuarantine,
			Fingerprint: e.Fingerprint,
			Remaining:   left,
			Crashes:     crashLimit,
		})
	}
	return rumors
}

// receiveQuarantine handles a rumor about a crash, or about a quarantine if it names no
// upstream. It reports whether it changed the state.
func receiveQuarantine(now almondstep.Instant, q *quarantiner.Quarantine, r *almondstep.Rumor) bool {
	if r.Upstream == "" {
		return q.Impose(now, r.Fingerprint, r.Remaining)
	}
	return q.Add(now, r.Fingerprint, almondstep.UpstreamRun(r.Upstream), almondstep.CrashEvidence{})
}
