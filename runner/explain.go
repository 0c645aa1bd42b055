package runner

import (
	"context"

	"almondstep"
)

// Explain returns where a request would go now and why, without sending it. The IDs of the
// request and of the call are set here.
func (r *Runner) Explain(ctx context.Context, e almondstep.ExplainRequest) (*almondstep.Explanation, error) {
	call, wait := r.calls.add()
	defer r.calls.remove(call)
	e.ID, e.Call = r.NextQuery(), call
	r.queryThread(e.ID).push(&e)
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), wait)
	if err != nil {
		return nil, err
	}
	reply, ok := f.(*almondstep.ReplyExplain)
	if !ok {
		return nil, almondstep.ErrClosed
	}
	return reply.Explanation, nil
}
