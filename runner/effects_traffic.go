package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// callGrace is how much longer than its deadline a call between daemons may
// take, so that the owner's own answer arrives before the call fails.
const callGrace = 20 * time.Millisecond

// perform performs one effect. It makes no decisions of its own.
func (t *thread) perform(f almondstep.Effect) {
	r := t.runner
	switch f := f.(type) {
	case *almondstep.ItemArrived:
		t.dispatch(r.upstreamThread(f.Upstream()), f)
	case *almondstep.ItemCanceled:
		t.dispatch(r.upstreamThread(f.Upstream()), f)
	case *almondstep.ItemFinished:
		t.dispatch(r.queryThread(f.ID), f)
	case *almondstep.StartAttempt:
		t.startAttempt(f)
	case *almondstep.CancelAttempt:
		t.calls.cancel(f.Addr, f.Call)
	case *almondstep.ReplyWork:
		t.replyWork(f)
	case *almondstep.ReplyCaller:
		t.replyCaller(f)
	case *almondstep.ClaimKey:
		t.claimKey(f)
	case *almondstep.SendCall:
		t.sendCall(f)
	case *almondstep.CancelCall:
		t.cancelCall(f)
	case *almondstep.ReplyRequest:
		t.replyRequest(f)
	case *almondstep.SendWork, *almondstep.SendCollect, *almondstep.SendCancel,
		*almondstep.SendGather, *almondstep.MeasureRTT:
		t.sendMessage(f)
	default:
		t.performTimer(f)
	}
}

// sendMessage sends a message to another daemon.
func (t *thread) sendMessage(f almondstep.Effect) {
	switch f := f.(type) {
	case *almondstep.SendWork:
		t.sendWork(f)
	case *almondstep.SendCollect:
		t.sendCollect(f)
	case *almondstep.SendCancel:
		t.sendCancel(f)
	case *almondstep.SendGather:
		t.sendGather(f)
	case *almondstep.MeasureRTT:
		t.measureRTT(f)
	}
}

func (t *thread) performTimer(f almondstep.Effect) {
	r := t.runner
	switch f := f.(type) {
	case *almondstep.SetQueryTimer:
		r.after(f.After, t, &almondstep.QueryTimer{ID: f.ID, Purpose: f.Purpose, Attempt: f.Attempt})
	case *almondstep.SetRequestTimer:
		r.after(f.After, t, &almondstep.RequestTimer{ID: f.ID})
	case *almondstep.SetGatherTimer:
		r.after(f.After, t, &almondstep.GatherTimer{ID: f.ID, Attempt: f.Attempt, Purpose: f.Purpose})
	case *almondstep.SetUpstreamTimer:
		r.after(f.After, t, &almondstep.UpstreamTimer{Addr: f.Addr, Purpose: f.Purpose})
	case *almondstep.MarkUpstream:
		r.control.push(f)
	case *almondstep.ReportCrash:
		r.control.push(f)
	case *almondstep.RequestCrashed:
		r.control.push(f)
	case *almondstep.RequestSurvived:
		r.control.push(f)
	case *almondstep.RecheckBegan:
		r.control.push(f)
	case *almondstep.RecheckReleased:
		r.control.push(f)
	case *almondstep.ClaimRecheck:
		r.background(func(ctx context.Context) { r.claimRecheck(ctx, f) })
	case *almondstep.RolloutDecided:
		r.control.push(f)
	default:
		t.performControl(f)
	}
}

// after delivers an event to a thread after a delay. The closed mailbox drops the
// event of a timer that fires after the runner has ended.
func (r *Runner) after(d time.Duration, t *thread, e almondstep.Event) {
	time.AfterFunc(d, func() { t.push(e) })
}

func (t *thread) startAttempt(a *almondstep.StartAttempt) {
	r := t.runner
	ctx, cancel := context.WithTimeout(r.lifetime.ctx(), a.Timeout)
	t.calls.add(a.Addr, a.Call, cancel)
	r.background(func(context.Context) {
		ended := r.Upstreams.Do(ctx, a)
		t.calls.cancel(a.Addr, a.Call)
		r.Recorder.Attempted(a.Shard.Service(), ended.Result, ended.Took)
		r.deliver(ended)
	})
}

