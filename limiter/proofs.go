package limiter

import (
	"time"

	"almondstep"
)

const (
	// proofTimeout bounds a proof of life.
	proofTimeout = 250 * time.Millisecond
	// proofPause is the time until the first proof of life; it doubles up to
	// proofPauseDoublings times.
	proofPause          = 100 * time.Millisecond
	proofPauseDoublings = 6
)

// prove sends a lost upstream a request of its own when one is due: no
// caller's request waits for an answer that hardly comes.
func (u *Upstreams) prove(t *turn, up *upstream) {
	if up.warmth.temperature != almondstep.Lost {
		up.endProofs()
		return
	}
	if up.grant != almondstep.GrantFull || up.zoneOut || up.proving() {
		return
	}
	if up.proofs > 0 {
		if up.pauseUntil > t.now || up.busy(t.now) > 0 {
			return
		}
		u.sendProof(t, up)
	}
	d := proofPause << min(up.proofs, proofPauseDoublings)
	up.pauseUntil = t.now.Add(u.jitter(d))
	up.proofs++
}

// endProofs ends the pause between proofs once the upstream has answered.
func (up *upstream) endProofs() {
	if up.proofs > 0 {
		up.proofs = 0
		up.pauseUntil = 0
	}
}

func (up *upstream) proving() bool {
	for _, en := range up.calls {
		if en.proof {
			return true
		}
	}
	return false
}

func (u *Upstreams) sendProof(t *turn, up *upstream) {
	en := u.newEntry()
	en.proof = true
	u.register(t, up, en, proofTimeout)
	t.emit(&almondstep.StartAttempt{
		Addr:          up.addr,
		Call:          en.call,
		Shard:         up.lastShard,
		Version:       up.lastVer,
		Limit:         1,
		Idempotent:    true,
		LivenessProbe: true,
		Timeout:       proofTimeout,
		Connections:   up.connections,
	})
}
