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
	// overdueFactor is how many times the mean latency a request may take before
	// it counts as overdue.
	overdueFactor = 10
	// lateFactor is how many times the mean latency a canceled request must have
	// taken to start a probe.
	lateFactor = 2
	// minProbeInterval is the minimum time after a probe before a canceled
	// request starts another.
	minProbeInterval = time.Second
	statePath        = "/v1/state"
	maxStateBytes    = 1 << 20
)

// overdue is the time after which a request counts as overdue.
func (p *pool) overdue() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.client.OverdueAfter, overdueFactor*p.latency.mean)
}

func (p *pool) recordLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.add(took)
}

// checkSilence is called when a request is overdue, or has ended without receiving
// anything. If its connection was used before, it starts a liveness probe on a fresh
// one; if that is answered and the connection still receives nothing, the connection
// is considered silent. There is one probe at a time; its result also applies to
// requests that are checked while it runs.
func (p *pool) checkSilence(t *attempt) {
	if c := t.acquired.Load(); c == nil || !c.used || !p.addSuspect(t) {
		return
	}
	began := time.Now()
	fresh, err := p.probe()
	suspects := p.endProbe(fresh)
	if err != nil {
		return
	}
	for _, s := range suspects {
		s.abandon(began)
	}
}

// addSuspect adds the request to those that wait for the probe's result. It
// reports whether the caller must start the probe.
func (p *pool) addSuspect(t *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = append(p.suspects, t)
	return len(p.suspects) == 1
}

// endProbe keeps the probe's connection as the spare and returns the requests
// that waited for its result.
func (p *pool) endProbe(fresh *conn) []*attempt {
	p.mu.Lock()
	suspects := p.suspects
	p.suspects = nil
	p.probedAt = time.Now()
	if !p.closed {
		p.spare, fresh = fresh, nil
	}
	p.mu.Unlock()
	if fresh != nil {
		_ = fresh.Close()
	}
	return suspects
}

// probe requests the upstream's state on a fresh connection.
func (p *pool) probe() (*conn, error) {
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
	if err := c.requestState(ctx, p.addr); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func (c *conn) requestState(ctx context.Context, addr almondstep.Address) error {
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
		return errors.Newf("%s: state answer is too large or the upstream closes the connection", addr)
	}
	return c.SetDeadline(time.Time{})
}

// checkEnded starts a probe after an idempotent request that timed out or was
// canceled without receiving anything: its connection may be silent. A
// canceled request, such as the loser of a hedge, counts only if it took longer
// than usual.
func (p *pool) checkEnded(t *attempt) {
	if !t.start.Idempotent || t.silent.Load() {
		return
	}
	c := t.acquired.Load()
	if c == nil || c.lastRead.Load() >= t.began.UnixNano() {
		return
	}
	switch t.ended.Result {
	case almondstep.CallTimeout:
		go p.checkSilence(t)
	case almondstep.CallCanceled:
		if p.lateCancel(time.Now(), t.began) {
			go p.checkSilence(t)
		}
	default:
	}
}

func (p *pool) lateCancel(now, began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(began) > lateFactor*p.latency.mean && now.Sub(p.probedAt) > minProbeInterval
}

// abandon ends an overdue request if its connection has received nothing since
// the probe began. It also closes the idle connections that have received
// nothing since the request began: the cause, such as a middlebox that lost its
// connection state, has likely affected them too.
func (t *attempt) abandon(probeBegan time.Time) {
	c := t.acquired.Load()
	if c == nil || c.lastRead.Load() >= probeBegan.UnixNano() {
		return
	}
	p := t.pool
	closed := p.dropStale(t.began)
	p.client.Logger.Info("closed a connection that no longer delivers data", "upstream", p.addr, "age", time.Since(c.opened), "siblingsClosed", closed)
	t.silent.Store(true)
	t.cancel()
}

// dropStale closes the idle connections that have received nothing since before, and
// returns their number.
func (p *pool) dropStale(before time.Time) int {
	p.mu.Lock()
	var stale []*conn
	for c := range p.open {
		if c.request.Load() == nil && c != p.spare && c.lastRead.Load() < before.UnixNano() {
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
