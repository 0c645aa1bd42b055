package runner

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// observationInterval is the minimum interval between equal reports of a daemon's
// liveness to the control thread; a change is reported immediately.
const observationInterval = 500 * time.Millisecond

// peerObservations limits the rate at which the outcomes of traffic calls to other
// daemons are reported to the control thread as signs of liveness.
type peerObservations struct {
	mu   sync.Mutex
	last map[almondstep.DaemonID]observation
}

type observation struct {
	ok bool
	at time.Time
}

func (p *peerObservations) init() {
	p.last = make(map[almondstep.DaemonID]observation)
}

// shouldReport reports whether an outcome is to be sent to the control thread.
func (p *peerObservations) shouldReport(id almondstep.DaemonID, ok bool) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	last, known := p.last[id]
	if known && last.ok == ok && now.Sub(last.at) < observationInterval {
		return false
	}
	p.last[id] = observation{ok: ok, at: now}
	return true
}

// prune drops the observations of daemons that have left the view.
func (p *peerObservations) prune(v *almondstep.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.last {
		if _, ok := v.Peer(id); !ok {
			delete(p.last, id)
		}
	}
}

// observePeer reports a call's outcome to the control thread as a sign of a
// daemon's liveness. A daemon that refuses a call is alive.
func (r *Runner) observePeer(id almondstep.DaemonID, err error) {
	ok := err == nil || refusedByDaemon(err)
	if r.observed.shouldReport(id, ok) {
		r.control.push(&almondstep.PeerObserved{Daemon: id, OK: ok})
	}
}

// refusedByDaemon reports whether the other daemon itself refused the call; a
// refused connection doesn't count.
func refusedByDaemon(err error) bool {
	return errors.Is(err, almondstep.ErrRefused)
}
