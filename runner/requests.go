package runner

import (
	"context"
	"time"

	"almondstep"
)

var _ almondstep.Forwarder = (*Runner)(nil)

// Forward answers a caller's request for a route. If the caller disconnects
// first, its calls are abandoned and the reply's outcome is unknown.
func (r *Runner) Forward(ctx context.Context, e *almondstep.RequestArrived) *almondstep.Reply {
	answer := r.forward(ctx, e)
	r.Recorder.Replied(answer.Trace.Route, answer)
	return answer
}

func (r *Runner) forward(ctx context.Context, e *almondstep.RequestArrived) *almondstep.Reply {
	e.At = r.now()
	t := r.queryThread(e.ID)
	reply := make(chan *almondstep.Reply, 1)
	t.waitersMu.Lock()
	t.requesters[e.ID] = reply
	t.waitersMu.Unlock()
	t.push(e)
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		t.waitersMu.Lock()
		delete(t.requesters, e.ID)
		t.waitersMu.Unlock()
		t.push(&almondstep.RequesterGone{ID: e.ID})
		return &almondstep.Reply{Outcome: almondstep.OutcomeUnknown, Code: almondstep.CodeCallerGone}
	}
}

func (t *thread) replyRequest(f *almondstep.ReplyRequest) {
	t.waitersMu.Lock()
	reply, ok := t.requesters[f.ID]
	delete(t.requesters, f.ID)
	t.waitersMu.Unlock()
	if ok {
		reply <- f.Reply
	}
}

// requestCalls is the address under which the calls of routed requests are
// registered in attemptCancels: their ids are unique on a thread.
const requestCalls = almondstep.Address("")

func (t *thread) sendCall(c *almondstep.SendCall) {
	r := t.runner
	ctx, cancel := context.WithTimeout(r.lifetime.ctx(), c.Timeout)
	t.calls.add(requestCalls, c.Call, cancel)
	r.background(func(context.Context) {
		ended := r.Exchanger.Exchange(ctx, c)
		t.calls.cancel(requestCalls, c.Call)
		r.Recorder.Attempted(c.Upstream.Service, ended.Result, ended.Took)
		t.push(ended)
	})
}

func (t *thread) cancelCall(f *almondstep.CancelCall) {
	if f.After <= 0 {
		t.calls.cancel(requestCalls, f.Call)
		return
	}
	time.AfterFunc(f.After, func() { t.calls.cancel(requestCalls, f.Call) })
}
