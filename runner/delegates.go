package runner

import (
	"context"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// sendGather hands a request over shards to another daemon.
func (t *thread) sendGather(f *almondstep.SendGather) {
	r := t.runner
	ctx, cancel := context.WithTimeout(r.life.ctx(), f.Ask.Remaining)
	t.calls.add(requestCalls, f.Call, cancel)
	r.background(func(context.Context) {
		e := &almondstep.GatherEnded{ID: f.ID, Call: f.Call}
		reply, err := r.Mates.Gather(ctx, f.To.Addr, &f.Ask)
		t.calls.cancel(requestCalls, f.Call)
		e.Reply = reply
		if err != nil {
			e.Err = err.Error()
			e.NotRun = errors.Is(err, almondstep.ErrNotRun)
		}
		t.push(e)
	})
}

// Gather answers a request over shards that another daemon hands over. A daemon
// that is about to stop refuses it.
func (r *Runner) Gather(ctx context.Context, ask *almondstep.GatherAsked) (*almondstep.Reply, error) {
	if r.View().Stopping() {
		return nil, errors.Wrap(almondstep.ErrNotRun, "stopping")
	}
	return r.forward(ctx, &almondstep.RequestArrived{
		ID:        r.NextQuery(),
		Request:   ask.Request,
		Route:     ask.Route,
		Version:   ask.Version,
		Remaining: ask.Remaining,
	}), nil
}
