package runner

import (
	"context"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Work answers another daemon's Work. If that daemon abandons the call, the Work
// is canceled.
func (r *Runner) Work(ctx context.Context, from almondstep.DaemonID, w *almondstep.Work) (*almondstep.WorkAnswered, error) {
	k := gatherKey{query: w.Query, attempt: w.Attempt}
	return r.gather(ctx, k, &almondstep.WorkArrived{From: from, Work: w})
}

// Collect waits for the pending items of a Work.
func (r *Runner) Collect(ctx context.Context, e *almondstep.CollectArrived) (*almondstep.WorkAnswered, error) {
	return r.gather(ctx, gatherKey{query: e.ID, attempt: e.Attempt}, e)
}

func (r *Runner) gather(ctx context.Context, k gatherKey, e almondstep.QueryEvent) (*almondstep.WorkAnswered, error) {
	t := r.queryThread(k.query)
	reply := make(chan *almondstep.WorkAnswered, 1)
	t.setGather(k, gatherWaiter{reply: reply})
	t.push(e)
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		t.takeGather(k)
		t.push(&almondstep.CancelArrived{ID: k.query, Attempt: k.attempt})
		return nil, errors.Mark(ctx.Err(), almondstep.ErrUnavailable)
	case <-r.lifetime.ctx().Done():
		return nil, almondstep.ErrClosed
	}
}

// Cancel cancels items of another daemon's Work.
func (r *Runner) Cancel(_ context.Context, e *almondstep.CancelArrived) error {
	r.queryThread(e.ID).push(e)
	return nil
}

// Claim claims a key for another daemon; this daemon writes the key's bucket.
func (r *Runner) Claim(ctx context.Context, c *almondstep.ClaimKey) (almondstep.ClaimOutcome, error) {
	return r.LocalClaimer.Claim(ctx, c), nil
}

// Probe answers another daemon's probe with this daemon's digest.
func (r *Runner) Probe(ctx context.Context, target almondstep.DaemonID, d *almondstep.Digest) (*almondstep.Digest, bool, error) {
	call, wait := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.ProbeArrived{Call: call, Digest: *d, Target: target})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), wait)
	if err != nil {
		return nil, false, err
	}
	reply, ok := f.(*almondstep.ReplyProbe)
	if !ok {
		return nil, false, almondstep.ErrClosed
	}
	return &reply.Digest, reply.OK, nil
}

// Pull answers another daemon's request for a newer document.
func (r *Runner) Pull(ctx context.Context, from almondstep.DaemonID, have almondstep.DocumentState) (*almondstep.Patch, error) {
	call, wait := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.PullArrived{Call: call, From: from, Have: have})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), wait)
	if err != nil {
		return nil, err
	}
	reply, ok := f.(*almondstep.ReplyPull)
	if !ok {
		return nil, almondstep.ErrClosed
	}
	return reply.Patch, nil
}

// Status returns this daemon's status.
func (r *Runner) Status(context.Context) (*almondstep.DaemonStatus, error) {
	s := r.View().Status()
	for _, t := range r.traffic {
		s.Open += t.open()
	}
	return &s, nil
}
