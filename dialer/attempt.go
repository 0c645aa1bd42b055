package dialer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// HTTP headers defined by the project.
const (
	headerBoot          = "Almondstep-Boot"
	headerLeaving       = "Almondstep-Leaving"
	headerCold          = "Almondstep-Cold"
	headerNotRun        = "Almondstep-Not-Run"
	headerTimeoutMillis = "Almondstep-Timeout-Millis"
)

const callPath = "/v1/call"

// maxSendTries bounds how often a request is tried if the connection it gets was
// closed before any of it was written.
const maxSendTries = 3

// maxFreshAge is the age up to which an unused connection counts as fresh.
const maxFreshAge = time.Second

// attempt is one request in flight.
type attempt struct {
	pool   *pool
	start  *almondstep.StartAttempt
	ended  *almondstep.AttemptEnded
	began  time.Time
	cancel context.CancelFunc
	// acquired is the connection the request is sent on; nil until there is one.
	acquired atomic.Pointer[acquiredConn]
	// silent is set if the request was abandoned because its connection was found
	// to be silent.
	silent atomic.Bool
}

// acquiredConn is a connection and its state when the request acquired it.
type acquiredConn struct {
	*conn
	// writtenBefore is the number of bytes written before the request.
	writtenBefore int64
	// used is set if the connection was used before the request, or is too old
	// to count as fresh.
	used bool
}

// do sends the request and fills in its result.
func (p *pool) do(parent context.Context, a *almondstep.StartAttempt, ended *almondstep.AttemptEnded) {
	defer p.done()
	ctx, cancel := context.WithTimeout(parent, a.Timeout)
	defer cancel()
	t := &attempt{pool: p, start: a, ended: ended, began: time.Now(), cancel: cancel}
	if a.Idempotent {
		overdueTimer := time.AfterFunc(p.overdue(), func() { p.checkSilence(t) })
		defer overdueTimer.Stop()
	}
	resp, err := t.send(ctx)
	for try := 1; err != nil && try < maxSendTries && t.unsent(ctx); try++ {
		resp, err = t.send(ctx)
	}
	if err != nil {
		ended.Result = t.failure(parent, ctx, err)
		p.checkEnded(t)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := t.decode(resp); err != nil {
		ended.Result = t.failure(parent, ctx, err)
		return
	}
	if ended.Result == almondstep.CallDone {
		p.recordLatency(time.Since(t.began))
	}
}

// unsent reports whether the request may be sent on another connection without
// being sent twice: it got a connection that either side had just closed, and no
// byte of it was written.
func (t *attempt) unsent(ctx context.Context) bool {
	return ctx.Err() == nil && t.acquired.Load() != nil && !t.written()
}

func (t *attempt) send(ctx context.Context) (*http.Response, error) {
	t.acquired.Store(nil)
	if t.start.LivenessProbe {
		return t.sendProbe(ctx)
	}
	body := encodeCall(t.start)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:     t.gotConn,
		PutIdleConn: t.putIdleConn,
	})
	url := "http://" + string(t.start.Addr) + callPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUseBody{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerTimeoutMillis, strconv.FormatInt(t.start.Timeout.Milliseconds(), 10))
	if t.start.Idempotent {
		return t.pool.shared.RoundTrip(r)
	}
	return t.pool.fresh.RoundTrip(r)
}

// sendProbe requests the upstream's state, which takes the upstream little work and
// runs nothing.
func (t *attempt) sendProbe(ctx context.Context) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	url := "http://" + string(t.start.Addr) + statePath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	return t.pool.fresh.RoundTrip(r)
}

func (t *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.request.Store(t)
	t.acquired.Store(&acquiredConn{
		conn:          c,
		writtenBefore: c.written.Load(),
		used:          info.Reused || time.Since(c.opened) > maxFreshAge,
	})
}

// putIdleConn marks the connection as idle, unless it has already been given to its
// next request.
func (t *attempt) putIdleConn(error) {
	if c := t.acquired.Load(); c != nil {
		c.request.CompareAndSwap(t, nil)
	}
}

// written reports whether the upstream may have read some of a failed request.
// It first closes the connection if nothing was written so far, so that nothing
// is written later.
func (t *attempt) written() bool {
	c := t.acquired.Load()
	if c == nil {
		return false
	}
	if c.written.Load() == c.writtenBefore {
		_ = c.Close()
	}
	return c.written.Load() > c.writtenBefore
}

// dropped reports whether this side closed the connection as silent, which can
// happen just after the request has acquired it.
func (t *attempt) dropped() bool {
	c := t.acquired.Load()
	return c != nil && c.dropped.Load()
}

// failure returns the result of a request without a complete answer. It is
// CallRefused only if the upstream's VM refused the connection, which counts as
// evidence of a crash. Getting no connection in time doesn't.
func (t *attempt) failure(parent, ctx context.Context, err error) almondstep.CallResult {
	switch {
	case errors.Is(parent.Err(), context.Canceled):
		return almondstep.CallCanceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return almondstep.CallRefused
	case t.silent.Load(), t.dropped(), ctx.Err() != nil, !t.written():
		return almondstep.CallTimeout
	default:
		return almondstep.CallBroken
	}
}

// decode reads the whole answer. It returns an error if the connection broke
// before its end.
func (t *attempt) decode(resp *http.Response) error {
	e := t.ended
	e.Boot = almondstep.BootID(resp.Header.Get(headerBoot))
	e.Leaving = resp.Header.Get(headerLeaving) != ""
	e.Cold = resp.Header.Get(headerCold) != ""
	limit := t.pool.client.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	e.Result = resultOf(resp)
	if t.start.LivenessProbe {
		return nil
	}
	if e.Result == almondstep.CallRejected || e.Result == almondstep.CallShed {
		return nil
	}
	if int64(len(body)) > limit {
		e.Result = almondstep.CallRejected
		return nil
	}
	t.fillResult(body)
	return nil
}

// resultOf maps a status to a result. A request counts as not run only if the
// answer carries the upstream's own header for it, and a status of HTTP.
func resultOf(resp *http.Response) almondstep.CallResult {
	notRun := resp.Header.Get(headerNotRun) != ""
	switch {
	case !almondstep.IsFinalStatus(resp.StatusCode):
		return almondstep.CallRejected
	case resp.StatusCode == http.StatusOK:
		return almondstep.CallDone
	case resp.StatusCode == http.StatusConflict && notRun:
		return almondstep.CallWrongVersion
	case notRun:
		return almondstep.CallShed
	case resp.StatusCode == http.StatusGatewayTimeout:
		return almondstep.CallTimeout
	default:
		return almondstep.CallRejected
	}
}

// fillResult decodes the answer and copies it into the result, if it is of the
// requested version.
func (t *attempt) fillResult(body []byte) {
	e := t.ended
	answer, err := decodeAnswer(body, t.start.Limit)
	if err != nil {
		if e.Result == almondstep.CallDone {
			e.Result = almondstep.CallRejected
		}
		return
	}
	e.Version = answer.Version
	if e.Result == almondstep.CallDone && answer.Version != t.start.Version {
		e.Result = almondstep.CallWrongVersion
	}
	if e.Result == almondstep.CallDone {
		e.Total = answer.Total
		e.Records = answer.Records
	}
}
