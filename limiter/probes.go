package limiter

import (
	"time"

	"almondstep"
)

const (
	// probeTimeout is the timeout of a liveness probe.
	probeTimeout = 250 * time.Millisecond
	// probeDelay is the delay before the first liveness probe; it doubles up to
	// maxProbeDoublings times.
	probeDelay        = 100 * time.Millisecond
	maxProbeDoublings = 6
)

// probe sends a lost upstream a liveness probe when one is due. A caller's
// request isn't used for this, since it would probably get no answer.
func (u *Upstreams) probe(t *reduction, up *upstream) {
	if up.warmup.temperature != almondstep.Lost {
		up.resetProbes()
		return
	}
	if up.grant != almondstep.GrantFull || up.zoneDrained || up.probeInFlight() {
		return
	}
	if up.probes > 0 {
		if up.backoffUntil > t.now || up.busy(t.now) > 0 {
			return
		}
		u.sendProbe(t, up)
	}
	d := probeDelay << min(up.probes, maxProbeDoublings)
	up.backoffUntil = t.now.Add(u.jitter(d))
	up.probes++
}

// resetProbes ends the backoff between probes once the upstream isn't lost any
// more.
func (up *upstream) resetProbes() {
	if up.probes > 0 {
		up.probes = 0
		up.backoffUntil = 0
	}
}

func (up *upstream) probeInFlight() bool {
	for _, en := range up.calls {
		if en.probe {
			return true
		}
	}
	return false
}

func (u *Upstreams) sendProbe(t *reduction, up *upstream) {
	en := u.newEntry()
	en.probe = true
	u.register(t, up, en, probeTimeout)
	t.emit(&almondstep.StartAttempt{
		Addr:          up.addr,
		Call:          en.call,
		Shard:         up.lastShard,
		Version:       up.lastVersion,
		Limit:         1,
		Idempotent:    true,
		LivenessProbe: true,
		Timeout:       probeTimeout,
		Connections:   up.connections,
	})
}
