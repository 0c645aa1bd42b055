package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// crashWindow is how soon after a broken connection a new boot or a refused
// connection is taken as a crash of the upstream.
const crashWindow = 10 * time.Second

// maxSuspects bounds the suspects of one upstream.
const maxSuspects = 64

// suspects are the requests that were in flight when a connection broke. If the
// upstream has crashed, one of them is the likely cause.
type suspects struct {
	// since is when a connection last broke.
	since        almondstep.Instant
	fingerprints []almondstep.Fingerprint
}

// addSuspects records the requests in flight when a connection breaks,
// including the one on that connection.
func (u *Upstreams) addSuspects(t *reduction, up *upstream, r almondstep.CallResult) {
	if r != almondstep.CallBroken {
		return
	}
	if t.now.Sub(up.suspects.since) > crashWindow {
		up.suspects.fingerprints = up.suspects.fingerprints[:0]
	}
	up.suspects.since = t.now
	for _, en := range up.calls {
		full := len(up.suspects.fingerprints) >= maxSuspects
		if full || en.probe || slices.Contains(up.suspects.fingerprints, en.work.Fingerprint) {
			continue
		}
		up.suspects.fingerprints = append(up.suspects.fingerprints, en.work.Fingerprint)
	}
}

// clearSuspects drops the suspects when the same boot answers a request sent
// after the break: the connection broke, but the upstream didn't crash.
func (up *upstream) clearSuspects(en *entry, e *almondstep.AttemptEnded) {
	if e.Boot != "" && e.Boot == up.boot && en.startedAt > up.suspects.since {
		up.suspects.fingerprints = up.suspects.fingerprints[:0]
	}
}

// reportSuspects reports each suspect to the control thread once, unless the
// connection broke longer than crashWindow ago.
func (u *Upstreams) reportSuspects(t *reduction, up *upstream) {
	if t.now.Sub(up.suspects.since) <= crashWindow {
		for _, f := range up.suspects.fingerprints {
			t.emit(&almondstep.ReportCrash{Fingerprint: f, Upstream: up.addr})
		}
	}
	up.suspects.fingerprints = up.suspects.fingerprints[:0]
}
