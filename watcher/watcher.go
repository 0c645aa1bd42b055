package watcher

import (
	"time"

	"almondstep"
	"almondstep/ranker"
)

const (
	// leastRetry and mostRetry are the times after which a failed announcement is
	// tried again; the time doubles with each failure in a row.
	leastRetry = 250 * time.Millisecond
	mostRetry  = 8 * time.Second
	// DefaultBound is the time within which news must have reached a daemon.
	DefaultBound = 4 * time.Second
	// LapseGrace is how long an entry that lapsed while the registry was away is
	// still used after its return.
	LapseGrace = 2200 * time.Millisecond
	// outageHolds is how long after a failed read a removal may still be a lapse.
	outageHolds = 2500 * time.Millisecond
	// leaseTTL and renewEvery keep this daemon's own entry. That a daemon is gone
	// shows sooner to those that ask it.
	leaseTTL   = 30 * time.Second
	renewEvery = 9 * time.Second
	// daemonHolds is how long a daemon whose lease has ended still counts among
	// those that share a bound, and can be asked: it may live on behind a cut, and
	// an outage of the registry ends leases of daemons that are well.
	daemonHolds = 30 * time.Second
)

// Config sets a Watcher up.
type Config struct {
	Self almondstep.DaemonID
	Zone almondstep.ZoneName
	// Regions has the region of each zone; nil if that isn't known.
	Regions map[almondstep.ZoneName]almondstep.RegionName
	// Cores is the processor time that this daemon's VM has, in cores.
	Cores float64
	// Bound is the time within which what the registry says must be known here;
	// knowledge that wasn't confirmed for so long is old. 0 means DefaultBound.
	Bound time.Duration
	// Seeds are addresses at which other daemons may answer, for a daemon that
	// knows nothing and can't reach the registry.
	Seeds []almondstep.Address
}

// Watcher is the control partition.
type Watcher struct {
	cfg      Config
	routes   *almondstep.RouteTable
	listing  listing
	zonesOut map[almondstep.ZoneName]zoneOut
	daemons  map[almondstep.DaemonID]*daemon
	stopping bool
	// revision is the one up to which the registry is known; 0 if it isn't.
	revision uint64
	// confirmedAt is the last instant of which it is certain that all that the
	// registry held then is known here; 0 if there is none.
	confirmedAt almondstep.Instant
	// reread asks for all of the registry: its history since revision is gone.
	reread     bool
	boot       boot
	readings   readings
	search     search
	random     almondstep.Random
	announcing bool
	announceAt almondstep.Instant
	// announceRetry is the time after which the next failed one is tried again.
	announceRetry time.Duration
	// warned says that the log tells that the knowledge is old.
	warned bool
	// outage says that the registry itself gave no answer here; failedAt is until
	// when it is known to have given none, here or to a daemon asked.
	outage   bool
	failedAt almondstep.Instant
	journal  journal
	askers   []asker
	// toldAt is the confirmation that those who ask were last told.
	toldAt almondstep.Instant
	shared int
	// orders has the daemons of each zone in the order in which they read; nil if
	// it must be made anew.
	orders map[almondstep.ZoneName][]almondstep.DaemonID
	// directory is the one last published.
	directory *almondstep.Directory
}

// zoneOut says whether operators have taken a zone out, as of a revision.
type zoneOut struct {
	out      bool
	revision uint64
}

// daemon is another daemon's entry, or this one's.
type daemon struct {
	alive    bool
	revision uint64
	zone     almondstep.ZoneName
	addr     almondstep.Address
	cores    float64
	// goneAt is when a daemon without a lease no longer counts.
	goneAt almondstep.Instant
}

// New makes a Watcher that knows nothing yet.
func New(cfg Config) *Watcher {
	if cfg.Bound == 0 {
		cfg.Bound = DefaultBound
	}
	return &Watcher{
		cfg:      cfg,
		listing:  newListing(),
		zonesOut: make(map[almondstep.ZoneName]zoneOut),
		daemons:  make(map[almondstep.DaemonID]*daemon),
		readings: newReadings(),

		announceRetry: leastRetry,
		random:        almondstep.NewRandom(ranker.Hash(string(cfg.Self))),
		journal:       newJournal(),
	}
}

// Reduce takes one event and appends what is to be done to out.
func (w *Watcher) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.ControlTick:
		return w.tick(now, out)
	case *almondstep.RegistryRead:
		return w.read(now, e, out)
	case *almondstep.RegistryUpdateRequested:
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
	if w.revision == 0 {
		out = w.start(now, out)
	} else {
		out = w.keepReading(now, out)
	}
	out = w.searchOn(now, out)
	out = w.warn(now, out)
	return w.announce(now, out)
}

// announce renews the lease if it is time.
func (w *Watcher) announce(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.announcing || w.stopping || now < w.announceAt {
		return out
	}
	w.announcing = true
	return append(out, &almondstep.AnnounceDaemon{TTL: leaseTTL})
}

func (w *Watcher) announced(now almondstep.Instant, e *almondstep.DaemonAnnounced) {
	w.announcing = false
	if e.Err == "" {
		w.announceRetry = leastRetry
		w.announceAt = now.Add(renewEvery)
		return
	}
	w.announceAt = now.Add(w.announceRetry)
	w.announceRetry = min(2*w.announceRetry, mostRetry)
}

// age is how long ago the knowledge was last confirmed; AgeUnknown if never.
func (w *Watcher) age(now almondstep.Instant) time.Duration {
	if w.confirmedAt == 0 {
		return almondstep.AgeUnknown
	}
	return now.Sub(w.confirmedAt)
}

// beat is the time between two confirmations in calm times: each daemon hears the
// registry's word once a beat, itself or through others. A beat that is missed leaves
// as much time again to find the word elsewhere.
func (w *Watcher) beat() time.Duration { return w.cfg.Bound / 2 }

// lateAfter is the age from which on the word is overdue, while there is still time
// to find it elsewhere before the knowledge is old.
func (w *Watcher) lateAfter() time.Duration { return w.cfg.Bound * 3 / 4 }

func (w *Watcher) late(now almondstep.Instant) bool { return w.age(now) > w.lateAfter() }

// warn says in the log when the knowledge is old, and when it no longer is.
func (w *Watcher) warn(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.confirmedAt == 0 {
		return out
	}
	old := w.age(now) > w.cfg.Bound
	if old == w.warned {
		return out
	}
	w.warned = old
	if !old {
		return append(out, w.report("registry regained", string(w.cfg.Self), "", w.revision))
	}
	r := w.report("registry lost, going on with what is known", string(w.cfg.Self), w.readings.cause, w.revision)
	r.Level = almondstep.ReportWarn
	return append(out, r)
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
