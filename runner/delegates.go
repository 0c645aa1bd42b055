package runner

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// sendGather hands a request over shards to another daemon.
func (t *thread) sendGather(f *almondstep.SendGather) {
	r := t.runner
	ctx, cancel := context.WithTimeout(r.life.ctx(), f.Request.Remaining)
	t.calls.add(requestCalls, f.Call, cancel)
	r.background(func(context.Context) {
		e := &almondstep.GatherEnded{ID: f.ID, Call: f.Call}
		reply, err := r.Mates.Gather(ctx, f.To.Addr, &f.Request)
		t.calls.cancel(requestCalls, f.Call)
		e.Reply = reply
		if err != nil {
			e.Err = err.Error()
			e.NotRun = errors.Is(err, almondstep.ErrNotRun)
		}
		t.push(e)
	})
}

// measureTimeout bounds the measuring of a way.
const measureTimeout = time.Second

// measureWay asks for news that can't be there, twice: the first question may open a
// connection.
func (t *thread) measureWay(f *almondstep.MeasureRTT) {
	r := t.runner
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, measureTimeout)
		defer cancel()
		e := &almondstep.RTTMeasured{To: f.To.ID}
		nothing := &almondstep.RegistryUpdateRequest{After: math.MaxUint64}
		for range 2 {
			began := time.Now()
			if _, err := r.Mates.WatchRegistry(ctx, f.To.Addr, nothing); err != nil {
				e.Err = err.Error()
				break
			}
			e.Took = time.Since(began)
		}
		t.push(e)
	})
}

// Gather answers a request over shards that another daemon hands over. A daemon
// that is about to stop refuses it.
func (r *Runner) Gather(ctx context.Context, ask *almondstep.GatherRequest) (*almondstep.Reply, error) {
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
