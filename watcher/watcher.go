package watcher

import (
	"time"

	"almondstep"
)

const (
	// watchPause is the least time between two watches, so that one call brings
	// what changes in a burst.
	watchPause = 500 * time.Millisecond
	// failurePause is the time after which a failed announcement is tried again.
	failurePause = 250 * time.Millisecond
	// DefaultWatchWait is how long a watch waits for a change.
	DefaultWatchWait = 2 * time.Second
	// LapseGrace is how long an entry that lapsed while the registry was away is
	// still used after its return.
	LapseGrace = 2200 * time.Millisecond
	// outageHolds is how long after a failed read a removal may still be a lapse.
	outageHolds = 2500 * time.Millisecond
	// leaseTTL and renewEvery keep this daemon's own entry. That a daemon is gone
	// shows sooner to those that ask it.
	leaseTTL   = 15 * time.Second
	renewEvery = 4500 * time.Millisecond
	// daemonHolds is how long a daemon whose lease has ended still counts among
	// those that share a bound: it may live on behind a cut.
	daemonHolds = 30 * time.Second
)

// Config sets a Watcher up.
type Config struct {
	Self almondstep.DaemonID
	Zone almondstep.ZoneName
	// Cores is the processor time that this daemon's VM has, in cores.
	Cores float64
	// WatchWait is how long a watch waits for a change; 0 means DefaultWatchWait.
	WatchWait time.Duration
}

// Watcher is the control partition.
type Watcher struct {
	cfg      Config
	routes   *almondstep.RouteTable
	entries  map[string]*entry
	zonesOut map[almondstep.ZoneName]bool
	daemons  map[almondstep.DaemonID]*daemon
	stopping bool
	// revision is what the registry was last read at; 0 asks for all of it.
	revision   uint64
	reading    bool
	readAt     almondstep.Instant
	announcing bool
	announceAt almondstep.Instant
	// failed says that the last reading failed; warned, that the log says so.
	failed bool
	warned bool
	// outage says that the registry itself gave no answer here; failedAt is until
	// when it is known to have given none, here or to a daemon asked.
	outage   bool
	failedAt almondstep.Instant
	// confirmedAt is when the registry itself was last heard.
	confirmedAt almondstep.Instant
	// following is the source read from; avoid has when each may be asked again.
	following almondstep.DaemonID
	avoid     map[almondstep.DaemonID]almondstep.Instant
	journal   journal
	askers    []asker
	shared    int
}

// entry is an upstream's entry in the registry.
type entry struct {
	upstream *almondstep.Upstream
	revision uint64
	// goneAt is when a lapsed entry is dropped; 0 if it isn't lapsed.
	goneAt almondstep.Instant
}

// daemon is another daemon's entry, or this one's.
type daemon struct {
	alive bool
	zone  almondstep.ZoneName
	addr  almondstep.Address
	cores float64
	// goneAt is when a daemon without a lease no longer counts.
	goneAt almondstep.Instant
}

// New makes a Watcher that knows nothing yet.
func New(cfg Config) *Watcher {
	if cfg.WatchWait == 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	return &Watcher{
		cfg:      cfg,
		entries:  make(map[string]*entry),
		zonesOut: make(map[almondstep.ZoneName]bool),
		daemons:  make(map[almondstep.DaemonID]*daemon),
		avoid:    make(map[almondstep.DaemonID]almondstep.Instant),
		journal:  newJournal(),
	}
}

// Reduce takes one event and appends what is to be done to out.
func (w *Watcher) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.ControlTick:
		return w.tick(now, out)
	case *almondstep.RegistryRead:
		return w.read(now, e, out)
	case *almondstep.NewsAsked:
		return w.asked(now, e, out)
	case *almondstep.DaemonAnnounced:
		w.announced(now, e)
	case *almondstep.StopRequested:
		w.stopping = true
		return w.publish(out)
	}
	return out
}

func (w *Watcher) tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	expired, out := w.expire(now, out)
	if expired || w.shared != w.sharing() {
		out = w.publish(out)
	}
	out = w.tellDue(now, out)
	if !w.reading && now >= w.readAt {
		if s, ok := w.nextSource(now); ok {
			out = w.ask(s, out)
		}
	}
	if !w.announcing && !w.stopping && now >= w.announceAt {
		w.announcing = true
		out = append(out, &almondstep.AnnounceDaemon{TTL: leaseTTL})
	}
	return out
}

func (w *Watcher) announced(now almondstep.Instant, e *almondstep.DaemonAnnounced) {
	w.announcing = false
	w.announceAt = now.Add(renewEvery)
	if e.Err != "" {
		w.announceAt = now.Add(failurePause)
	}
}

// read takes in what was read, or that nothing could be.
func (w *Watcher) read(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	w.reading = false
	w.readAt = now
	if e.Compacted {
		out = append(out, w.report("registry history is gone, reading all of it", string(w.cfg.Self), "", w.revision))
		w.revision = 0
		return out
	}
	if cause := w.refusal(e); cause != "" {
		return w.lost(now, e, cause, out)
	}
	w.failed = false
	if w.warned {
		w.warned = false
		out = append(out, w.report("registry regained", string(w.cfg.Self), "", e.Changes.Revision))
	}
	out = w.follow(e, out)
	w.confirm(now, e)
	if e.From == "" && (e.Whole || !e.Changes.Empty()) {
		// A watch without changes has waited its time already.
		w.readAt = now.Add(watchPause)
	}
	return w.takeIn(now, e, out)
}

// takeIn puts what was read in force and tells those that wait for it.
func (w *Watcher) takeIn(now almondstep.Instant, e *almondstep.RegistryRead, out []almondstep.Effect) []almondstep.Effect {
	changed, out := w.apply(now, e, out)
	w.journal.take(e.Changes.Entries, e.Whole, e.Changes.Revision)
	if changed {
		out = w.publish(out)
	}
	if e.Changes.Revision <= w.revision {
		return out
	}
	w.revision = e.Changes.Revision
	return w.tellAll(now, out)
}

// lost leaves a source alone and tells those that ask here. The daemon goes on
// with what it knows; it says so in the log once no other source is left.
func (w *Watcher) lost(now almondstep.Instant, e *almondstep.RegistryRead, cause string, out []almondstep.Effect) []almondstep.Effect {
	w.avoidSource(now, e)
	if e.From == "" {
		w.outage = true
		w.failedAt = now
	}
	if !w.failed {
		w.failed = true
		out = w.tellAll(now, out)
	}
	_, more := w.nextSource(now)
	if w.warned || more && now.Sub(w.confirmedAt) < staleWaits*w.cfg.WatchWait {
		return out
	}
	w.warned = true
	return append(out, &almondstep.Report{
		Level:   almondstep.ReportWarn,
		Message: "registry lost, going on with what is known",
		Subject: string(w.cfg.Self),
		Cause:   cause,
		Version: w.revision,
	})
}

// report says what the daemon now believes, and from which revision.
func (w *Watcher) report(message, subject, cause string, version uint64) *almondstep.Report {
	return &almondstep.Report{
		Level:   almondstep.ReportInfo,
		Message: message,
		Subject: subject,
		Cause:   cause,
		Version: version,
	}
}
