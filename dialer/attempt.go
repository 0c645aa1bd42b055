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

// The headers of the HTTP form.
const (
	headerBoot          = "Almondstep-Boot"
	headerLeaving       = "Almondstep-Leaving"
	headerCold          = "Almondstep-Cold"
	headerNotRun        = "Almondstep-Not-Run"
	headerTimeoutMillis = "Almondstep-Timeout-Millis"
)

const callPath = "/v1/call"

// sendTries bounds the connections a request may meet that were just closed.
const sendTries = 3

// freshFor is how long an unused connection counts as fresh.
const freshFor = time.Second

// attempt is one request on its way.
type attempt struct {
	pool   *pool
	start  *almondstep.StartAttempt
	ended  *almondstep.AttemptEnded
	began  time.Time
	cancel context.CancelFunc
	// carrier is the connection the request went out on; nil before it has one.
	carrier atomic.Pointer[carrier]
	// silent says that the request was given up because its connection had
	// gone silent.
	silent atomic.Bool
}

// carrier is a connection as the request found it.
type carrier struct {
	*conn
	// writtenBefore is what the connection had carried before the request.
	writtenBefore int64
	// used says that the connection was used before the request.
	used bool
}

// do sends the request and fills in how it ended.
func (p *pool) do(parent context.Context, a *almondstep.StartAttempt, ended *almondstep.AttemptEnded) {
	defer p.done()
	ctx, cancel := context.WithTimeout(parent, a.Timeout)
	defer cancel()
	t := &attempt{pool: p, start: a, ended: ended, began: time.Now(), cancel: cancel}
	if a.Idempotent {
		watch := time.AfterFunc(p.overdue(), func() { p.prove(t) })
		defer watch.Stop()
	}
	resp, err := t.send(ctx)
	for try := 1; err != nil && try < sendTries && t.unsent(ctx); try++ {
		resp, err = t.send(ctx)
	}
	if err != nil {
		ended.Result = t.failure(parent, ctx, err)
		p.suspectEnd(t)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := t.decode(resp); err != nil {
		ended.Result = t.failure(parent, ctx, err)
		return
	}
	if ended.Result == almondstep.CallDone {
		p.answered(time.Since(t.began))
	}
}

// unsent says that the request met a connection that was just closed, by
// either side, with none of it written, so that sending it now sends it for
// the first time.
func (t *attempt) unsent(ctx context.Context) bool {
	return ctx.Err() == nil && t.carrier.Load() != nil && !t.written()
}

func (t *attempt) send(ctx context.Context) (*http.Response, error) {
	t.carrier.Store(nil)
	if t.start.LivenessProbe {
		return t.sendProof(ctx)
	}
	body := encodeCall(t.start)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:     t.gotConn,
		PutIdleConn: t.putIdleConn,
	})
	url := "http://" + string(t.start.Addr) + callPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, oneWay{bytes.NewReader(body)})
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

// sendProof asks for the upstream's state, which costs it next to nothing.
func (t *attempt) sendProof(ctx context.Context) (*http.Response, error) {
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
	t.carrier.Store(&carrier{
		conn:          c,
		writtenBefore: c.written.Load(),
		used:          info.Reused || time.Since(c.opened) > freshFor,
	})
}

// putIdleConn may come after the connection has got its next request.
func (t *attempt) putIdleConn(error) {
	if c := t.carrier.Load(); c != nil {
		c.request.CompareAndSwap(t, nil)
	}
}

// written says that the upstream may have read some of a request that has
// failed. The connection is closed first, so that nothing is written later.
func (t *attempt) written() bool {
	c := t.carrier.Load()
	if c == nil {
		return false
	}
	if c.written.Load() == c.writtenBefore {
		_ = c.Close()
	}
	return c.written.Load() > c.writtenBefore
}

// dropped says that this side closed the connection, just when the request had
// got it.
func (t *attempt) dropped() bool {
	c := t.carrier.Load()
	return c != nil && c.dropped.Load()
}

// failure says how a request without a whole answer ended. CallRefused is said
// only when the upstream's machine refused the connection: it counts as
// evidence of a crash, which the want of a connection in time is not.
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
	t.fill(body)
	return nil
}

// resultOf maps a status to a result. Only the upstream's own mark says that a
// request has not run.
func resultOf(resp *http.Response) almondstep.CallResult {
	notRun := resp.Header.Get(headerNotRun) != ""
	switch {
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

// fill takes the answer's content over, if it is of the version asked for.
func (t *attempt) fill(body []byte) {
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
