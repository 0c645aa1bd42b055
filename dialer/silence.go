package dialer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

const (
	// overdueFactor is how many times the mean a request may take before it
	// counts as overdue.
	overdueFactor = 10
	// lateFactor is how many times the mean a canceled request must have taken
	// to start a proof.
	lateFactor = 2
	// proofPause is the least time after a proof before a canceled request
	// starts another.
	proofPause    = time.Second
	statePath     = "/v1/state"
	maxStateBytes = 1 << 20
)

// overdue is the time after which a request counts as overdue.
func (p *pool) overdue() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.client.Overdue, overdueFactor*p.latency.mean)
}

func (p *pool) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.add(took)
}

// prove is called when a request is overdue. If its connection was used before
// and a fresh one answers, the connection is taken for silent. There is one
// proof at a time; requests that come overdue meanwhile are judged by it too.
func (p *pool) prove(t *attempt) {
	if c := t.carrier.Load(); c == nil || !c.used || !p.suspect(t) {
		return
	}
	began := time.Now()
	fresh, err := p.proof()
	suspects := p.endProof(fresh)
	if err != nil {
		return
	}
	for _, s := range suspects {
		s.giveUp(began)
	}
}

// suspect adds the request to those that the present proof judges. It says
// whether the proof is still to be begun.
func (p *pool) suspect(t *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = append(p.suspects, t)
	return len(p.suspects) == 1
}

// endProof keeps the proven connection as the warm spare and gives the
// requests to be judged.
func (p *pool) endProof(fresh *conn) []*attempt {
	p.mu.Lock()
	suspects := p.suspects
	p.suspects = nil
	p.provedAt = time.Now()
	if !p.closed {
		p.spare, fresh = fresh, nil
	}
	p.mu.Unlock()
	if fresh != nil {
		_ = fresh.Close()
	}
	return suspects
}

// proof asks for the upstream's state on a fresh connection.
func (p *pool) proof() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.DialTimeout)
	defer cancel()
	if old := p.takeSpare(); old != nil {
		_ = old.Close()
	}
	if len(p.permits) == cap(p.permits) {
		p.shared.CloseIdleConnections()
	}
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	if err := c.askState(ctx, p.addr); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func (c *conn) askState(ctx context.Context, addr almondstep.Address) error {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+string(addr)+statePath, http.NoBody)
	if err != nil {
		return err
	}
	if err := r.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStateBytes+1))
	if err != nil {
		return err
	}
	if n > maxStateBytes || resp.Close {
		return errors.Newf("%s: the connection can't be kept", addr)
	}
	return c.SetDeadline(time.Time{})
}

// suspectEnd starts a proof after a request that ended before it was overdue,
// without a word from its connection: it may have gone silent. One that was
// canceled, such as the loser of a hedge, counts if it took longer than usual.
func (p *pool) suspectEnd(t *attempt) {
	if !t.start.Idempotent || t.silent.Load() {
		return
	}
	c := t.carrier.Load()
	if c == nil || c.heard.Load() >= t.began.UnixNano() {
		return
	}
	switch t.ended.Result {
	case almondstep.CallTimeout:
		go p.prove(t)
	case almondstep.CallCanceled:
		if p.lateCancel(time.Now(), t.began) {
			go p.prove(t)
		}
	default:
	}
}

func (p *pool) lateCancel(now, began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(began) > lateFactor*p.latency.mean && now.Sub(p.provedAt) > proofPause
}

// giveUp ends an overdue request, if its connection was not heard since the
// proof began, and closes the idle connections that were not heard since the
// request went out: whatever has lost track of the one has likely lost track
// of them.
func (t *attempt) giveUp(proofBegan time.Time) {
	c := t.carrier.Load()
	if c == nil || c.heard.Load() >= proofBegan.UnixNano() {
		return
	}
	p := t.pool
	closed := p.dropStale(t.began)
	p.client.Logger.Info("connection silent", "upstream", p.addr, "age", time.Since(c.opened), "siblingsClosed", closed)
	t.silent.Store(true)
	t.cancel()
}

// dropStale closes the idle connections last heard before a time.
func (p *pool) dropStale(before time.Time) int {
	p.mu.Lock()
	var stale []*conn
	for c := range p.open {
		if c.request.Load() == nil && c != p.spare && c.heard.Load() < before.UnixNano() {
			stale = append(stale, c)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.dropped.Store(true)
		_ = c.Close()
	}
	return len(stale)
}
