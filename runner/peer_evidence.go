package runner

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// evidenceEvery bounds how often traffic tells the control thread that a daemon
// lives; a change from answering to not answering is told at once.
const evidenceEvery = 500 * time.Millisecond

// peerEvidence thins out what traffic shows of other daemons.
type peerEvidence struct {
	mu   sync.Mutex
	last map[almondstep.DaemonID]evidence
}

type evidence struct {
	ok bool
	at time.Time
}

func (p *peerEvidence) init() {
	p.last = make(map[almondstep.DaemonID]evidence)
}

// worthTelling says whether the control thread should hear this outcome.
func (p *peerEvidence) worthTelling(id almondstep.DaemonID, ok bool) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	last, known := p.last[id]
	if known && last.ok == ok && now.Sub(last.at) < evidenceEvery {
		return false
	}
	p.last[id] = evidence{ok: ok, at: now}
	return true
}

// keep drops what is known of daemons that have left the view.
func (p *peerEvidence) keep(v *almondstep.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.last {
		if _, ok := v.Peer(id); !ok {
			delete(p.last, id)
		}
	}
}

// noteEvidence takes a call's outcome as evidence. A daemon that refuses lives.
func (r *Runner) noteEvidence(id almondstep.DaemonID, err error) {
	ok := err == nil || refusedByDaemon(err)
	if r.heard.worthTelling(id, ok) {
		r.control.push(&almondstep.PeerObserved{Daemon: id, OK: ok})
	}
}

// refusedByDaemon says whether the other daemon itself answered; a refused
// connection is no answer.
func refusedByDaemon(err error) bool {
	return errors.Is(err, almondstep.ErrRefused)
}