func (t *thread) sendWork(f *almondstep.SendWork) {
	r := t.runner
	if f.Owner == r.Self {
		t.setGather(gatherKey{query: f.Work.Query, attempt: f.Work.Attempt}, gatherWaiter{})
		t.dispatch(t, &almondstep.WorkArrived{From: r.Self, Work: f.Work})
		return
	}
	failed := &almondstep.WorkFailed{ID: f.Work.Query, Attempt: f.Work.Attempt, Owner: f.Owner, NotRun: true}
	addr, ok := r.View().Peer(f.Owner)
	if !ok {
		t.dispatch(t, failed)
		return
	}
	r.callOwner(f.Owner, f.Work.Remaining, failed, func(ctx context.Context) (*almondstep.WorkAnswered, error) {
		return r.Peers.Work(ctx, addr, r.Self, f.Work)
	})
}

func (t *thread) sendCollect(f *almondstep.SendCollect) {
	r := t.runner
	e := &almondstep.CollectArrived{ID: f.Query, Attempt: f.Attempt, Remaining: f.Remaining}
	if f.Owner == r.Self {
		t.setGather(gatherKey{query: f.Query, attempt: f.Attempt}, gatherWaiter{})
		t.dispatch(t, e)
		return
	}
	failed := &almondstep.WorkFailed{ID: f.Query, Attempt: f.Attempt, Owner: f.Owner}
	addr, ok := r.View().Peer(f.Owner)
	if !ok {
		t.dispatch(t, failed)
		return
	}
	r.callOwner(f.Owner, f.Remaining, failed, func(ctx context.Context) (*almondstep.WorkAnswered, error) {
		return r.Peers.Collect(ctx, addr, e)
	})
}

// callOwner makes one call to an owner and delivers its outcome. A failed call is
// certain to have had no effect only if it was a Work and the error is ErrNotRun; a
// failed Collect doesn't show whether the Work it belongs to ran.
func (r *Runner) callOwner(owner almondstep.DaemonID, remaining time.Duration, failed *almondstep.WorkFailed, call func(context.Context) (*almondstep.WorkAnswered, error)) {
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, remaining+callGrace)
		defer cancel()
		a, err := call(ctx)
		r.observePeer(owner, err)
		if err != nil {
			failed.NotRun = failed.NotRun && errors.Is(err, almondstep.ErrNotRun)
			r.deliver(failed)
			return
		}
		a.Owner = owner
		r.deliver(a)
	})
}

func (t *thread) sendCancel(f *almondstep.SendCancel) {
	r := t.runner
	e := &almondstep.CancelArrived{ID: f.Query, Attempt: f.Attempt, Items: f.Items}
	if f.Owner == r.Self {
		t.dispatch(t, e)
		return
	}
	addr, ok := r.View().Peer(f.Owner)
	if !ok {
		return
	}
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		if err := r.Peers.Cancel(ctx, addr, e); err != nil {
			r.Logger.Debug("can't cancel items at their owner", "owner", f.Owner, "query", f.Query, "err", err)
		}
	})
}

// cancelTimeout bounds a cancel; a lost one only wastes work until the deadline.
const cancelTimeout = 200 * time.Millisecond

func (t *thread) replyWork(f *almondstep.ReplyWork) {
	w, ok := t.takeGather(gatherKey{query: f.Answer.ID, attempt: f.Answer.Attempt})
	if !ok {
		return
	}
	if w.reply != nil {
		w.reply <- f.Answer
		return
	}
	f.Answer.Owner = t.runner.Self
	t.dispatch(t, f.Answer)
}

func (t *thread) replyCaller(f *almondstep.ReplyCaller) {
	t.waitersMu.Lock()
	reply, ok := t.callers[f.ID]
	delete(t.callers, f.ID)
	t.waitersMu.Unlock()
	if ok {
		reply <- f.Answer
	}
}

func (t *thread) claimKey(f *almondstep.ClaimKey) {
	r := t.runner
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, f.Remaining)
		defer cancel()
		outcome := r.Claimer.Claim(ctx, f)
		r.deliver(&almondstep.ClaimAnswered{ID: f.ID, Outcome: outcome})
	})
}

func (t *thread) setGather(k gatherKey, w gatherWaiter) {
	t.waitersMu.Lock()
	defer t.waitersMu.Unlock()
	t.gathers[k] = w
}

func (t *thread) takeGather(k gatherKey) (gatherWaiter, bool) {
	t.waitersMu.Lock()
	defer t.waitersMu.Unlock()
	w, ok := t.gathers[k]
	delete(t.gathers, k)
	return w, ok
}
