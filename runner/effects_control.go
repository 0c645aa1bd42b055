package runner

import (
	"context"
	"time"

	"almondstep"
)

// pullTimeout bounds the transfer of a document from another daemon.
const pullTimeout = time.Second

// performControl performs the effects of the control partition.
func (t *thread) performControl(f almondstep.Effect) {
	r := t.runner
	switch f := f.(type) {
	case *almondstep.PublishView:
		r.publish(f.View)
	case *almondstep.SendProbe:
		r.background(func(ctx context.Context) { r.sendProbe(ctx, f) })
	case *almondstep.ReplyProbe:
		r.calls.reply(f.Call, f)
	case *almondstep.SendPull:
		r.background(func(ctx context.Context) { r.sendPull(ctx, f) })
	case *almondstep.ReplyPull:
		r.calls.reply(f.Call, f)
	case *almondstep.ReplyRegistryUpdate:
		r.calls.reply(f.Call, f)
	case *almondstep.ReplyExplain:
		r.calls.reply(f.Call, f)
	case *almondstep.ReadDocument:
		r.background(func(ctx context.Context) { r.readDocument(ctx, f) })
	case *almondstep.TakeZoneLease:
		r.background(func(ctx context.Context) { r.takeZoneLease(ctx, f) })
	case *almondstep.ReadRegistry:
		r.background(func(ctx context.Context) { r.readRegistry(ctx, f) })
	case *almondstep.AnnounceDaemon:
		r.background(func(ctx context.Context) { r.announce(ctx, f) })
	case *almondstep.RecordCrashes:
		r.background(func(ctx context.Context) { r.recordCrashes(ctx, f) })
	case *almondstep.Report:
		r.report(f)
	case almondstep.QueryEvent, almondstep.QuotaEvent, almondstep.RolloutEvent:
		r.deliver(f)
	default:
		if !r.performQuota(f) {
			t.performRollout(f)
		}
	}
}

// publish makes a view current on all threads atomically, then notifies each
// thread so that it ends what the change invalidates.
func (r *Runner) publish(v *almondstep.View) {
	r.view.Store(v)
	r.observed.prune(v)
	r.Recorder.ViewPublished(v)
	for _, t := range r.traffic {
		t.push(&almondstep.ViewChanged{})
	}
	r.control.push(&almondstep.ViewChanged{})
}

func (r *Runner) sendProbe(ctx context.Context, f *almondstep.SendProbe) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	d, ok, err := r.Peers.Probe(ctx, f.Addr, f.Target, &f.Digest)
	r.control.push(&almondstep.ProbeEnded{
		To:     f.To,
		Target: f.Target,
		OK:     ok && err == nil,
		Digest: d,
	})
}

func (r *Runner) sendPull(ctx context.Context, f *almondstep.SendPull) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	p, err := r.Peers.Pull(ctx, f.Addr, r.Self, f.Have)
	if err != nil {
		r.Logger.Debug("can't pull a document from another daemon", "from", f.To, "document", f.Have.Name, "err", err)
	}
	r.control.push(&almondstep.PullEnded{From: f.To, Name: f.Have.Name, Patch: p})
}

func (r *Runner) readDocument(ctx context.Context, f *almondstep.ReadDocument) {
	doc, unchanged, err := r.Documents.Read(ctx, f)
	e := &almondstep.DocumentRead{Name: f.Name, Document: doc, RequestedAt: f.RequestedAt, Unchanged: unchanged}
	if err != nil {
		e.Err = err.Error()
	}
	r.control.push(e)
}

func (r *Runner) takeZoneLease(ctx context.Context, f *almondstep.TakeZoneLease) {
	began := time.Now()
	err := r.Platform.Lease(ctx, zoneLeaseKey(f.Zone), string(r.Self), f.TTL)
	// The lease is counted from when it was requested, so that it never lasts
	// longer for the holder than at the platform.
	e := &almondstep.ZoneLeaseRead{Held: err == nil, Remaining: f.TTL - time.Since(began)}
	if err != nil {
		e.Remaining = 0
		e.Err = err.Error()
	}
	r.control.push(e)
}

func zoneLeaseKey(z almondstep.ZoneName) string {
	return "almondstep/zones/" + string(z)
}

func (r *Runner) report(f *almondstep.Report) {
	fields := []any{"subject", f.Subject}
	if f.Cause != "" {
		fields = append(fields, "cause", f.Cause)
	}
	if f.Version != 0 {
		fields = append(fields, "version", f.Version)
	}
	if f.Level == almondstep.ReportWarn {
		r.Logger.Warn(f.Message, fields...)
		return
	}
	r.Logger.Info(f.Message, fields...)
}
