package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// newsGrace is how long another daemon's answer may take beyond the wait that it
// was asked for, before its connection counts as silent.
const newsGrace = 500 * time.Millisecond

// readRegistry reads all of the registry or waits for what changes in it, at the
// registry itself or through another daemon.
func (r *Runner) readRegistry(ctx context.Context, f *almondstep.ReadRegistry) {
	e := &almondstep.RegistryRead{From: f.From, Daemons: f.Daemons, Full: f.After == 0 && !f.Daemons}
	var err error
	switch {
	case f.From != "":
		err = r.readNews(ctx, f, e)
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

// readNews asks another daemon.
func (r *Runner) readNews(ctx context.Context, f *almondstep.ReadRegistry, e *almondstep.RegistryRead) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+newsGrace)
	defer cancel()
	news, err := r.Mates.WatchRegistry(ctx, f.Addr, &f.RegistryUpdateRequest)
	if errors.Is(err, almondstep.ErrCorrupt) {
		whole := almondstep.RegistryUpdateRequest{After: f.After}
		news, err = r.Mates.WatchRegistry(ctx, f.Addr, &whole)
	}
	if err != nil {
		return err
	}
	e.SourceUpdate = news
	e.Full = news.Full
	e.Changes = r.Registry.Read(news.Revision, news.Entries)
	return nil
}

// WatchRegistry answers another daemon that asks what changes in the registry.
func (r *Runner) WatchRegistry(ctx context.Context, q *almondstep.RegistryUpdateRequest) (*almondstep.RegistryUpdate, error) {
	call, reply := r.calls.add()
	defer r.calls.remove(call)
	r.control.push(&almondstep.RegistryUpdateRequested{Call: call, Request: *q})
	f, err := r.calls.wait(ctx, r.life.ctx(), reply)
	if err != nil {
		return nil, err
	}
	told, ok := f.(*almondstep.ReplyRegistryUpdate)
	if !ok {
		return nil, almondstep.ErrClosed
	}
	return &told.Update, nil
}

func (r *Runner) announce(ctx context.Context, f *almondstep.AnnounceDaemon) {
	e := &almondstep.DaemonAnnounced{}
	if err := r.Registry.Announce(ctx, f.TTL); err != nil {
		e.Err = err.Error()
		r.Logger.Debug("lease not renewed", "err", err)
	}
	r.control.push(e)
}
