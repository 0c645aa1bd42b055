package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// crashWindow is how soon after a broken connection a new boot or a refused
// connection means that the upstream crashed.
const crashWindow = 10 * time.Second

// suspectsKept bounds the suspects of one upstream.
const suspectsKept = 64

// suspects are the requests that were in flight when a connection broke. If
// the upstream turns out to have crashed, one of them did it.
type suspects struct {
	since        almondstep.Instant
	fingerprints []almondstep.Fingerprint
}

// suspect notes the requests in flight at a break, the broken one included.
func (u *Upstreams) suspect(t *turn, up *upstream, r almondstep.CallResult) {
	if r != almondstep.CallBroken {
		return
	}
	if t.now.Sub(up.suspects.since) > crashWindow {
		up.suspects.fingerprints = up.suspects.fingerprints[:0]
	}
	up.suspects.since = t.now
	for _, en := range up.calls {
		full := len(up.suspects.fingerprints) >= suspectsKept
		if full || en.proof || slices.Contains(up.suspects.fingerprints, en.work.Fingerprint) {
			continue
		}
		up.suspects.fingerprints = append(up.suspects.fingerprints, en.work.Fingerprint)
	}
}

// acquit drops the suspects when a request sent after the break is answered by
// the same boot: the connection broke, but nothing crashed.
func (up *upstream) acquit(en *entry, e *almondstep.AttemptEnded) {
	if e.Boot != "" && e.Boot == up.boot && en.startedAt > up.suspects.since {
		up.suspects.fingerprints = up.suspects.fingerprints[:0]
	}
}

// reportSuspects tells the control thread of each suspect once.
func (u *Upstreams) reportSuspects(t *turn, up *upstream) {
	if t.now.Sub(up.suspects.since) <= crashWindow {
		for _, f := range up.suspects.fingerprints {
			t.emit(&almondstep.ReportCrash{Fingerprint: f, Upstream: up.addr})
		}
	}
	up.suspects.fingerprints = up.suspects.fingerprints[:0]
}
