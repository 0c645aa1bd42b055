package runner

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// sendGather delegates a request over shards to another daemon.
func (t *thread) sendGather(f *almondstep.SendGather) {
	r := t.runner
	ctx, cancel := context.WithTimeout(r.lifetime.ctx(), f.Request.Remaining)
	t.calls.add(requestCalls, f.Call, cancel)
	r.background(func(context.Context) {
		e := &almondstep.GatherEnded{ID: f.ID, Call: f.Call}
		reply, err := r.Delegates.Gather(ctx, f.To.Addr, &f.Request)
		t.calls.cancel(requestCalls, f.Call)
		e.Reply = reply
		if err != nil {
			e.Err = err.Error()
			e.NotRun = errors.Is(err, almondstep.ErrNotRun)
		}
		t.push(e)
	})
}

// rttTimeout bounds the measurement of a round-trip time.
const rttTimeout = time.Second

// measureRTT measures the round-trip time of a request for registry updates after a
// revision that can't exist. It sends two and reports the second, since the first
// may have to open a connection.
func (t *thread) measureRTT(f *almondstep.MeasureRTT) {
	r := t.runner
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, rttTimeout)
		defer cancel()
		e := &almondstep.RTTMeasured{To: f.To.ID}
		noUpdates := &almondstep.RegistryUpdateRequest{After: math.MaxUint64}
		for range 2 {
			began := time.Now()
			if _, err := r.Delegates.WatchRegistry(ctx, f.To.Addr, noUpdates); err != nil {
				e.Err = err.Error()
				break
			}
			e.Took = time.Since(began)
		}
		t.push(e)
	})
}

// Gather answers a request over shards that another daemon delegates. A daemon
// that is shutting down refuses it.
func (r *Runner) Gather(ctx context.Context, req *almondstep.GatherRequest) (*almondstep.Reply, error) {
	if r.View().Stopping() {
		return nil, errors.Wrap(almondstep.ErrNotRun, "stopping")
	}
	return r.forward(ctx, &almondstep.RequestArrived{
		ID:        r.NextQuery(),
		Request:   req.Request,
		Route:     req.Route,
		Version:   req.Version,
		Remaining: req.Remaining,
	}), nil
}
