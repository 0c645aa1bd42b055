package runner

import (
	"context"
	"time"

	"almondstep"
)

// rolloutReportTimeout bounds a report to the leader of the rollouts. It allows for a leader in
// another region and a new connection.
const rolloutReportTimeout = time.Second

// performRollout performs the effects of the partition for rollouts.
func (t *thread) performRollout(f almondstep.Effect) {
	r := t.runner
	switch f := f.(type) {
	case *almondstep.WriteRollout:
		r.background(func(ctx context.Context) { r.writeRollout(ctx, f) })
	case *almondstep.SendRolloutReport:
		r.background(func(ctx context.Context) { r.sendRolloutReport(ctx, f) })
	case *almondstep.ReplyRolloutReport:
		r.calls.reply(f.Call, f)
	default:
		r.Logger.Error("unhandled effect", "kind", f.Kind())
	}
}

func (r *Runner) writeRollout(ctx context.Context, f *almondstep.WriteRollout) {
	r.control.push(r.RolloutRegistry.WriteRollout(ctx, f))
}

func (r *Runner) sendRolloutReport(ctx context.Context, f *almondstep.SendRolloutReport) {
	ctx, cancel := context.WithTimeout(ctx, rolloutReportTimeout)
	defer cancel()
	reply, err := r.RolloutReports.ReportRollout(ctx, f.To.Addr, &f.Report)
	if err != nil {
		r.Logger.Debug("can't report to the leader of the rollouts", "leader", f.To.Daemon, "err", err)
		reply = nil
	}
	r.control.push(&almondstep.RolloutReportEnded{To: f.To, Reply: reply})
}

// ReportRollout answers another daemon's report on rollouts.
func (r *Runner) ReportRollout(ctx context.Context, report *almondstep.RolloutReport) (*almondstep.RolloutReply, error) {
	call, reply := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.RolloutReportArrived{Call: call, Report: *report})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), reply)
	if err != nil {
		return nil, err
	}
	answer, ok := f.(*almondstep.ReplyRolloutReport)
	if !ok {
		return nil, almondstep.ErrClosed
	}
	return &answer.Reply, nil
}
