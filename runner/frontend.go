package runner

import (
	"context"
	"time"

	"almondstep"
)

// Search answers a caller's search. If the caller disconnects first, the query
// is canceled and the answer's outcome is unknown.
func (r *Runner) Search(ctx context.Context, e *almondstep.SearchArrived) *almondstep.Answer {
	a := r.submit(ctx, e)
	r.Recorder.Answered(e.Tenant, e.Class, a)
	return a
}

// Execute answers a caller's request for an operation.
func (r *Runner) Execute(ctx context.Context, e *almondstep.RunArrived) *almondstep.Answer {
	a := r.submit(ctx, e)
	r.Recorder.Answered(e.Tenant, e.Class, a)
	return a
}

func (r *Runner) submit(ctx context.Context, e almondstep.QueryEvent) *almondstep.Answer {
	began := time.Now()
	t := r.queryThread(e.Query())
	reply := make(chan *almondstep.Answer, 1)
	t.waitersMu.Lock()
	t.callers[e.Query()] = reply
	t.waitersMu.Unlock()
	t.push(e)
	select {
	case a := <-reply:
		a.Query = e.Query()
		a.Took = time.Since(began)
		return a
	case <-ctx.Done():
	}
	t.waitersMu.Lock()
	delete(t.callers, e.Query())
	t.waitersMu.Unlock()
	t.push(&almondstep.CallerGone{ID: e.Query()})
	return &almondstep.Answer{
		Query:   e.Query(),
		Outcome: almondstep.OutcomeUnknown,
		Code:    almondstep.CodeDeadline,
		Message: "the caller went away before the answer",
		Took:    time.Since(began),
	}
}
