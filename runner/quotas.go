package runner

import (
	"context"

	"almondstep"
)

var _ almondstep.QuotaServer = (*Runner)(nil)

// performQuota performs the effects of the partition for quotas; it returns false for others.
func (r *Runner) performQuota(f almondstep.Effect) bool {
	switch f := f.(type) {
	case *almondstep.SendQuotaAsk:
		r.background(func(ctx context.Context) { r.sendQuotaAsk(ctx, f) })
	case *almondstep.SendQuotaReport:
		r.background(func(ctx context.Context) { r.sendQuotaReport(ctx, f) })
	case *almondstep.ReplyQuotaAsk:
		r.calls.reply(f.Call, f)
	case *almondstep.ReplyQuotaReport:
		r.calls.reply(f.Call, f)
	default:
		return false
	}
	return true
}

func (r *Runner) sendQuotaAsk(ctx context.Context, f *almondstep.SendQuotaAsk) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	e := &almondstep.QuotaAnswered{Call: f.Call}
	answer, err := r.Quotas.AskQuota(ctx, f.Addr, f.Ask)
	if err != nil {
		e.Err = err.Error()
	}
	e.Answer = answer
	r.control.push(e)
}

func (r *Runner) sendQuotaReport(ctx context.Context, f *almondstep.SendQuotaReport) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	e := &almondstep.QuotaLeased{Call: f.Call}
	lease, err := r.Quotas.ReportQuota(ctx, f.Addr, &f.Report)
	if err != nil {
		e.Err = err.Error()
	}
	e.Lease = lease
	r.control.push(e)
}

// AskQuota answers another daemon's ask for the quota of a request.
func (r *Runner) AskQuota(ctx context.Context, ask almondstep.QuotaAsk) (*almondstep.QuotaAnswer, error) {
	call, reply := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.QuotaAsked{Call: call, Ask: ask})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), reply)
	if err != nil {
		return nil, err
	}
	if answer, ok := f.(*almondstep.ReplyQuotaAsk); ok {
		return &answer.Answer, nil
	}
	return nil, almondstep.ErrClosed
}

// ReportQuota answers a lender's report of its demand.
func (r *Runner) ReportQuota(ctx context.Context, report *almondstep.QuotaReport) (*almondstep.QuotaLease, error) {
	call, reply := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.QuotaReported{Call: call, Report: *report})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), reply)
	if err != nil {
		return nil, err
	}
	if lease, ok := f.(*almondstep.ReplyQuotaReport); ok {
		return &lease.Lease, nil
	}
	return nil, almondstep.ErrClosed
}
