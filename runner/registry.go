package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// registryUpdateGrace is how long another daemon's answer may take beyond the
// requested wait before the call times out.
const registryUpdateGrace = 500 * time.Millisecond

// readRegistry reads the whole registry or waits for changes, from the registry
// itself or through another daemon.
func (r *Runner) readRegistry(ctx context.Context, f *almondstep.ReadRegistry) {
	e := &almondstep.RegistryRead{From: f.From, Daemons: f.Daemons, Full: f.After == 0 && !f.Daemons}
	var err error
	switch {
	case f.From != "":
		err = r.readRegistryUpdate(ctx, f, e)
	case f.Daemons:
		e.Changes, err = r.Registry.ReadDaemons(ctx)
	case e.Full:
		e.Changes, err = r.Registry.ReadAll(ctx)
	default:
		e.Changes, err = r.Registry.Watch(ctx, f.After, f.Wait)
	}
	if err != nil {
		e.Err = err.Error()
		e.Compacted = errors.Is(err, almondstep.ErrStale)
	}
	r.control.push(e)
}

// readRegistryUpdate requests registry updates from another daemon. If one of
// their patches doesn't apply, it requests full entries, without a wait.
func (r *Runner) readRegistryUpdate(ctx context.Context, f *almondstep.ReadRegistry, e *almondstep.RegistryRead) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+registryUpdateGrace)
	defer cancel()
	update, err := r.Delegates.WatchRegistry(ctx, f.Addr, &f.RegistryUpdateRequest)
	if errors.Is(err, almondstep.ErrCorrupt) {
		full := almondstep.RegistryUpdateRequest{After: f.After}
		update, err = r.Delegates.WatchRegistry(ctx, f.Addr, &full)
	}
	if err != nil {
		return err
	}
	e.SourceUpdate = update
	e.Full = update.Full
	e.Changes = r.Registry.Read(update.Revision, update.Entries)
	return nil
}

// WatchRegistry answers another daemon's request for registry updates.
func (r *Runner) WatchRegistry(ctx context.Context, q *almondstep.RegistryUpdateRequest) (*almondstep.RegistryUpdate, error) {
	call, reply := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.RegistryUpdateRequested{Call: call, Request: *q})
	f, err := r.calls.wait(ctx, r.lifetime.ctx(), reply)
	if err != nil {
		return nil, err
	}
	answer, ok := f.(*almondstep.ReplyRegistryUpdate)
	if !ok {
		return nil, almondstep.ErrClosed
	}
	return &answer.Update, nil
}

func (r *Runner) announce(ctx context.Context, f *almondstep.AnnounceDaemon) {
	e := &almondstep.DaemonAnnounced{}
	if err := r.Registry.Announce(ctx, f.TTL); err != nil {
		e.Err = err.Error()
		r.Logger.Debug("can't renew this daemon's lease in the registry", "err", err)
	}
	r.control.push(e)
}

func (r *Runner) recordCrashes(ctx context.Context, f *almondstep.RecordCrashes) {
	e := &almondstep.CrashesRecorded{RecordCrashes: *f}
	if err := r.Registry.RecordCrashes(ctx, f); err != nil {
		e.Err = err.Error()
	}
	r.control.push(e)
}

func (r *Runner) claimRecheck(ctx context.Context, f *almondstep.ClaimRecheck) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	e := &almondstep.RecheckClaimed{ID: f.ID, Record: f.Record}
	if err := r.Registry.ClaimRecheck(ctx, f.Record); err != nil {
		e.Err = err.Error()
	}
	r.deliver(e)
}
